package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// Kind is the platform's object kind of the heads and segments of logs.
const Kind = "ledger"

const (
	// MaxSegmentBytes limits a segment to well below the maximum size of a platform value.
	MaxSegmentBytes = 256 << 10
	// maxHeadBytes limits what every commit writes again; older rows move to a segment.
	maxHeadBytes = 32 << 10
	// rowOverheadBytes is the encoded size of a row without its body.
	rowOverheadBytes = 200
)

// Head is the object that each commit of a shard's log updates on condition of its version. It is never deleted, so the
// update of a holder that was replaced fails however much of the log has been compacted since.
type Head struct {
	// Writer identifies the holder, and Nonce the write among all writes of that holder.
	Writer string `json:"writer"`
	Nonce  uint64 `json:"nonce"`
	// Generation counts the holders that the shard has had.
	Generation uint64 `json:"generation"`
	// Segments names the objects with the older rows, oldest first.
	Segments []string `json:"segments,omitempty"`
	// Rows are the newest rows, oldest first.
	Rows []Row `json:"rows,omitempty"`
}

// Segment is an object with older rows of a shard's log; it is written once, and counts only if the head names it.
type Segment struct {
	Rows []Row `json:"rows,omitempty"`
}

// logSegment is a segment as its holder knows it.
type logSegment struct {
	name    string
	version object.Version
	keys    []string
	// unusedSince is when the head was first known not to name the segment.
	unusedSince time.Time
}

// HeadName returns the object name of a shard's head in an era of the platform. A holder that does not know of a later era cannot
// write the head of that era, even if a revision that it knows has been given out again.
func HeadName(shard int, era uint64) string { return object.NameInEra(namePrefix(shard)+"head", era) }

// segmentName returns a name that only the holder of the generation writes, so no two holders write one object.
func segmentName(shard int, era, generation, number uint64) string {
	return object.NameInEra(fmt.Sprintf("%s%08d-%08d", namePrefix(shard), generation, number), era)
}

func namePrefix(shard int) string { return fmt.Sprintf("%04d-", shard) }

func rowsSize(rows []Row) int {
	size := 0
	for _, r := range rows {
		size += r.size()
	}
	return size
}

func (r Row) size() int { return rowOverheadBytes + len(r.Body)*4/3 }

func keysOf(rows []Row) []string {
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

func namesOf(segments []logSegment) []string {
	names := make([]string, 0, len(segments))
	for _, s := range segments {
		names = append(names, s.name)
	}
	return names
}

// storedLog is a shard's log as one list of its objects shows it.
type storedLog struct {
	// era is the platform's era in which the log was read, headEra that in which its head was written.
	era     uint64
	headEra uint64
	head    Head
	// headVersion is 0 if the log has no head.
	headVersion object.Version
	segments    []logSegment
	// rows are the rows of all segments and of the head, oldest first.
	rows []Row
	// unused are objects that the head does not name: a segment that was never committed, or not yet deleted.
	unused []logSegment
	// missing names a segment that the head refers to and the list lacks.
	missing string
}

func parseLog(shard int, list object.List) (storedLog, error) {
	l := storedLog{era: list.Version.Era()}
	stored := map[string]object.Object{}
	for _, item := range list.Items {
		stored[item.Name] = item
	}
	for l.headEra = l.era; ; l.headEra-- {
		name := HeadName(shard, l.headEra)
		if item, ok := stored[name]; ok {
			delete(stored, name)
			l.headVersion = item.Version
			if err := json.Unmarshal(item.Value, &l.head); err != nil {
				return storedLog{}, merry.Prependf(err, "head %s", item.Name)
			}
			break
		}
		if l.headEra == 0 {
			break
		}
	}
	if l.headVersion == 0 {
		// A log that was written before logs had heads, and before names had eras: all its segments count.
		for _, name := range slices.Sorted(maps.Keys(stored)) {
			if !strings.Contains(name, "@") {
				l.head.Segments = append(l.head.Segments, name)
			}
		}
	}
	for _, name := range l.head.Segments {
		item, ok := stored[name]
		if !ok {
			l.missing = name
			return l, nil
		}
		delete(stored, name)
		var s Segment
		if err := json.Unmarshal(item.Value, &s); err != nil {
			return storedLog{}, merry.Prependf(err, "segment %s", name)
		}
		l.segments = append(l.segments, logSegment{name: name, version: item.Version, keys: keysOf(s.Rows)})
		l.rows = append(l.rows, s.Rows...)
	}
	l.rows = append(l.rows, l.head.Rows...)
	for name, item := range stored {
		l.unused = append(l.unused, logSegment{name: name, version: item.Version})
	}
	slices.SortFunc(l.unused, func(a, b logSegment) int { return strings.Compare(a.name, b.name) })
	return l, nil
}
