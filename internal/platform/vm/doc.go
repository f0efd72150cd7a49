// Package vm reads the platform's list of live and leaving VMs, which lags behind reality.
package vm
