// Package team holds the team object: whose requests these are and what share they get.
package team
