// Package operatorapi serves operators over HTTP: objects, releases, status and the audit trail.
package operatorapi
