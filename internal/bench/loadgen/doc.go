// Package load offers requests at random times, whatever becomes of earlier ones, and judges every answer.
package loadgen
