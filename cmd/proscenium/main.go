// Proscenium is the router.
package main

import (
	"os"

	"dunlinloom/wings"
)

func main() {
	os.Exit(wings.Main(wings.Parts{Program: "proscenium", IsRouter: true, IsPrompter: false}))
}
