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

// writeKeyPair writes a key and a self-signed certificate with the given serial number.
func writeKeyPair(t *testing.T, files settings.TLS, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial)}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER}))
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{Cert: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key")}
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	writeKeyPair(t, files, 1)
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
			t.Errorf("%s: got certificate serial %d, want %d", step, got, want)
		}
	}
	check("before any change", 1)
	writeKeyPair(t, files, 2)
	check("changed before the reload interval is over", 1)
	now = now.Add(reloadInterval)
	check("changed after the reload interval", 2)
	write(t, files.Key, []byte("half a file"))
	now = now.Add(reloadInterval)
	check("key file truncated", 2)
}
