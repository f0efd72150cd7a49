// Package relay decides which nodes read the platform's store for others, and how long their reports count as fresh.
package relay
