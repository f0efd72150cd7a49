// Package pipeline holds the pipeline object: stages in order under one deadline.
package pipeline
