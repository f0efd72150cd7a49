// Package plan works out by when the stages of a request must begin.
package schedule
