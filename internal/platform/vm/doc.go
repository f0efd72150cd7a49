// Package vm describes the platform's list of live and leaving VMs, which may lag behind the actual state.
package vm
