// Package relay decides which nodes read the platform's store for others, and when one of those may be believed.
package relay
