// Package operator serves operators: objects, releases, status and the audit trail.
package operatorapi
