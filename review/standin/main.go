package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func() int{
		"refused-disk":                func() int { return refusedDisk(false) },
		"refused-disk-at-first-start": func() int { return refusedDisk(true) },
	}
	play := func() int {
		fmt.Fprintln(os.Stderr, "usage: standin refused-disk | refused-disk-at-first-start")
		return 2
	}
	if len(os.Args) == 2 && cases[os.Args[1]] != nil {
		play = cases[os.Args[1]]
	}
	os.Exit(play())
}
