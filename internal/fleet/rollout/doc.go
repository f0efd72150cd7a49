// Package rollout decides how the traffic of a service moves to a new version: which share of the requests tries it, whether
// its responses speak against it, and when the rollout is completed or rolled back.
package rollout
