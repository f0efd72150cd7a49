package call

import (
	"net/http"
	"time"
)

// Call is one client attempt as a node has read it.
type Call struct {
	ID     string
	Method string
	// URI is the request target as it was sent; it is passed on unchanged.
	URI  string
	Path string
	Host string
	// Header is what may be passed on as it is.
	Header http.Header
	Body   []byte
	// APIKey is the caller's credential, "" if there is none.
	APIKey string
	// CallerTimeout is how long the caller waits, 0 if it does not say.
	CallerTimeout time.Duration
	Prompt        Prompt
	// PieceCounts is the number of pieces of each stage.
	PieceCounts []int
	// PieceKey names the source of the pieces that need no results of other stages.
	PieceKey string
	// LastEventID is the last event that a resuming caller has, "" if there is none.
	LastEventID string
	Received    time.Time
}

// Prompt is what a model is to read and write.
type Prompt struct {
	InputTokens  int
	OutputTokens int
	// Parts are in the order of the prompt; the last belongs to the request or its session.
	Parts []Part
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// SharedPrefix is the last part that other requests are likely to have too, and the tokens up to its end.
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

// ForwardOptions is what a node adds to a call when it sends it to a target.
type ForwardOptions struct {
	// Target is the id of the target that is meant.
	Target string
	Team   string
	// TimeLeft is the time in which the target must be done.
	TimeLeft time.Duration
	// InputHandles are the handles of the results that the request needs.
	InputHandles []string
	// LastEventID resumes a stream behind an event, "" to begin it.
	LastEventID string
}

// ResponseFlags is what the header of a target's answer says.
type ResponseFlags struct {
	// Mismatched answers belong to another call.
	Mismatched bool
	// NotRun says that the target did not run the request.
	NotRun bool
	// Signed answers carry the target's signature.
	Signed bool
	// InputLost says that a result that the request needs is no longer there.
	InputLost bool
}
