package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
)

// writePair writes a certificate with the given number that signs itself.
func writePair(t *testing.T, files settings.TLS, number int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(number)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestCertificateIsReadAgain(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{Cert: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key")}
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	writePair(t, files, 1)
	config, err := ServerTLS(files, func() time.Time { return now }, log)
	if err != nil {
		t.Fatal(err)
	}
	check := func(step string, want int64) {
		t.Helper()
		cert, err := config.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		leaf, err := x509.ParseCertificate(cert.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		if got := leaf.SerialNumber.Int64(); got != want {
			t.Errorf("%s: got certificate %d, want %d", step, got, want)
		}
	}
	check("at the start", 1)
	writePair(t, files, 2)
	check("just after the files changed", 1)
	now = now.Add(rereadEvery)
	check("once they are read again", 2)
	write(t, files.Key, []byte("half a file"))
	now = now.Add(rereadEvery)
	check("while a file is broken", 2)
}
