package batch

import (
	"fmt"
	"strings"
	"time"
)

// Group is the pieces of one stage of one request.
type Group struct {
	Service string
	// Datacentre is the data centre whose targets are meant, "" for all.
	Datacentre string
	Request    string
	Stage      int
	Count      int
	PieceKey   string
	Inputs     []string
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Priority is 0 for the most urgent.
	Priority int
	// StartByObjective and Last are the latest starts of the call with which the request meets its aim and its deadline.
	StartByObjective time.Time
	StartByDeadline  time.Time
	// PreferredDatacentre is the data centre in which the pieces are best made, "" for any, and Weight the bytes for each piece
	// that cross to or from another one if they are made there. Until Stay they wait for a target at home.
	PreferredDatacentre string
	TransferBytes       int64
	PreferUntil         time.Time
}

// Piece is one unit of a group that waits for a target.
type Piece struct {
	*Group
	// GroupID numbers the groups of one desk.
	GroupID uint64
	Segment int
	// Attempts is how many calls the piece has been in.
	Attempts int
}

// Result is what became of one piece.
type Result struct {
	Handle     string
	Datacentre string
	Reason     Reason
}

// CountByDatacentre gives the results of each stage of a request by data centre.
func CountByDatacentre(results [][]Result) []map[string]int {
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

// HandleAddress is where the result with a handle lies.
func HandleAddress(handle string) string {
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
	// Completed is the reason of a piece that has a result.
	Completed Reason = ""
	// Late pieces were not begun in time.
	Late Reason = "late"
	// InputLost pieces lack a result of an earlier stage.
	InputLost Reason = "gone"
	// NoSpace means that the target had no space for the result.
	NoSpace Reason = "full"
	// Failed pieces met an error of the target.
	Failed Reason = "failed"
)

// RefusedError is the error of a group that is not queued since it cannot be done in time.
type RefusedError struct {
	// Wait is the expected wait before the group's call would start, 0 if it is not known.
	Wait   time.Duration
	Reason string
}

// Error gives the reason and the wait.
func (r *RefusedError) Error() string { return fmt.Sprintf("%s, expected wait %s", r.Reason, r.Wait) }
