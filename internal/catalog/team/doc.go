// Package team defines the team object: a group of callers with its weight, rate limit and priority.
package team
