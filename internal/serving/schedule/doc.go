// Package schedule computes the latest starts and the preferred data centre of the stages of a request.
package schedule
