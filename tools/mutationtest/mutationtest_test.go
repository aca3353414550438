package main

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The twelve points of "What must never happen", as the patches' names begin, and the three
// that routed requests add; then points of the control plane's worst days, and keys and quotas of tenants.
var points = []string{"twice", "notrun", "founded", "body", "pieces", "leaving", "emptied", "old", "retries", "cold", "stop", "lost", "broken", "unasked", "route", "denied", "cut", "orders", "catchup", "crowd", "invariant", "key", "quota"}

func testsOf(c *qt.C, root string) map[string]bool {
	found := map[string]bool{}
	named := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, match := range named.FindAllStringSubmatch(string(content), -1) {
			found[match[1]] = true
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return found
}

// A patch that no longer applies proves nothing any more, and nobody would notice.
func TestEveryBreakAppliesAndEveryPointHasTwo(t *testing.T) {
	c := qt.New(t)
	root := filepath.Join("..", "..")
	files, err := filepath.Glob(filepath.Join(root, "test", "mutations", "*.patch"))
	c.Assert(err, qt.IsNil)
	known, counts := testsOf(c, root), map[string]int{}
	for _, file := range files {
		read, err := readPatch(file)
		c.Assert(err, qt.IsNil)
		full, err := filepath.Abs(file)
		c.Assert(err, qt.IsNil)
		out, err := run(root, "git", "apply", "--recount", "--check", full)
		c.Check(err, qt.IsNil, qt.Commentf("%s no longer applies: %s", read.name, out))
		for _, line := range read.finds {
			if args := strings.Fields(line); args[0] == "test" {
				c.Check(known[args[2]], qt.IsTrue, qt.Commentf("%s names %s, which is not there", read.name, args[2]))
			}
		}
		point, _, _ := strings.Cut(read.name, "-")
		counts[point]++
	}
	for _, point := range points {
		c.Check(counts[point] >= 2, qt.IsTrue, qt.Commentf("%s has %d breaks", point, counts[point]))
	}
	c.Assert(counts, qt.HasLen, len(points))
	_, err = exec.LookPath("git")
	c.Assert(err, qt.IsNil)
}

// The map of proofs names tests, files and local fleet runs' verbs; each has to be there.
func TestTheMapOfProofsIsTrue(t *testing.T) {
	c := qt.New(t)
	root := filepath.Join("..", "..")
	content, err := os.ReadFile(filepath.Join(root, "docs", "proof.md"))
	c.Assert(err, qt.IsNil)
	known, named := testsOf(c, root), 0
	for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(string(content), -1) {
		switch name := match[1]; {
		case strings.HasPrefix(name, "Test"):
			named++
			c.Check(known[name], qt.IsTrue, qt.Commentf("there is no %s", name))
		case strings.Contains(name, "/") && !strings.ContainsAny(name, " *"):
			named++
			if strings.HasPrefix(name, "bin/") {
				name = "cmd/" + strings.TrimPrefix(name, "bin/")
			}
			_, err := os.Stat(filepath.Join(root, name))
			c.Check(err, qt.IsNil, qt.Commentf("there is no %s", name))
		}
	}
	c.Assert(named > 60, qt.IsTrue)
	patches, err := filepath.Glob(filepath.Join(root, "test", "mutations", "*.patch"))
	c.Assert(err, qt.IsNil)
	for _, patch := range patches {
		c.Check(strings.Contains(string(content), "mutations/"+filepath.Base(patch)), qt.IsTrue, qt.Commentf("%s is not on the map", patch))
	}
}
