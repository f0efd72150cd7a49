package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
)

const reloadInterval = 10 * time.Second

// keyPair is a certificate and key that are reloaded when their files change.
type keyPair struct {
	files settings.TLS
	now   func() time.Time
	log   *logrus.Logger

	mu     sync.Mutex
	cert   *tls.Certificate
	loaded time.Time
}

func newKeyPair(files settings.TLS, now func() time.Time, log *logrus.Logger) (*keyPair, error) {
	p := &keyPair{files: files, now: now, log: log}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, merry.Prepend(err, "read certificate")
	}
	p.cert, p.loaded = &cert, now()
	return p, nil
}

// certificate returns the current certificate; if the files cannot be reloaded, the previous one stays in use.
func (p *keyPair) certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Sub(p.loaded) < reloadInterval {
		return p.cert
	}
	p.loaded = now
	cert, err := tls.LoadX509KeyPair(p.files.Cert, p.files.Key)
	if err != nil {
		p.log.WithError(err).Warn("tls: certificate reload failed; keeping the previous certificate")
		return p.cert
	}
	p.cert = &cert
	return p.cert
}

func loadCAPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, merry.Errorf("read CA certificates: %s contains no certificate", path)
	}
	return pool, nil
}

// ServerTLS returns the configuration of a server; if a CA is set, clients must present a certificate signed by it.
func ServerTLS(files settings.TLS, now func() time.Time, log *logrus.Logger) (*tls.Config, error) {
	p, err := newKeyPair(files, now, log)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.certificate(), nil },
	}
	if files.CA == "" {
		return config, nil
	}
	if config.ClientCAs, err = loadCAPool(files.CA); err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientTLS returns the configuration of a client that presents its own certificate.
func ClientTLS(files settings.TLS, now func() time.Time, log *logrus.Logger) (*tls.Config, error) {
	p, err := newKeyPair(files, now, log)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.certificate(), nil },
	}
	if files.CA == "" {
		return config, nil
	}
	config.RootCAs, err = loadCAPool(files.CA)
	return config, err
}
