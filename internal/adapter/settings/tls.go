package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// TLSSource provides a TLS configuration from files and reloads them when they
// change, so that keys can be rotated without a restart.
type TLSSource struct {
	files          TLS
	mutual         bool
	mu             sync.Mutex
	config         *tls.Config
	loadedModTimes [3]time.Time
}

// Source returns a TLSSource for the files, or nil if TLS is off. With mutual, a CA
// file is required and both ends must present certificates signed by that CA.
func (t TLS) Source(mutual bool) (*TLSSource, error) {
	if t.Cert == "" {
		return nil, nil
	}
	s := &TLSSource{files: t, mutual: mutual}
	if mutual && t.CA == "" {
		return nil, failure.New(failure.InvalidSettings, "", "mutual TLS requires a ca file")
	}
	if err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Config returns the current configuration. If changed files cannot be loaded, it
// returns the last one that was loaded.
func (s *TLSSource) Config() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed() {
		_ = s.reload()
	}
	return s.config
}

// Server returns a configuration for a listener, which calls Config for each
// connection. For a nil source it returns nil, which means plain TCP.
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
	return s.modTimes() != s.loadedModTimes
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
	modTimes := s.modTimes()
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
			verifyChainOnly(c, pool)
		}
	}
	s.config, s.loadedModTimes = c, modTimes
	return nil
}

// verifyChainOnly makes the dialing end verify the certificate chain but not the name:
// the configuration identifies hosts by IP address, and the CA signs only hosts.
func verifyChainOnly(c *tls.Config, pool *x509.CertPool) {
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
