// Package budget bounds retries to a part of the requests, and the rate of a team.
package budget
