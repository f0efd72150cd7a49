// Package matrix holds the fault matrix: every fault at every step of a request, over real processes.
package faultmatrix
