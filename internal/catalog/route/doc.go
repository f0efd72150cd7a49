// Package route provides the active routing table of a deployment: routes, services, teams and limits.
package route
