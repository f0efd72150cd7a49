// Package faultmatrix tests every fault at every step of a request, with real processes.
package faultmatrix
