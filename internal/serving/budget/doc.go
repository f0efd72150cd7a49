// Package budget limits retries to a share of the requests, and the request rate of a team.
package budget
