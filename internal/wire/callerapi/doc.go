// Package callerapi serves callers over HTTP: it runs pipelines, with JSON or server-sent events, looks up requests and
// resumes their streams.
package callerapi
