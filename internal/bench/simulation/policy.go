package simulation

// Policy is the way in which pieces are batched and targets chosen.
type Policy string

// The policies.
const (
	// Product is the product's policy: one dispatcher batches the pieces of a service for all nodes.
	Product Policy = "ours"
	// PerNode has each node batch its own pieces, with the same scheduler.
	PerNode Policy = "alone"
	// Naive sends each group of pieces in a call of its own, round robin over the targets, and refuses nothing.
	Naive Policy = "naive"
)

// Policies lists the policies.
var Policies = []Policy{Product, PerNode, Naive}
