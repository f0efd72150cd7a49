// Package audit records in the platform which operator changed what, when and why.
package audit
