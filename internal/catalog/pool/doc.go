// Package pool holds the pool object: targets of one kind and what each of them may bear.
package pool
