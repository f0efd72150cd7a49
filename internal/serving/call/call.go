package call

import (
	"net/http"
	"time"
)

// Call is one client attempt as parsed by a node.
type Call struct {
	ID     string
	Method string
	// URI is the request target as received; it is forwarded unchanged.
	URI  string
	Path string
	Host string
	// Header holds the headers that may be forwarded unchanged.
	Header http.Header
	Body   []byte
	// APIKey is the caller's credential, "" for none.
	APIKey string
	// CallerTimeout is how long the caller waits, 0 if unknown.
	CallerTimeout time.Duration
	Prompt        Prompt
	// PieceCounts is the number of pieces of each stage.
	PieceCounts []int
	// PieceKey identifies the source of the pieces that need no results of other stages.
	PieceKey string
	// LastEventID is the last event that a resuming caller has received, "" for none.
	LastEventID string
	Received    time.Time
	// Invalid is what is wrong with the request's header, nil if nothing is.
	Invalid error
}

// Prompt describes the text given to a model and the size of its output.
type Prompt struct {
	InputTokens  int
	OutputTokens int
	// Parts are in the order of the prompt; the last one is specific to the request or its session.
	Parts []Part
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// SharedPrefix returns the last part that other requests are likely to share, and the number of tokens up to its end.
func (p Prompt) SharedPrefix() (id string, tokens int) {
	if len(p.Parts) == 0 {
		return "", 0
	}
	last := max(0, len(p.Parts)-2)
	for _, part := range p.Parts[:last+1] {
		tokens += part.Tokens
	}
	return p.Parts[last].ID, tokens
}

// outputCost is the number of input tokens that an output token counts for in the size of a request.
const outputCost = 10

// Size returns the size of the request in tokens, 0 if the caller does not tell.
func (p Prompt) Size() int { return p.InputTokens + outputCost*p.OutputTokens }

// maxLoggedParts bounds the parts of a prompt that a log line names.
const maxLoggedParts = 12

// PartIDs returns the IDs of the first parts in the order of the prompt, for the log.
func (p Prompt) PartIDs() []string {
	ids := make([]string, 0, min(len(p.Parts), maxLoggedParts))
	for _, part := range p.Parts[:min(len(p.Parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// ForwardOptions is what a node adds to a call when it forwards it to a target.
type ForwardOptions struct {
	// Target is the ID of the intended target.
	Target string
	Team   string
	// TimeLeft is the time within which the target must respond.
	TimeLeft time.Duration
	// InputHandles are the handles of the stage results that the request needs.
	InputHandles []string
	// LastEventID resumes a stream after an event, "" to start it.
	LastEventID string
}

// ResponseFlags are the flags in the header of a target's response.
type ResponseFlags struct {
	// Mismatched is set if the response belongs to another call.
	Mismatched bool
	// Matched is set if the response names the call.
	Matched bool
	// NotRun is set if the target did not run the request.
	NotRun bool
	// Signed is set if the response carries the target's signature.
	Signed bool
	// InputLost is set if a result that the request needs no longer exists.
	InputLost bool
}
