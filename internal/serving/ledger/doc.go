// Package ledger keeps claims and results of requests that may not be repeated, in logs that live in the platform.
package ledger
