package batch

import (
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxPieces bounds the pieces of one stage of one request: far more than the calls of any service hold.
const MaxPieces = 4096

// Group describes the pieces of one stage of one request.
type Group struct {
	Service string
	// Datacentre limits the group to the targets of one data centre, "" for all.
	Datacentre string
	Request    string
	Stage      int
	Count      int
	PieceKey   string
	Inputs     []string
	// Identity identifies the content of the request, whose other attempts have the same one.
	Identity []byte
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Priority is 0 for the most urgent.
	Priority int
	// StartByObjective and StartByDeadline are the latest starts of the call with which the request meets its latency
	// objective and its deadline.
	StartByObjective time.Time
	StartByDeadline  time.Time
	// PreferredDatacentre is the data centre in which the pieces are best run, "" for any. TransferBytes is the number of
	// bytes that each piece moves between data centres if it runs in another one. Until PreferUntil the pieces wait for a
	// target in the preferred data centre.
	PreferredDatacentre string
	TransferBytes       int64
	PreferUntil         time.Time
}

// Validate returns an error that names what cannot be used, since groups also come from other nodes.
func (g Group) Validate() error {
	if g.Count < 0 || g.Count > MaxPieces {
		return &RejectedError{Reason: fmt.Sprintf("stage %d has %d pieces, from 0 to %d are allowed", g.Stage, g.Count, MaxPieces)}
	}
	return nil
}

// Piece is one unit of a group's work.
type Piece struct {
	*Group
	// GroupID identifies the group within its dispatcher.
	GroupID uint64
	Index   int
	// Attempts is the number of calls that the piece has been part of.
	Attempts int
	// Alone is set if the piece shares no call with those of other groups, since targets have crashed under it.
	Alone bool
	// LacksRoom is set if the piece has expired because there is no room for its result in time.
	LacksRoom bool
}

// Result is the outcome of one piece.
type Result struct {
	Handle     string
	Datacentre string
	Reason     Reason
}

// CountByDatacentre counts the results of each stage of a request by data centre.
func CountByDatacentre(results [][]Result) []map[string]int {
	counts := make([]map[string]int, len(results))
	for i, stage := range results {
		counts[i] = map[string]int{}
		for _, r := range stage {
			if r.Handle != "" {
				counts[i][r.Datacentre]++
			}
		}
	}
	return counts
}

// HandleAddress returns the address of the target that holds the result with a handle.
func HandleAddress(handle string) string {
	a, _, _ := strings.Cut(handle, "/")
	return a
}

// Reply is a target's response to a batch call.
type Reply struct {
	// Results are in the order of the pieces.
	Results []Result
	// Running and Waiting are the numbers of calls at the target, of all callers, at the time of its response.
	Running int
	Waiting int
	// Slots is the number of calls that the target can run at once, as it reports; 0 if it does not.
	Slots int
	// WorkTime is how long work takes at the target at the time of its response, relative to its usual time; 0 if it is not reported.
	WorkTime float64
	// UnknownFigures is the number of figures that the target reports of its load and that are not used.
	UnknownFigures int
}

// Reason says why a piece has no result.
type Reason string

// The reasons.
const (
	// Completed is the reason of a piece that has a result.
	Completed Reason = ""
	// Late is the reason of a piece that was not started in time.
	Late Reason = "late"
	// InputLost is the reason of a piece that lacks a result of an earlier stage.
	InputLost Reason = "gone"
	// NoSpace is the reason of a piece whose result did not fit into the target's space.
	NoSpace Reason = "full"
	// Failed is the reason of a piece that met an error of the target.
	Failed Reason = "failed"
)

// ErrNoResults is the error of a call that its target has rejected, so that it holds no results of it.
var ErrNoResults = merry.Sentinel("target made no results")

// RejectedError reports that a group is not queued because it cannot be done in time.
type RejectedError struct {
	// Wait is the expected wait before the group's call would start, 0 if unknown.
	Wait   time.Duration
	Reason string
	// Quarantined is set if targets crash under the pieces of the group.
	Quarantined bool
}

// Error returns the reason and the expected wait.
func (e *RejectedError) Error() string { return fmt.Sprintf("%s, expected wait %s", e.Reason, e.Wait) }
