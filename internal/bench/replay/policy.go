package replay

// Policy says who decides.
type Policy string

// The policies.
const (
	// Ours is the product: one desk fills the calls of a service for all nodes.
	Ours Policy = "ours"
	// Alone has each node fill calls for itself, by the same decisions.
	Alone Policy = "alone"
	// Naive gives each group of pieces a call of its own, at the targets in turn, and refuses nothing.
	Naive Policy = "naive"
)

// Policies lists the policies.
var Policies = []Policy{Ours, Alone, Naive}
