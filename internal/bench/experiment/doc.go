// Package experiment runs named loads with injected faults against a testbed and reports the results.
package experiment
