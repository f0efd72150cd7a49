// Package loadgen offers requests as an open-loop load with random arrival times, and checks every answer.
package loadgen
