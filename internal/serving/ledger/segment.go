package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Kind is the platform's object kind of the log's segments.
const Kind = "ledger"

// MaxSegmentBytes keeps a segment well inside one value of the platform.
const MaxSegmentBytes = 256 << 10

// Segment is one object of a shard's log. It is created only if absent, which fences former holders.
type Segment struct {
	// Writer names the holder, and Nonce the write among all of that holder.
	Writer string `json:"writer"`
	Nonce  uint64 `json:"nonce"`
	Rows   []Row  `json:"rows,omitempty"`
}

// SegmentName is the object name of a segment.
func SegmentName(shard int, seq uint64) string { return fmt.Sprintf("%s%012d", prefix(shard), seq) }

func prefix(shard int) string { return fmt.Sprintf("%04d-", shard) }

func sequence(shard int, name string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(name, prefix(shard)), 10, 64)
	return n, merry.Prependf(err, "segment name %q", name)
}
