// Package call describes one client attempt, independent of its wire format.
package call
