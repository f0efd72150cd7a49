package process

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
)

const (
	operateToken = "operate-token-of-rosa"
	viewToken    = "view-token-of-the-wall"
)

// authority is a certificate authority for one test.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	n    int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.key, a.cert = a.sign(t, "ca", nil)
	return a
}

// sign writes NAME.crt and NAME.key; without a parent the certificate is self-signed.
func (a *authority) sign(t *testing.T, name string, parent *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.n++
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(a.n),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.ParseIP("127.0.0.1")},
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	issuer, issuerKey := parent, a.key
	if parent == nil {
		issuer, issuerKey = template, key
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, issuer, &key.PublicKey, issuerKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, name+".crt", "CERTIFICATE", certDER)
	a.write(t, name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		t.Fatal(err)
	}
	return key, cert
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (a *authority) tlsFiles(t *testing.T, name string, mutual bool) settings.TLS {
	t.Helper()
	a.sign(t, name, a.cert)
	files := settings.TLS{Cert: filepath.Join(a.dir, name+".crt"), Key: filepath.Join(a.dir, name+".key")}
	if mutual {
		files.CA = filepath.Join(a.dir, "ca.crt")
	}
	return files
}

func (a *authority) client() *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
}

func startWithTLS(t *testing.T, s *store.Store, a *authority, name string, log io.Writer) *Process {
	t.Helper()
	cfg := settings.Default()
	cfg.Name, cfg.Datacentre = name, "maipo"
	cfg.Caller.Address, cfg.Peer.Address, cfg.Operator.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Operator.Tokens = []settings.Token{{Operator: "rosa", Value: operateToken, Role: settings.Operate}, {Operator: "wall", Value: viewToken, Role: settings.View}}
	cfg.Caller.TLS = a.tlsFiles(t, name+"-caller", false)
	cfg.Operator.TLS = a.tlsFiles(t, name+"-operator", false)
	cfg.Peer.TLS = a.tlsFiles(t, name+"-peer", true)
	p, err := Start(Config{Settings: cfg, Log: logging.New(logging.Config{Level: "debug", Format: "json", Out: log}), Platform: s.Connect(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

func TestOperatorsOverTLS(t *testing.T) {
	a, s := newAuthority(t), store.New()
	log := &lockedBuffer{}
	first := startWithTLS(t, s, a, "maipo-1", log)
	startWithTLS(t, s, a, "maipo-2", log)
	client := a.client()
	call := func(method, path, token string, body any) (int, string) {
		t.Helper()
		data, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequestWithContext(context.Background(), method, "https://"+first.OperatorAddress()+path, bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	dc := operatorapi.PutRequest{Value: json.RawMessage(`{"name":"maipo"}`)}
	tests := []struct {
		name, method, path, token string
		body                      any
		want                      int
		text                      string
	}{
		{"no token", http.MethodGet, "/v1/status", "", nil, 401, "bearer token"},
		{"wrong token", http.MethodGet, "/v1/status", "guess", nil, 401, ""},
		{"view may look", http.MethodGet, "/v1/status", viewToken, nil, 200, "maipo-1"},
		{"view may not edit", http.MethodPut, "/v1/objects/datacentre/maipo", viewToken, dc, 403, "operate"},
		{"operate may edit", http.MethodPut, "/v1/objects/datacentre/maipo", operateToken, dc, 200, `"version"`},
		{"stale edit", http.MethodPut, "/v1/objects/datacentre/maipo", operateToken, dc, 409, "rosa changed it first"},
		{"unknown kind", http.MethodGet, "/v1/objects/planet", viewToken, nil, 404, "planet"},
		{"unknown field", http.MethodPost, "/v1/publish", operateToken, map[string]any{"forse": true}, 400, "forse"},
		{"publish", http.MethodPost, "/v1/publish", operateToken, operatorapi.PublishRequest{Reason: "first"}, 200, `"number":1`},
		{"no such release", http.MethodPost, "/v1/rollback", operateToken, operatorapi.PublishRequest{ReleaseNumber: 9}, 503, "release 9 is not kept"},
		{"trail", http.MethodGet, "/v1/audit?who=rosa", viewToken, nil, 200, `"refused"`},
		{"bad time", http.MethodGet, "/v1/audit?since=noon", viewToken, nil, 400, "since"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, text := call(tt.method, tt.path, tt.token, tt.body)
			if code != tt.want || !strings.Contains(text, tt.text) {
				t.Errorf("got %d %s, want %d with %q", code, text, tt.want, tt.text)
			}
		})
	}
	// The other node is reached over mutual TLS and gets the release.
	deadline := time.Now().Add(5 * time.Second)
	for {
		_, text := call(http.MethodGet, "/v1/status", viewToken, nil)
		if strings.Count(text, `"release":1`) == 2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %s, want release 1 on both nodes", text)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := log.String(); strings.Contains(got, operateToken) || strings.Contains(got, viewToken) {
		t.Error("got a token in the log")
	}
	untrusting := &http.Client{Timeout: time.Second}
	if _, err := untrusting.Get("https://" + first.CallerAddress() + "/healthz"); err == nil {
		t.Error("got a response for a client that does not trust the authority, want none")
	}
	if _, err := tls.Dial("tcp", first.Node().PeerAddress(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}); err == nil {
		// TLS 1.3 reports the rejection of a client's certificate only with the first read.
		conn, _ := tls.Dial("tcp", first.Node().PeerAddress(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, err := io.ReadAll(conn)
		if err == nil || !strings.Contains(fmt.Sprint(err), "certificate") {
			t.Errorf("got %v for a peer without a certificate, want it refused", err)
		}
	}
}
