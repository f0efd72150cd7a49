// Package edit changes single objects in the platform by conditional update, each change with its audit record.
package edit
