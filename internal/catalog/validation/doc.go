// Package fault describes what is wrong with an object or a settings file, one entry per field.
package validation
