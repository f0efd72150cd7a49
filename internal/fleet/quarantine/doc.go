// Package quarantine decides which parts of prompts are kept from targets because targets crash under requests with them, from
// what all nodes of the fleet have seen.
package quarantine
