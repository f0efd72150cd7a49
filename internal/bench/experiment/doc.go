// Package experiment runs named loads with named mishaps against a bed and sums up what came of them.
package experiment
