package pipeline

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
)

// Kind is the object kind of a pipeline.
const Kind = "pipeline"

const (
	defaultDeadline = 9 * time.Second
	maxDeadline     = 30 * time.Minute
	maxStages       = 12
	wholeShare      = 100
)

// Pipeline runs its stages in order, each on the answers of those before it.
type Pipeline struct {
	Name     string            `json:"name" toml:"name"`
	Stages   []string          `json:"stages" toml:"stages"`
	Deadline duration.Duration `json:"deadline" toml:"deadline"`
	// DeadlineShares are the parts of the deadline kept for each stage, in percent.
	DeadlineShares []int `json:"shares" toml:"shares"`
}

// WithDefaults fills the fields left empty.
func (p Pipeline) WithDefaults() Pipeline {
	if p.Deadline == 0 {
		p.Deadline = duration.Duration(defaultDeadline)
	}
	if len(p.DeadlineShares) == 0 && len(p.Stages) > 0 {
		p.DeadlineShares = evenShares(len(p.Stages))
	}
	return p
}

func evenShares(n int) []int {
	shares := make([]int, n)
	for i := range shares {
		shares[i] = wholeShare / n
	}
	return shares
}

// ReservedAfter is the time kept for the stages after stage i, out of whole.
func (p Pipeline) ReservedAfter(i int, whole time.Duration) time.Duration {
	after := 0
	for _, s := range p.DeadlineShares[i+1:] {
		after += s
	}
	// Half of what the shares promise is held back, so that a late start of one stage can still be made good.
	return whole * time.Duration(after) / (2 * wholeShare)
}

// Validate lists every fault of the object by itself.
func (p Pipeline) Validate() validation.Violations {
	c := validation.Checker{Kind: Kind, Name: p.Name}
	c.CheckName()
	c.Check(len(p.Stages) > 0 && len(p.Stages) <= maxStages, "stages", "must be 1 to %d, not %d", maxStages, len(p.Stages))
	c.Check(p.Deadline > 0 && p.Deadline.Duration() <= maxDeadline, "deadline", "must be above 0 and at most %s, not %s", maxDeadline, p.Deadline)
	c.Check(len(p.DeadlineShares) == len(p.Stages), "shares", "must be one per stage: %d, not %d", len(p.Stages), len(p.DeadlineShares))
	sum := 0
	for _, s := range p.DeadlineShares {
		c.Check(s > 0, "shares", "each must be above 0, not %d", s)
		sum += s
	}
	c.Check(sum <= wholeShare, "shares", "must add up to at most %d, not %d", wholeShare, sum)
	seen := map[string]bool{}
	for _, s := range p.Stages {
		c.Check(!seen[s], "stages", "stage %q stands twice", s)
		seen[s] = true
	}
	return c.List()
}
