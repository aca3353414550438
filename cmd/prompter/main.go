// Prompter is the control plane.
package main

import (
	"os"

	"dunlinloom/wings"
)

func main() {
	os.Exit(wings.Main(wings.Parts{Program: "prompter", IsRouter: false, IsPrompter: true}))
}
