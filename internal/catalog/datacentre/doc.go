// Package datacentre holds the data centre object: whether operators have it in or out.
package datacentre
