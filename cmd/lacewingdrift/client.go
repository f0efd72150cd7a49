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

// client calls the operators' API of a node.
type client struct {
	node   string
	token  string
	ca     string
	output string
}

// flags adds the flags that all commands for operators have.
func (c *client) flags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&c.node, "node", "http://127.0.0.1:8090", "URL of the operators' API of a node")
	cmd.Flags().StringVar(&c.token, "token", os.Getenv(tokenVariable), "bearer token, by default from "+tokenVariable)
	cmd.Flags().StringVar(&c.ca, "ca", "", "file with the CA certificate of the node")
	cmd.Flags().StringVar(&c.output, "output", "text", "output format, text or json")
	return cmd
}

func (c *client) isJSON() bool { return c.output == "json" }

// print writes value as JSON or calls text, by the output format.
func (c *client) print(w io.Writer, value any, text func(io.Writer)) error {
	if !c.isJSON() {
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
		return nil, merry.Prepend(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, merry.Errorf("read CA certificates: %s contains no certificate", c.ca)
	}
	h.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return h, nil
}

// call sends body and decodes the response into out; an error response is returned as *apiError.
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
		e := &apiError{code: resp.StatusCode}
		_ = json.NewDecoder(resp.Body).Decode(&e.response)
		return e
	}
	return merry.Prepend(json.NewDecoder(resp.Body).Decode(out), "decode response")
}

// apiError is an error response of a node.
type apiError struct {
	code     int
	response operatorapi.ErrorResponse
}

// Error returns the error with all violations, and after a version conflict the stored object and who changed it.
func (e *apiError) Error() string {
	text := e.response.Error
	for _, v := range e.response.Violations {
		text += "\n  " + v.String()
	}
	if o := e.response.Current; o != nil {
		text += fmt.Sprintf("\n  version %d by %s at %s: %s", o.Version, o.Change.Operator, o.Change.Time.Format(time.RFC3339), o.Value)
		text += "\n  nothing was changed; get the object, edit it again and send it with the new version"
	}
	if text == "" {
		text = http.StatusText(e.code)
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

func (c *client) put(kind, name string, body operatorapi.PutRequest) (edit.Object, error) {
	var o edit.Object
	err := c.call(http.MethodPut, objectPath(kind, name), body, &o)
	return o, err
}
