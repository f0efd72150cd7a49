package simulation

// Policy says who decides.
type Policy string

// The policies.
const (
	// Product is the product: one desk fills the calls of a service for all nodes.
	Product Policy = "ours"
	// PerNode has each node fill calls for itself, by the same decisions.
	PerNode Policy = "alone"
	// Naive gives each group of pieces a call of its own, at the targets in turn, and refuses nothing.
	Naive Policy = "naive"
)

// Policies lists the policies.
var Policies = []Policy{Product, PerNode, Naive}
