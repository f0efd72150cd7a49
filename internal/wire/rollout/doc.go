// Package rollout passes the evidence on rollouts between nodes, and lets the nodes that collect it write what was decided.
package rollout
