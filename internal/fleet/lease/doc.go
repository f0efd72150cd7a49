// Package lease decides how long a node may act as an owner and when its peers may take over.
package lease
