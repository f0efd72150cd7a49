// Package datacentre defines the data centre object, which operators put in service or out of service.
package datacentre
