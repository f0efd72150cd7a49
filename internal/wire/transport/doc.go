// Package transport makes HTTP servers on go-zero's rest with everything switched off that would answer in the product's place.
package transport
