package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
)

const (
	tokenVariable = "LACEWINGDRIFT_TOKEN"
	callTimeout   = 30 * time.Second
)

// client calls a node's operators' interface.
type client struct {
	node   string
	token  string
	ca     string
	output string
}

// flags adds what every command for operators takes.
func (c *client) flags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&c.node, "node", "http://127.0.0.1:8090", "a node's operators' address")
	cmd.Flags().StringVar(&c.token, "token", os.Getenv(tokenVariable), "the bearer token, by default from "+tokenVariable)
	cmd.Flags().StringVar(&c.ca, "ca", "", "the authority of the node's certificate")
	cmd.Flags().StringVar(&c.output, "output", "text", "text or json")
	return cmd
}

func (c *client) json() bool { return c.output == "json" }

// print writes a value as JSON, or calls text.
func (c *client) print(w io.Writer, value any, text func(io.Writer)) error {
	if !c.json() {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func (c *client) http() (*http.Client, error) {
	h := &http.Client{Timeout: callTimeout}
	if c.ca == "" {
		return h, nil
	}
	data, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, merry.Prepend(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, merry.Errorf("read authority: %s holds no certificate", c.ca)
	}
	h.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return h, nil
}

// call sends body and reads the answer into out; a refusal comes back as *refused.
func (c *client) call(method, path string, body, out any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequest(method, c.node+path, bytes.NewReader(data))
	if err != nil {
		return merry.Prepend(err, "call node")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	h, err := c.http()
	if err != nil {
		return err
	}
	resp, err := h.Do(req)
	if err != nil {
		return merry.Prepend(err, "call node")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r := &refused{code: resp.StatusCode}
		_ = json.NewDecoder(resp.Body).Decode(&r.problem)
		return r
	}
	return merry.Prepend(json.NewDecoder(resp.Body).Decode(out), "read answer")
}

// refused is a node's refusal.
type refused struct {
	code    int
	problem operatorapi.ErrorResponse
}

// Error shows the problem with every fault, and after a lost race who was first with what.
func (r *refused) Error() string {
	text := r.problem.Error
	for _, f := range r.problem.Faults {
		text += "\n  " + f.String()
	}
	if o := r.problem.Current; o != nil {
		text += fmt.Sprintf("\n  version %d by %s at %s: %s", o.Version, o.Change.Operator, o.Change.Time.Format(time.RFC3339), o.Value)
		text += "\n  nothing was changed; get the object, edit it again and send it with its new version"
	}
	if text == "" {
		text = http.StatusText(r.code)
	}
	return text
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *client) get(kind, name string) (edit.Object, error) {
	var o edit.Object
	err := c.call(http.MethodGet, objectPath(kind, name), nil, &o)
	return o, err
}

func (c *client) put(kind, name string, w operatorapi.PutRequest) (edit.Object, error) {
	var o edit.Object
	err := c.call(http.MethodPut, objectPath(kind, name), w, &o)
	return o, err
}
