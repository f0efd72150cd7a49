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

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/fault"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/span"
)

// Role is what a token's bearer may do.
type Role string

// The roles.
const (
	View    Role = "view"
	Operate Role = "operate"
)

const minTokenLength = 16

// Settings is everything that one node is told at its start.
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

// Caller is the side that callers reach.
type Caller struct {
	Address string `toml:"address"`
	TLS     TLS    `toml:"tls"`
	// Body is the largest request body, in bytes.
	Body int `toml:"body"`
}

// Operator is the side that operators reach; without an address there is none.
type Operator struct {
	Address string  `toml:"address"`
	TLS     TLS     `toml:"tls"`
	Tokens  []Token `toml:"token"`
}

// Token lets its bearer in.
type Token struct {
	Who   string `toml:"who"`
	Value string `toml:"value"`
	Role  Role   `toml:"role"`
}

// Peer is the side that other nodes reach.
type Peer struct {
	Address string `toml:"address"`
	// Advertise is the address told to other nodes, the listening one if it is empty.
	Advertise string `toml:"advertise"`
	// Seeds are peer addresses to ask when the platform does not answer at the start.
	Seeds []string `toml:"seeds"`
	TLS   TLS      `toml:"tls"`
}

// TLS names the files of one side; all empty means plain TCP.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA, if set, is the authority that the other side's certificate must come from.
	CA string `toml:"ca"`
}

// Set tells whether the side uses TLS.
func (t TLS) Set() bool { return t.Cert != "" }

// Platform is where the object API is.
type Platform struct {
	URL     string    `toml:"url"`
	Timeout span.Span `toml:"timeout"`
}

// Timing is the lengths that all nodes agree on.
type Timing struct {
	// Beat is the time between two heartbeats.
	Beat span.Span `toml:"beat"`
	// Lease is how long a renewal lasts, Renew the time between two.
	Lease span.Span `toml:"lease"`
	Renew span.Span `toml:"renew"`
	// Drift is how far two clocks' rates may lie apart, in percent.
	Drift int `toml:"drift"`
	// Bound is how long a node that hears nobody goes on taking new work.
	Bound span.Span `toml:"bound"`
	// Lag is how long the balancer takes to leave a node that is not ready.
	Lag span.Span `toml:"lag"`
}

// Ledger is how claims are kept.
type Ledger struct {
	Shards int       `toml:"shards"`
	Commit span.Span `toml:"commit"`
	Retain span.Span `toml:"retain"`
}

// Log is how the node logs.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default is the settings before a file is read.
func Default() Settings {
	return Settings{
		Caller:   Caller{Body: 256 << 10},
		Platform: Platform{Timeout: span.Span(2 * time.Second)},
		Timing: Timing{
			Beat:  span.Span(500 * time.Millisecond),
			Lease: span.Span(6 * time.Second),
			Renew: span.Span(2 * time.Second),
			Drift: 2,
			Bound: span.Span(4 * time.Second),
			Lag:   span.Span(2 * time.Second),
		},
		Ledger: Ledger{Shards: 8, Commit: span.Span(20 * time.Millisecond), Retain: span.Span(24 * time.Hour)},
		Log:    Log{Level: "info", Format: "json"},
	}
}

// Read reads a file over the defaults.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(err, "read settings")
	}
	s, list := Parse(data)
	for i := range list {
		list[i].File = path
	}
	return s, list.Err()
}

// Parse reads TOML over the defaults and lists its faults.
func Parse(data []byte) (Settings, fault.List) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, decodeFaults(err)
	}
	return s, s.Validate()
}

func decodeFaults(err error) fault.List {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return fault.List{{Kind: "settings", Field: "file", Text: err.Error()}}
	}
	var list fault.List
	for _, e := range strict.Errors {
		field := ""
		for i, k := range e.Key() {
			if i > 0 {
				field += "."
			}
			field += k
		}
		list = append(list, fault.Fault{Kind: "settings", Field: field, Text: "is not known"})
	}
	return list
}

// Validate lists every fault.
func (s Settings) Validate() fault.List {
	c := &fault.Checker{Kind: "settings", Name: s.Name}
	c.Check(fault.ValidName(s.Name), "name", "is missing or not a valid name: %q", s.Name)
	c.Check(fault.ValidName(s.Datacentre), "datacentre", "is missing or not a valid name: %q", s.Datacentre)
	c.Check(address(s.Caller.Address), "caller.address", "must be IP:PORT, not %q", s.Caller.Address)
	c.Check(s.Caller.Body >= 1 && s.Caller.Body <= 8<<20, "caller.body", "must be 1 to %d bytes, not %d", 8<<20, s.Caller.Body)
	c.Check(address(s.Peer.Address), "peer.address", "must be IP:PORT, not %q", s.Peer.Address)
	c.Check(s.Peer.Advertise == "" || address(s.Peer.Advertise), "peer.advertise", "must be IP:PORT, not %q", s.Peer.Advertise)
	for _, seed := range s.Peer.Seeds {
		c.Check(address(seed), "peer.seeds", "must be IP:PORT, not %q", seed)
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

func address(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func (t TLS) check(c *fault.Checker, field string) {
	c.Check((t.Cert == "") == (t.Key == ""), field, "cert and key must be given together")
	c.Check(t.CA == "" || t.Cert != "", field+".ca", "needs cert and key too")
}

func (o Operator) check(c *fault.Checker) {
	if o.Address == "" {
		return
	}
	c.Check(address(o.Address), "operator.address", "must be IP:PORT, not %q", o.Address)
	c.Check(len(o.Tokens) > 0, "operator.token", "at least one is needed")
	o.TLS.check(c, "operator.tls")
	for _, t := range o.Tokens {
		c.Check(fault.ValidName(t.Who), "operator.token.who", "is missing or not a valid name: %q", t.Who)
		c.Check(len(t.Value) >= minTokenLength, "operator.token.value", "of %q must have at least %d characters", t.Who, minTokenLength)
		c.Check(t.Role == View || t.Role == Operate, "operator.token.role", "of %q must be %q or %q, not %q", t.Who, View, Operate, t.Role)
	}
}

func (t Timing) check(c *fault.Checker) {
	c.Check(t.Beat > 0, "timing.beat", "must be above 0")
	c.Check(t.Renew > 0 && 2*t.Renew <= t.Lease, "timing.renew", "must be above 0 and at most half of the lease")
	c.Check(t.Bound >= 4*t.Beat, "timing.bound", "must be at least four beats")
	// A node that hears nobody must stop before others may take what it owns.
	c.Check(t.Bound < t.Lease, "timing.bound", "must be below the lease")
	c.Check(t.Drift >= 0 && t.Drift <= 20, "timing.drift", "must be 0 to 20 percent, not %d", t.Drift)
	c.Check(t.Lag >= 0, "timing.lag", "must not be below 0")
}

func (l Ledger) check(c *fault.Checker) {
	c.Check(l.Shards >= 1 && l.Shards <= 1024, "ledger.shards", "must be 1 to 1024, not %d", l.Shards)
	c.Check(l.Commit > 0, "ledger.commit", "must be above 0")
	c.Check(l.Retain.Duration() >= time.Minute, "ledger.retain", "must be at least a minute")
}

// Print writes the settings as TOML.
func (s Settings) Print() (string, error) {
	data, err := toml.Marshal(s)
	return string(data), merry.Prepend(err, "print settings")
}
