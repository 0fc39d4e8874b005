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

// certAuthority signs certificates for the tests.
type certAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCA(t *testing.T) *certAuthority {
	t.Helper()
	a := &certAuthority{}
	a.cert, a.key = issue(t, nil, 1)
	return a
}

func issue(t *testing.T, a *certAuthority, serial int64) (*x509.Certificate, *ecdsa.PrivateKey) {
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

// writeFiles writes a certificate signed by a, its key and the CA certificate to dir, with
// modification time at.
func writeFiles(t *testing.T, a *certAuthority, dir string, serial int64, at time.Time) settings.TLS {
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

type emptyHandler struct{}

func (emptyHandler) HandleRequest(context.Context, *pb.Request) *pb.Response         { return &pb.Response{} }
func (emptyHandler) HandleForward(context.Context, *pb.Request, port.IncomingStream) {}

func newSource(t *testing.T, f settings.TLS) *settings.TLSSource {
	t.Helper()
	s, err := f.Source(true)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestMutualTLSBetweenHosts(t *testing.T) {
	hostCA, otherCA := newCA(t), newCA(t)
	server := newSource(t, writeFiles(t, hostCA, t.TempDir(), 2, time.Now()))
	srv, err := peerlink.NewServer("127.0.0.1:0", peerlink.Options{Key: []byte("k"), TLS: server.Config}, emptyHandler{}, logr.Discard())
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
		{"same authority", newSource(t, writeFiles(t, hostCA, t.TempDir(), 3, time.Now())).Config, true},
		{"other authority", newSource(t, writeFiles(t, otherCA, t.TempDir(), 4, time.Now())).Config, false},
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

func TestReplacedKeyFilesAreReloaded(t *testing.T) {
	a, dir, now := newCA(t), t.TempDir(), time.Now()
	s := newSource(t, writeFiles(t, a, dir, 5, now))
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
	writeFiles(t, a, dir, 6, now.Add(time.Minute))
	if serial() != 6 {
		t.Errorf("serial %d after the files were replaced, want 6", serial())
	}
	if err := os.WriteFile(filepath.Join(dir, "cert"), []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	if serial() != 6 {
		t.Errorf("serial %d with an invalid certificate file, want 6, the last one loaded", serial())
	}
}

func TestMutualTLSRequiresCA(t *testing.T) {
	f := writeFiles(t, newCA(t), t.TempDir(), 7, time.Now())
	f.CA = ""
	if _, err := f.Source(true); !failure.Is(err, failure.InvalidSettings) {
		t.Errorf("got %v", err)
	}
}
