package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 || os.Args[1] != "refused-disk" {
		fmt.Fprintln(os.Stderr, "usage: standin refused-disk")
		os.Exit(2)
	}
	os.Exit(refusedDisk())
}
