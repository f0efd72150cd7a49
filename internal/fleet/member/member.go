package member

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the platform's object kind of a member.
const Kind = "member"

// State is a node's state as reported by the node itself or found by its peers.
type State string

// The states of a member.
const (
	// Joining is the state of a node that serves no target yet but may be asked for releases.
	Joining State = "joining"
	Live    State = "live"
	// Stopping is the state of a node that finishes its running work and takes no new ownership.
	Stopping State = "stopping"
	// Gone is the state of a node that has stopped or whose lease was ended by a peer.
	Gone State = "gone"
)

// Member is the row of one node in the table.
type Member struct {
	Name string `json:"name"`
	// Generation increases with each start of the node.
	Generation uint64 `json:"generation"`
	// Revision increases with each change of the row within a generation.
	Revision      uint64 `json:"change"`
	Datacentre    string `json:"datacentre"`
	PeerAddress   string `json:"peer"`
	CallerAddress string `json:"caller"`
	State         State  `json:"state"`
	// ChangedAt is the time of the last change of state, in Unix milliseconds.
	ChangedAt int64 `json:"at"`
}

// GoneRetention is how long the row of a gone node is kept, so that no older row of it is merged again.
const GoneRetention = time.Hour

// WithState returns the row's next revision, with another state.
func (m Member) WithState(s State, now time.Time) Member {
	m.State = s
	m.Revision++
	m.ChangedAt = now.UnixMilli()
	return m
}

// Prunable reports whether the row may be removed.
func (m Member) Prunable(now time.Time) bool {
	return m.State == Gone && now.Sub(time.UnixMilli(m.ChangedAt)) > GoneRetention
}

// Newer reports whether m replaces old.
func (m Member) Newer(old Member) bool {
	if m.Generation != old.Generation {
		return m.Generation > old.Generation
	}
	return m.Revision > old.Revision
}

// Table is an immutable table of members.
type Table struct {
	rows map[string]Member
	hash uint64
	live []string
	byDC map[string][]string
}

// NewTable returns a table with the newest row of each node.
func NewTable(rows []Member) *Table {
	t := &Table{rows: make(map[string]Member, len(rows)), byDC: map[string][]string{}}
	for _, m := range rows {
		if old, ok := t.rows[m.Name]; !ok || m.Newer(old) {
			t.rows[m.Name] = m
		}
	}
	for _, m := range t.Rows() {
		t.hash ^= rowHash(m)
		if m.State == Live {
			t.live = append(t.live, m.Name)
			t.byDC[m.Datacentre] = append(t.byDC[m.Datacentre], m.Name)
		}
	}
	return t
}

func rowHash(m Member) uint64 {
	text := m.Name + "/" + strconv.FormatUint(m.Generation, 36) + "/" + strconv.FormatUint(m.Revision, 36)
	return xxhash.Sum64String(text)
}

// Rows lists the rows, sorted by name.
func (t *Table) Rows() []Member {
	list := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Get returns the row of a node; false if there is none.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.rows[name]
	return m, ok
}

// Hash returns a hash of the table's rows.
func (t *Table) Hash() uint64 { return t.hash }

// Live lists the names of the live nodes.
func (t *Table) Live() []string { return t.live }

// LiveIn lists the names of the live nodes of a data centre.
func (t *Table) LiveIn(datacentre string) []string { return t.byDC[datacentre] }

// Datacentres lists the names of the data centres that have live nodes, sorted.
func (t *Table) Datacentres() []string {
	list := make([]string, 0, len(t.byDC))
	for d := range t.byDC {
		list = append(list, d)
	}
	sort.Strings(list)
	return list
}

// Merge returns the table with the newer ones of rows merged in, and reports whether anything changed.
func (t *Table) Merge(now time.Time, rows []Member) (*Table, bool) {
	var newer []Member
	for _, m := range rows {
		old, ok := t.rows[m.Name]
		if (!ok && !m.Prunable(now)) || (ok && m.Newer(old)) {
			newer = append(newer, m)
		}
	}
	if len(newer) == 0 {
		return t, false
	}
	return NewTable(append(t.Rows(), newer...)), true
}

// Prune returns the table without the prunable rows, and those rows.
func (t *Table) Prune(now time.Time) (*Table, []Member) {
	var kept, pruned []Member
	for _, m := range t.Rows() {
		if m.Prunable(now) {
			pruned = append(pruned, m)
			continue
		}
		kept = append(kept, m)
	}
	if len(pruned) == 0 {
		return t, nil
	}
	return NewTable(kept), pruned
}
