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
	totalShare      = 100
)

// Pipeline runs its stages in order, each on the outputs of those before it.
type Pipeline struct {
	Name     string            `json:"name" toml:"name"`
	Stages   []string          `json:"stages" toml:"stages"`
	Deadline duration.Duration `json:"deadline" toml:"deadline"`
	// DeadlineShares are the percentages of the deadline that are reserved for each stage.
	DeadlineShares []int `json:"shares" toml:"shares"`
}

// WithDefaults returns a copy with defaults in the empty fields.
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
		shares[i] = totalShare / n
	}
	return shares
}

// ReservedAfter returns the part of total that is reserved for the stages after stage i.
func (p Pipeline) ReservedAfter(i int, total time.Duration) time.Duration {
	after := 0
	for _, s := range p.DeadlineShares[i+1:] {
		after += s
	}
	// Only half of the shares is reserved, so that a late start of one stage can still be made up.
	return total * time.Duration(after) / (2 * totalShare)
}

// Validate returns all violations of the object on its own, without the objects that it refers to.
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
	c.Check(sum <= totalShare, "shares", "must add up to at most %d, not %d", totalShare, sum)
	seen := map[string]bool{}
	for _, s := range p.Stages {
		c.Check(!seen[s], "stages", "stage %q stands twice", s)
		seen[s] = true
	}
	return c.List()
}
