package settings

import (
	"bytes"
	"errors"
	"net"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
)

// Role is the permission of a token's bearer.
type Role string

// The roles.
const (
	View    Role = "view"
	Operate Role = "operate"
)

const minTokenLength = 16

// Settings holds the start settings of one node.
type Settings struct {
	Name       string   `toml:"name"`
	Datacentre string   `toml:"datacentre"`
	Caller     Caller   `toml:"caller"`
	Operator   Operator `toml:"operator"`
	Peer       Peer     `toml:"peer"`
	Platform   Platform `toml:"platform"`
	Timing     Timing   `toml:"timing"`
	Ledger     Ledger   `toml:"ledger"`
	Log        Log      `toml:"log"`
}

// Caller configures the interface for callers.
type Caller struct {
	Address string `toml:"address"`
	TLS     TLS    `toml:"tls"`
	// MaxBody is the largest request body, in bytes.
	MaxBody int `toml:"body"`
}

// Operator configures the interface for operators, which is off without an address.
type Operator struct {
	Address string  `toml:"address"`
	TLS     TLS     `toml:"tls"`
	Tokens  []Token `toml:"token"`
}

// Token is a bearer token of an operator.
type Token struct {
	Operator string `toml:"who"`
	Value    string `toml:"value"`
	Role     Role   `toml:"role"`
}

// Peer configures the interface for other nodes.
type Peer struct {
	Address string `toml:"address"`
	// Advertise is the address announced to other nodes; empty means the listening address.
	Advertise string `toml:"advertise"`
	// Seeds are the peer addresses to contact when the platform is unavailable at the start.
	Seeds []string `toml:"seeds"`
	TLS   TLS      `toml:"tls"`
}

// TLS names the certificate files of one interface; all empty means plain TCP.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA, if set, names the certificate authority that must have signed the remote end's certificate.
	CA string `toml:"ca"`
}

// Enabled reports whether the interface uses TLS.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Platform configures access to the platform's object API.
type Platform struct {
	URL     string            `toml:"url"`
	Timeout duration.Duration `toml:"timeout"`
}

// Timing holds the intervals and timeouts that must be the same on all nodes.
type Timing struct {
	// Heartbeat is the time between two heartbeats.
	Heartbeat duration.Duration `toml:"beat"`
	// Lease is how long a lease lasts after a renewal, RenewInterval the time between two renewals.
	Lease         duration.Duration `toml:"lease"`
	RenewInterval duration.Duration `toml:"renew"`
	// ClockDrift is the maximum difference between the rates of two clocks, in percent.
	ClockDrift int `toml:"drift"`
	// IsolationTimeout is how long a node without any contact keeps taking new work.
	IsolationTimeout duration.Duration `toml:"bound"`
	// BalancerLag is how long the load balancer takes to stop using a node that is not ready.
	BalancerLag duration.Duration `toml:"lag"`
	// Grace is the time from SIGTERM until the process is killed by what supervises it.
	Grace duration.Duration `toml:"grace"`
}

// minGrace leaves time to answer and to hand over, besides the reserve for a busy VM.
const minGrace = time.Second

// Ledger configures the storage of claims.
type Ledger struct {
	Shards         int               `toml:"shards"`
	CommitInterval duration.Duration `toml:"commit"`
	Retention      duration.Duration `toml:"retain"`
}

// Log configures logging.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the settings that hold before a file is read.
func Default() Settings {
	return Settings{
		Caller:   Caller{MaxBody: 256 << 10},
		Platform: Platform{Timeout: duration.Duration(2 * time.Second)},
		Timing: Timing{
			Heartbeat:        duration.Duration(500 * time.Millisecond),
			Lease:            duration.Duration(6 * time.Second),
			RenewInterval:    duration.Duration(2 * time.Second),
			ClockDrift:       2,
			IsolationTimeout: duration.Duration(4 * time.Second),
			BalancerLag:      duration.Duration(2 * time.Second),
			Grace:            duration.Duration(15 * time.Second),
		},
		Ledger: Ledger{Shards: 8, CommitInterval: duration.Duration(20 * time.Millisecond), Retention: duration.Duration(24 * time.Hour)},
		Log:    Log{Level: "info", Format: "json"},
	}
}

// Read reads a settings file; keys that it lacks keep their defaults.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(err, "read settings")
	}
	s, violations := Parse(data)
	for i := range violations {
		violations[i].File = path
	}
	return s, violations.Err()
}

// Parse decodes TOML over the defaults and lists its violations.
func Parse(data []byte) (Settings, validation.Violations) {
	s := Default()
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, decodeViolations(err)
	}
	return s, s.Validate()
}

func decodeViolations(err error) validation.Violations {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return validation.Violations{{Kind: "settings", Field: "file", Text: err.Error()}}
	}
	var list validation.Violations
	for _, e := range strict.Errors {
		field := ""
		for i, k := range e.Key() {
			if i > 0 {
				field += "."
			}
			field += k
		}
		list = append(list, validation.Violation{Kind: "settings", Field: field, Text: "is not known"})
	}
	return list
}

// Validate lists every violation.
func (s Settings) Validate() validation.Violations {
	c := &validation.Checker{Kind: "settings", Name: s.Name}
	c.Check(validation.ValidName(s.Name), "name", "is missing or not a valid name: %q", s.Name)
	c.Check(validation.ValidName(s.Datacentre), "datacentre", "is missing or not a valid name: %q", s.Datacentre)
	c.Check(isAddress(s.Caller.Address), "caller.address", "must be IP:PORT, not %q", s.Caller.Address)
	c.Check(s.Caller.MaxBody >= 1 && s.Caller.MaxBody <= 8<<20, "caller.body", "must be 1 to %d bytes, not %d", 8<<20, s.Caller.MaxBody)
	c.Check(isAddress(s.Peer.Address), "peer.address", "must be IP:PORT, not %q", s.Peer.Address)
	c.Check(s.Peer.Advertise == "" || isAddress(s.Peer.Advertise), "peer.advertise", "must be IP:PORT, not %q", s.Peer.Advertise)
	for _, seed := range s.Peer.Seeds {
		c.Check(isAddress(seed), "peer.seeds", "must be IP:PORT, not %q", seed)
	}
	u, err := url.Parse(s.Platform.URL)
	c.Check(err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https"), "platform.url", "must be http://IP:PORT, not %q", s.Platform.URL)
	c.Check(s.Platform.Timeout > 0, "platform.timeout", "must be above 0")
	s.Caller.TLS.check(c, "caller.tls")
	s.Peer.TLS.check(c, "peer.tls")
	s.Operator.check(c)
	s.Timing.check(c)
	s.Ledger.check(c)
	c.Check(levels[s.Log.Level], "log.level", "must be debug, info, warning or error, not %q", s.Log.Level)
	c.Check(s.Log.Format == "json" || s.Log.Format == "text", "log.format", "must be json or text, not %q", s.Log.Format)
	return c.List()
}

var levels = map[string]bool{"debug": true, "info": true, "warning": true, "error": true}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func (t TLS) check(c *validation.Checker, field string) {
	c.Check((t.Cert == "") == (t.Key == ""), field, "cert and key must be given together")
	c.Check(t.CA == "" || t.Cert != "", field+".ca", "needs cert and key too")
}

func (o Operator) check(c *validation.Checker) {
	if o.Address == "" {
		return
	}
	c.Check(isAddress(o.Address), "operator.address", "must be IP:PORT, not %q", o.Address)
	c.Check(len(o.Tokens) > 0, "operator.token", "at least one is needed")
	o.TLS.check(c, "operator.tls")
	for _, t := range o.Tokens {
		c.Check(validation.ValidName(t.Operator), "operator.token.who", "is missing or not a valid name: %q", t.Operator)
		c.Check(len(t.Value) >= minTokenLength, "operator.token.value", "of %q must have at least %d characters", t.Operator, minTokenLength)
		c.Check(t.Role == View || t.Role == Operate, "operator.token.role", "of %q must be %q or %q, not %q", t.Operator, View, Operate, t.Role)
	}
}

func (t Timing) check(c *validation.Checker) {
	c.Check(t.Heartbeat > 0, "timing.beat", "must be above 0")
	c.Check(t.RenewInterval > 0 && 2*t.RenewInterval <= t.Lease, "timing.renew", "must be above 0 and at most half of the lease")
	c.Check(t.IsolationTimeout >= 4*t.Heartbeat, "timing.bound", "must be at least four beats")
	// An isolated node must stop before others may take over what it owns.
	c.Check(t.IsolationTimeout < t.Lease, "timing.bound", "must be below the lease")
	c.Check(t.ClockDrift >= 0 && t.ClockDrift <= 20, "timing.drift", "must be 0 to 20 percent, not %d", t.ClockDrift)
	c.Check(t.BalancerLag >= 0, "timing.lag", "must not be below 0")
	c.Check(t.Grace.Duration() >= minGrace, "timing.grace", "must be at least %s", minGrace)
	c.Check(2*t.BalancerLag <= t.Grace, "timing.grace", "must be at least twice the lag")
}

func (l Ledger) check(c *validation.Checker) {
	c.Check(l.Shards >= 1 && l.Shards <= 1024, "ledger.shards", "must be 1 to 1024, not %d", l.Shards)
	c.Check(l.CommitInterval > 0, "ledger.commit", "must be above 0")
	c.Check(l.Retention.Duration() >= time.Minute, "ledger.retain", "must be at least a minute")
}

// Encode returns the settings as TOML.
func (s Settings) Encode() (string, error) {
	data, err := toml.Marshal(s)
	return string(data), merry.Prepend(err, "print settings")
}
