// Package examples holds the object files of the two deployments, for the demo, the bench and the tests.
package examples

import "embed"

// Files holds zoo and driveway: objects and what their stand-in targets are started with.
//
//go:embed zoo/objects/*.toml zoo/targets.txt driveway/objects/*.toml driveway/targets.txt
var Files embed.FS
