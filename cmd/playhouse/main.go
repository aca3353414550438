// Playhouse is router and control plane in one process.
package main

import (
	"os"

	"dunlinloom/wings"
)

func main() {
	os.Exit(wings.Main(wings.Parts{Program: "playhouse", IsRouter: true, IsPrompter: true}))
}
