package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Kind is the platform's object kind of log segments.
const Kind = "ledger"

// MaxSegmentBytes limits a segment to well below the maximum size of a platform value.
const MaxSegmentBytes = 256 << 10

// Segment is one object of a shard's log. It is created only if absent, which fences former holders.
type Segment struct {
	// Writer identifies the holder, and Nonce the write among all writes of that holder.
	Writer string `json:"writer"`
	Nonce  uint64 `json:"nonce"`
	Rows   []Row  `json:"rows,omitempty"`
}

// SegmentName returns the object name of a segment.
func SegmentName(shard int, seq uint64) string { return fmt.Sprintf("%s%012d", namePrefix(shard), seq) }

func namePrefix(shard int) string { return fmt.Sprintf("%04d-", shard) }

func parseSequence(shard int, name string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(name, namePrefix(shard)), 10, 64)
	return n, merry.Prependf(err, "segment name %q", name)
}
