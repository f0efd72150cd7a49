// Package ledger stores claims and results of requests that may not be retried, in logs on the platform.
package ledger
