// Stagedoor is the whole of the fleet in one process, for the platform that it is
// deployed on: every node is the same program.
package main

import (
	"os"

	"dunlinloom/platform"
)

func main() { os.Exit(platform.Main()) }
