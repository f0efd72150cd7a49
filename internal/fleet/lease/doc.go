// Package lease decides how long a node may act for what it owns and when others may take that from it.
package lease
