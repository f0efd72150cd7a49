// Package rollout decides which version of a service gets its requests while an operator moves it to a new one.
package rollout
