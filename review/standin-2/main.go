package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	cases := map[string]func(recordFile string){"removed-engine": removedEngine, "encoded-slash": encodedSlash}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { fmt.Fprintln(os.Stderr, "took too long"); os.Exit(2) })
	cases[os.Args[1]](os.Args[2])
}
