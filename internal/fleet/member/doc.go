// Package member holds the table of nodes: who is there, in which data centre and in what state.
package member
