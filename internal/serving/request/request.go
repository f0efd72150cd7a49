package request

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
)

// Request is one request of a caller.
type Request struct {
	ID       string
	Pipeline string
	Team     string
	// Key is the caller's idempotency key, "" for none.
	Key      string
	Priority team.Priority
	Deadline time.Time
	Body     json.RawMessage
}

// Digest returns a hash of the request's content, which shows whether an idempotency key is reused for another request.
func (r Request) Digest() string {
	h := sha256.New()
	h.Write([]byte(r.Pipeline + "\x00" + r.Team + "\x00"))
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// ScopedKey returns the key qualified by its team, so that teams cannot read one another's responses.
func (r Request) ScopedKey() string { return Scope(r.Team, r.Key) }

// Scope joins a team and a key.
func Scope(team, key string) string { return team + "/" + key }

// NewID builds a request ID from the name of the coordinating node, that node's generation and a counter.
func NewID(node string, generation, count uint64) string {
	return node + "~" + strconv.FormatUint(generation, 36) + "~" + strconv.FormatUint(count, 36)
}

// ParseID returns the node and generation of a request ID; false if it is not one.
func ParseID(id string) (node string, generation uint64, ok bool) {
	parts := strings.Split(id, "~")
	if len(parts) != 3 {
		return "", 0, false
	}
	g, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return "", 0, false
	}
	if _, err := strconv.ParseUint(parts[2], 36, 64); err != nil {
		return "", 0, false
	}
	return parts[0], g, true
}

// AttemptID builds the ID of one attempt of one stage.
func AttemptID(request, stage string, n uint32) string {
	return request + "/" + stage + "/" + strconv.FormatUint(uint64(n), 10)
}
