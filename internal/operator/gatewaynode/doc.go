// Package gatewaynode runs one gateway node on the users' platform: it follows the platform's store and serves callers.
package gatewaynode
