// Package notice keeps what targets say of themselves in their responses: that they leave, or want no requests for a time.
package notice
