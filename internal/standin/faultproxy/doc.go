// Package faultproxy is a TCP proxy for tests that can close the connections through it or stall them while they stay open.
package faultproxy
