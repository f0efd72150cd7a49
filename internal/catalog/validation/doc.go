// Package validation reports violations in an object or a settings file, each with the field it concerns.
package validation
