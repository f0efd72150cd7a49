// Package chill bounds what a cold target gets in a second from all nodes together, without a word between them.
package coldstart
