// Package examples contains the object files of two example deployments, for the demo, the benches and the tests.
package examples

import "embed"

// Files contains the objects of the deployments zoo and driveway and the arguments of their stand-in targets.
//
//go:embed zoo/objects/*.toml zoo/targets.txt driveway/objects/*.toml driveway/targets.txt
var Files embed.FS
