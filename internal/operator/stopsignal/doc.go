// Package stopsignal receives the signals that stop a process, from the moment at which it is initialized.
package stopsignal
