package settings_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/adapter/peerlink"
	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	a.cert, a.key = issue(t, nil, 1)
	return a
}

func issue(t *testing.T, a *authority, serial int64) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "sesame"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: a == nil, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := tmpl, key
	if a != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// files writes a certificate of the authority; at sets the files' time.
func files(t *testing.T, a *authority, dir string, serial int64, at time.Time) settings.TLS {
	t.Helper()
	cert, key := issue(t, a, serial)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := settings.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		f.Cert: {Type: "CERTIFICATE", Bytes: cert.Raw}, f.Key: {Type: "EC PRIVATE KEY", Bytes: der}, f.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, at, at); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

type silent struct{}

func (silent) HandleRequest(context.Context, *pb.Request) *pb.Response         { return &pb.Response{} }
func (silent) HandleForward(context.Context, *pb.Request, port.IncomingStream) {}

func source(t *testing.T, f settings.TLS) *settings.TLSSource {
	t.Helper()
	s, err := f.Source(true)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestMutualTLSBetweenHosts(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := source(t, files(t, ours, t.TempDir(), 2, time.Now()))
	srv, err := peerlink.NewServer("127.0.0.1:0", peerlink.Options{Key: []byte("k"), TLS: server.Config}, silent{}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = srv.Run(ctx) }()
	for _, c := range []struct {
		name string
		tls  func() *tls.Config
		ok   bool
	}{
		{"same authority", source(t, files(t, ours, t.TempDir(), 3, time.Now())).Config, true},
		{"other authority", source(t, files(t, theirs, t.TempDir(), 4, time.Now())).Config, false},
		{"no TLS", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := peerlink.NewClient(peerlink.Options{Key: []byte("k"), TLS: c.tls})
			defer client.Close()
			_, err := client.Call(ctx, srv.Addr(), &pb.Request{})
			if (err == nil) != c.ok {
				t.Errorf("error %v, want success %v", err, c.ok)
			}
		})
	}
}

func TestKeyFilesAreReadAgain(t *testing.T) {
	a, dir, now := newAuthority(t), t.TempDir(), time.Now()
	s := source(t, files(t, a, dir, 5, now))
	serial := func() int64 {
		c, err := x509.ParseCertificate(s.Config().Certificates[0].Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return c.SerialNumber.Int64()
	}
	if serial() != 5 {
		t.Fatalf("serial %d", serial())
	}
	files(t, a, dir, 6, now.Add(time.Minute))
	if serial() != 6 {
		t.Errorf("serial %d after the files were replaced, want 6", serial())
	}
	if err := os.WriteFile(filepath.Join(dir, "cert"), []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	if serial() != 6 {
		t.Errorf("serial %d with an unreadable file, want the last good one", serial())
	}
}

func TestMutualTLSNeedsAnAuthority(t *testing.T) {
	f := files(t, newAuthority(t), t.TempDir(), 7, time.Now())
	f.CA = ""
	if _, err := f.Source(true); !failure.Is(err, failure.InvalidSettings) {
		t.Errorf("got %v", err)
	}
}
