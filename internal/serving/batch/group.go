package batch

import (
	"fmt"
	"strings"
	"time"
)

// Group is the pieces of one stage of one request.
type Group struct {
	Service string
	// Shard is the data centre whose targets are meant, "" for all.
	Shard   string
	Request string
	Stage   int
	Count   int
	Key     string
	Inputs  []string
	// Bytes is the approximate size of one result.
	Bytes int64
	// Priority is 0 for the most urgent.
	Priority int
	// Prompt and Last are the latest starts of the call with which the request meets its aim and its deadline.
	Prompt time.Time
	Last   time.Time
	// Home is the data centre in which the pieces are best made, "" for any, and Weight the bytes for each piece
	// that cross to or from another one if they are made there. Until Stay they wait for a target at home.
	Home   string
	Weight int64
	Stay   time.Time
}

// Piece is one unit of a group that waits for a target.
type Piece struct {
	*Group
	// ID numbers the groups of one desk.
	ID      uint64
	Segment int
	// Tries is how many calls the piece has been in.
	Tries int
}

// Result is what became of one piece.
type Result struct {
	Handle     string
	Datacentre string
	Reason     Reason
}

// Counts gives the results of each stage of a request by data centre.
func Counts(results [][]Result) []map[string]int {
	list := make([]map[string]int, len(results))
	for i, stage := range results {
		list[i] = map[string]int{}
		for _, r := range stage {
			if r.Handle != "" {
				list[i][r.Datacentre]++
			}
		}
	}
	return list
}

// Address is where the result with a handle lies.
func Address(handle string) string {
	a, _, _ := strings.Cut(handle, "/")
	return a
}

// Reply is what a target answers to a call.
type Reply struct {
	// Results are in the order of the pieces.
	Results []Result
	// Running and Waiting are the calls at the target when it answered, of all callers.
	Running int
	Waiting int
}

// Reason says why a piece has no result.
type Reason string

// The reasons.
const (
	// Made is the reason of a piece that has a result.
	Made Reason = ""
	// Late pieces were not begun in time.
	Late Reason = "late"
	// Gone pieces lack a result of an earlier stage.
	Gone Reason = "gone"
	// Full means that the target had no space for the result.
	Full Reason = "full"
	// Failed pieces met an error of the target.
	Failed Reason = "failed"
)

// Refused is the error of a group that is not queued since it cannot be done in time.
type Refused struct {
	// Wait is the expected wait before the group's call would start, 0 if it is not known.
	Wait time.Duration
	Why  string
}

// Error gives the reason and the wait.
func (r *Refused) Error() string { return fmt.Sprintf("%s, expected wait %s", r.Why, r.Wait) }
