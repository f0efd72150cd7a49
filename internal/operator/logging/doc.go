// Package journal sets logging up: logrus for every part, go-zero's own lines included.
package logging
