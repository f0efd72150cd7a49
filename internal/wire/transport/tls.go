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

const rereadEvery = 10 * time.Second

// pair is a certificate that is read again as its files change.
type pair struct {
	files settings.TLS
	now   func() time.Time
	log   *logrus.Logger

	mu   sync.Mutex
	cert *tls.Certificate
	read time.Time
}

func newPair(files settings.TLS, now func() time.Time, log *logrus.Logger) (*pair, error) {
	p := &pair{files: files, now: now, log: log}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, merry.Prepend(err, "read certificate")
	}
	p.cert, p.read = &cert, now()
	return p, nil
}

// get gives the certificate; one that cannot be read anew stays in use.
func (p *pair) get() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Sub(p.read) < rereadEvery {
		return p.cert
	}
	p.read = now
	cert, err := tls.LoadX509KeyPair(p.files.Cert, p.files.Key)
	if err != nil {
		p.log.WithError(err).Warn("tls: certificate cannot be read again; the old one stays")
		return p.cert
	}
	p.cert = &cert
	return p.cert
}

func authority(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, merry.Errorf("read authority: %s holds no certificate", path)
	}
	return pool, nil
}

// ServerTLS is the configuration of a side that is reached; with an authority the other side must show a certificate of it.
func ServerTLS(files settings.TLS, now func() time.Time, log *logrus.Logger) (*tls.Config, error) {
	p, err := newPair(files, now, log)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get(), nil },
	}
	if files.CA == "" {
		return config, nil
	}
	if config.ClientCAs, err = authority(files.CA); err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientTLS is the configuration of a side that reaches others and shows its own certificate.
func ClientTLS(files settings.TLS, now func() time.Time, log *logrus.Logger) (*tls.Config, error) {
	p, err := newPair(files, now, log)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.get(), nil },
	}
	if files.CA == "" {
		return config, nil
	}
	config.RootCAs, err = authority(files.CA)
	return config, err
}
