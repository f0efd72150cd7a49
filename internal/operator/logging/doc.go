// Package logging sets up logging through logrus for every component, including go-zero.
package logging
