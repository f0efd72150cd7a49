// Package chart draws the timeline of a load.
package chart
