// Package caller serves callers: pipelines by JSON or server-sent events, look-up and resume.
package callerapi
