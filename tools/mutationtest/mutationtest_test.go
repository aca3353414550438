package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// points are the prefixes of the patches' names. Each stands for a property whose violations the mutations cause:
// the twelve points of "What must never happen", the three that routed requests add, and then points about severe
// failures of the control plane, keys and quotas of tenants, the checks themselves, and past configurations.
var points = []string{"twice", "notrun", "founded", "body", "pieces", "leaving", "emptied", "fence", "old", "retries", "cold", "stop", "lost", "broken", "unasked", "route", "denied", "cut", "orders", "catchup", "crowd", "invariant", "key", "quota", "proof", "history"}

func declaredTests(c *qt.C, root string) map[string]bool {
	found := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, match := range declaration.FindAllStringSubmatch(string(content), -1) {
			found[match[1]] = true
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return found
}

// gitCommand returns a git command that uses only the tree at root. Inside another repository, git apply takes the
// patch's paths for paths of that repository and silently skips them. In a git hook, the environment selects one.
func gitCommand(ctx context.Context, root string, args ...string) *exec.Cmd {
	command := exec.CommandContext(ctx, "git", args...)
	command.Dir = root
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "GIT_") {
			command.Env = append(command.Env, variable)
		}
	}
	command.Env = append(command.Env, "GIT_CEILING_DIRECTORIES="+filepath.Dir(root))
	return command
}

// checkPatch returns an error if a patch's diff does not apply to the tree at root, and one for each test in its Find
// lines that does not exist there.
func checkPatch(ctx context.Context, root, file string) []error {
	parsed, err := readPatch(file)
	if err != nil {
		return []error{err}
	}
	var errs []error
	if out, err := gitCommand(ctx, root, "apply", "--recount", "--check", file).CombinedOutput(); err != nil {
		errs = append(errs, patchError{parsed.name, fmt.Sprintf("it no longer applies: %v\n%s", err, out)})
	}
	for _, line := range parsed.finds {
		kind, rest, _ := strings.Cut(line, " ")
		if kind != "test" {
			continue
		}
		if err := checkTestExists(root, strings.Fields(rest)); err != nil {
			errs = append(errs, patchError{parsed.name, fmt.Sprintf("Find: %s: %v", line, err)})
		}
	}
	return errs
}

// checkTestExists returns an error unless args are the folder of a package and a test function in it.
func checkTestExists(root string, args []string) error {
	if len(args) != 2 {
		return errors.New("test takes a package and a name")
	}
	folder := filepath.Join(root, args[0])
	if info, err := os.Stat(folder); err != nil || !info.IsDir() {
		return fmt.Errorf("there is no folder %s", args[0])
	}
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		return err
	}
	declaration := regexp.MustCompile(`(?m)^func ` + regexp.QuoteMeta(args[1]) + `\(\w+ \*testing\.[TF]\)`)
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if declaration.Match(content) {
			return nil
		}
	}
	return fmt.Errorf("there is no test %s in %s", args[1], args[0])
}

// maxGitProcesses limits the number of patches that are checked concurrently.
const maxGitProcesses = 3

// Guards against patches that silently stop testing anything: those that no longer apply after a change of the code,
// and those whose tests were renamed or removed.
func TestPatchesApplyAndEachPointHasTwo(t *testing.T) {
	c := qt.New(t)
	root, err := filepath.Abs(filepath.Join("..", ".."))
	c.Assert(err, qt.IsNil)
	files, err := filepath.Glob(filepath.Join(root, "test", "mutations", "*.patch"))
	c.Assert(err, qt.IsNil)
	errs := make([][]error, len(files))
	slots := make(chan struct{}, maxGitProcesses)
	var checks sync.WaitGroup
	for i, file := range files {
		slots <- struct{}{}
		checks.Go(func() {
			errs[i] = checkPatch(t.Context(), root, file)
			<-slots
		})
	}
	checks.Wait()
	counts := map[string]int{}
	for i, file := range files {
		for _, err := range errs[i] {
			t.Error(err)
		}
		point, _, _ := strings.Cut(filepath.Base(file), "-")
		counts[point]++
	}
	for _, point := range points {
		c.Check(counts[point] >= 2, qt.IsTrue, qt.Commentf("point %s has %d patches", point, counts[point]))
	}
	c.Assert(counts, qt.HasLen, len(points))
}

const validPatch = `Point: an example
Plane: data
Breaks: nothing
Find: test ./lease TestLease

diff --git a/lease/lease.go b/lease/lease.go
--- a/lease/lease.go
+++ b/lease/lease.go
@@ -1,3 +1,3 @@
 package lease

-const seconds = 5
+const seconds = 9
`

func TestInvalidPatchesAreReported(t *testing.T) {
	for _, example := range []struct{ name, from, to, want string }{
		{"sound", "seconds = 9", "seconds = 8", ""},
		{"context that changed", "seconds = 5", "seconds = 7", "example: it no longer applies: (?s).*lease/lease.go: patch does not apply.*"},
		{"file that is gone", "lease/lease.go", "lease/gone.go", "example: it no longer applies: (?s).*lease/gone.go: No such file or directory.*"},
		{"package that is gone", "./lease TestLease", "./gone TestLease", "example: Find: .*there is no folder ./gone"},
		{"test that is gone", "./lease TestLease", "./lease TestGone", "example: Find: .*there is no test TestGone in ./lease"},
		{"test of another package", "./lease TestLease", "./lease TestOther", "example: Find: .*there is no test TestOther in ./lease"},
		{"helper that is no test", "./lease TestLease", "./lease TestHelper", "example: Find: .*there is no test TestHelper in ./lease"},
		{"no name", "./lease TestLease", "./lease", "example: Find: .*test takes a package and a name"},
	} {
		for _, isInRepository := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in another repository: %v", example.name, isInRepository), func(t *testing.T) {
				c := qt.New(t)
				outer := t.TempDir()
				if isInRepository {
					out, err := gitCommand(t.Context(), outer, "init", "-q").CombinedOutput()
					c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
				}
				root := filepath.Join(outer, "tree")
				writeFile(c, filepath.Join(root, "lease", "lease.go"), "package lease\n\nconst seconds = 5\n")
				writeFile(c, filepath.Join(root, "lease", "lease_test.go"), "package lease\n\nfunc TestLease(t *testing.T) {}\n\nfunc TestHelper() {}\n")
				writeFile(c, filepath.Join(root, "other", "other_test.go"), "package other\n\nfunc TestOther(t *testing.T) {}\n")
				file := filepath.Join(root, "example.patch")
				writeFile(c, file, strings.ReplaceAll(validPatch, example.from, example.to))
				errs := checkPatch(t.Context(), root, file)
				if example.want == "" {
					c.Assert(errs, qt.HasLen, 0)
					return
				}
				c.Assert(errs, qt.HasLen, 1)
				c.Assert(errs[0], qt.ErrorMatches, example.want)
			})
		}
	}
}

func writeFile(c *qt.C, name, content string) {
	c.Assert(os.MkdirAll(filepath.Dir(name), 0o755), qt.IsNil)
	c.Assert(os.WriteFile(name, []byte(content), 0o600), qt.IsNil)
}

// The page docs/proof.md names tests and files, which have to exist, and has to name every patch.
func TestProofPageRefersToExistingNames(t *testing.T) {
	c := qt.New(t)
	root := filepath.Join("..", "..")
	content, err := os.ReadFile(filepath.Join(root, "docs", "proof.md"))
	c.Assert(err, qt.IsNil)
	known, references := declaredTests(c, root), 0
	for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(string(content), -1) {
		switch name := match[1]; {
		case strings.HasPrefix(name, "Test"):
			references++
			c.Check(known[name], qt.IsTrue, qt.Commentf("docs/proof.md names test %s, which does not exist", name))
		case strings.Contains(name, "/") && !strings.ContainsAny(name, " *"):
			references++
			if strings.HasPrefix(name, "bin/") {
				name = "cmd/" + strings.TrimPrefix(name, "bin/")
			}
			_, err := os.Stat(filepath.Join(root, name))
			c.Check(err, qt.IsNil, qt.Commentf("docs/proof.md names %s, which does not exist", name))
		}
	}
	c.Assert(references > 60, qt.IsTrue)
	patches, err := filepath.Glob(filepath.Join(root, "test", "mutations", "*.patch"))
	c.Assert(err, qt.IsNil)
	for _, patch := range patches {
		c.Check(strings.Contains(string(content), "mutations/"+filepath.Base(patch)), qt.IsTrue, qt.Commentf("docs/proof.md does not name %s", patch))
	}
}
