// Package audit keeps who changed what, when and why, in the platform.
package audit
