// Package pipeline defines the pipeline object: a sequence of stages under one deadline.
package pipeline
