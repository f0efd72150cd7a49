// Package target decides what one target may bear: how warm it is and how much work it may have at once.
package target
