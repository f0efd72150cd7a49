// Package route holds the routing table that a deployment's operators have in force: routes, services, teams and limits.
package route
