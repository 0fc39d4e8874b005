package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// TLSSource serves a TLS configuration from files and reads them again when
// they change, so that keys are replaced without a restart.
type TLSSource struct {
	files  TLS
	mutual bool
	mu     sync.Mutex
	config *tls.Config
	stamp  [3]time.Time
}

// Source returns the files' source, or nil when TLS is off. mutual requires the
// CA: both ends must present certificates signed by it.
func (t TLS) Source(mutual bool) (*TLSSource, error) {
	if t.Cert == "" {
		return nil, nil
	}
	s := &TLSSource{files: t, mutual: mutual}
	if mutual && t.CA == "" {
		return nil, failure.New(failure.InvalidSettings, "", "mutual TLS needs a ca file")
	}
	if err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Config returns the configuration in force. While new files can't be read the
// last good ones stay in force.
func (s *TLSSource) Config() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed() {
		_ = s.reload()
	}
	return s.config
}

// Server returns a configuration for a listener, which asks for the files'
// content at each connection. A nil source gives nil: plain TCP.
func (s *TLSSource) Server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.Config(), nil
		},
	}
}

func (s *TLSSource) changed() bool {
	return s.modTimes() != s.stamp
}

func (s *TLSSource) modTimes() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if fi, err := os.Stat(name); err == nil {
			out[i] = fi.ModTime()
		}
	}
	return out
}

func (s *TLSSource) reload() error {
	stamp := s.modTimes()
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "")
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
	if s.files.CA != "" {
		pem, err := os.ReadFile(s.files.CA)
		if err != nil {
			return failure.Wrap(err, failure.InvalidSettings, "")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return failure.New(failure.InvalidSettings, "", "%s holds no certificate", s.files.CA)
		}
		c.ClientCAs, c.RootCAs = pool, pool
		c.ClientAuth = tls.RequireAndVerifyClientCert
		if s.mutual {
			verifyByCA(c, pool)
		}
	}
	s.config, s.stamp = c, stamp
	return nil
}

// verifyByCA makes the dialing end check the chain but not the name: hosts
// are known by IP addresses from the configuration, and the CA signs hosts only.
func verifyByCA(c *tls.Config, pool *x509.CertPool) {
	c.InsecureSkipVerify = true // replaced by VerifyConnection below
	c.VerifyConnection = func(cs tls.ConnectionState) error {
		opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
		for _, cert := range cs.PeerCertificates[1:] {
			opts.Intermediates.AddCert(cert)
		}
		_, err := cs.PeerCertificates[0].Verify(opts)
		return err
	}
}
