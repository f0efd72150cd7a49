// Package roster keeps which targets and nodes there are, and which data centres are taken out.
package registry
