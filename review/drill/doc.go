// Command drill plays the scripted cases of the second review: it starts nodes with the command of the deploy file, and stands in for the
// platform's store, the engines and the clients.
package main
