package member

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the platform's object kind of a member.
const Kind = "member"

// State is what a node says of itself, or what its peers found.
type State string

// The states of a member.
const (
	// Joining nodes serve no target yet but may be asked for releases.
	Joining State = "joining"
	Live    State = "live"
	// Stopping nodes finish what they run and own nothing new.
	Stopping State = "stopping"
	// Gone nodes have stopped, or their lease was taken from them.
	Gone State = "gone"
)

// Member is one node's row.
type Member struct {
	Name string `json:"name"`
	// Generation rises with each start of the node.
	Generation uint64 `json:"generation"`
	// Revision rises with each change of the row inside a generation.
	Revision      uint64 `json:"change"`
	Datacentre    string `json:"datacentre"`
	PeerAddress   string `json:"peer"`
	CallerAddress string `json:"caller"`
	State         State  `json:"state"`
	// ChangedAt is when the state changed, in Unix milliseconds.
	ChangedAt int64 `json:"at"`
}

// GoneRetention is how long the row of a node that is gone is kept, so that no older row of it comes back.
const GoneRetention = time.Hour

// WithState gives the next change of the row in another state.
func (m Member) WithState(s State, now time.Time) Member {
	m.State = s
	m.Revision++
	m.ChangedAt = now.UnixMilli()
	return m
}

// Prunable tells whether the row may be forgotten.
func (m Member) Prunable(now time.Time) bool {
	return m.State == Gone && now.Sub(time.UnixMilli(m.ChangedAt)) > GoneRetention
}

// Newer tells whether m replaces old.
func (m Member) Newer(old Member) bool {
	if m.Generation != old.Generation {
		return m.Generation > old.Generation
	}
	return m.Revision > old.Revision
}

// Table is an immutable set of rows.
type Table struct {
	rows map[string]Member
	hash uint64
	live []string
	byDC map[string][]string
}

// NewTable makes a table of rows.
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

// Rows lists the rows by name.
func (t *Table) Rows() []Member {
	list := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Get gives one row; false if there is none.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.rows[name]
	return m, ok
}

// Hash stands for the content of the table.
func (t *Table) Hash() uint64 { return t.hash }

// Live names the live nodes.
func (t *Table) Live() []string { return t.live }

// LiveIn names the live nodes of a data centre.
func (t *Table) LiveIn(datacentre string) []string { return t.byDC[datacentre] }

// Datacentres names the data centres that have live nodes, sorted.
func (t *Table) Datacentres() []string {
	list := make([]string, 0, len(t.byDC))
	for d := range t.byDC {
		list = append(list, d)
	}
	sort.Strings(list)
	return list
}

// Merge gives the table with every newer row of rows taken in, and whether anything changed.
func (t *Table) Merge(now time.Time, rows []Member) (*Table, bool) {
	var fresh []Member
	for _, m := range rows {
		old, ok := t.rows[m.Name]
		if (!ok && !m.Prunable(now)) || (ok && m.Newer(old)) {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) == 0 {
		return t, false
	}
	return NewTable(append(t.Rows(), fresh...)), true
}

// Prune gives the table without the rows that may be forgotten, and those rows.
func (t *Table) Prune(now time.Time) (*Table, []Member) {
	var kept, past []Member
	for _, m := range t.Rows() {
		if m.Prunable(now) {
			past = append(past, m)
			continue
		}
		kept = append(kept, m)
	}
	if len(past) == 0 {
		return t, nil
	}
	return NewTable(kept), past
}
