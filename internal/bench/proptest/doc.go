// Package proptest has property tests draw the same cases in every run.
package proptest
