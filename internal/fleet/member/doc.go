// Package member defines the table of the fleet's nodes with their data centres and states.
package member
