// Package picture draws the timeline of a load.
package chart
