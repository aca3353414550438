// Mutationtest runs mutation tests. Each patch under test/mutations/ removes one protection. Mutationtest applies it
// to a copy of the working tree, in which at least one of the checks named by the patch has to fail. A check that has
// never failed proves nothing.
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
	"slices"
	"strings"
	"sync"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Folder       string `arg:"--mutations" default:"test/mutations" help:"folder of the patches"`
	Only         string `arg:"--only" help:"only patches whose name contains this"`
	Workers      int    `arg:"--workers" default:"3" help:"number of patches that are tried concurrently"`
	IsUnmodified bool   `arg:"--sound" help:"run the checks that the patches name on the unmodified tree instead; all of them have to pass"`
}

// patch is a mutation, as read from the heading of its file: lines of "Name: value" before the diff.
type patch struct {
	name, file    string
	point, breaks string
	finds         []string
	// says is a text that the output of a failed test has to contain. If it is empty, a failure is enough.
	says string
}

// patchError reports that a patch file, or one Find line of its heading, is invalid or can't be run.
type patchError struct {
	name   string
	reason string
}

func (err patchError) Error() string { return err.name + ": " + err.reason }

var planes = []string{"control", "data"}

// readPatch parses and validates a patch's heading. Its error joins a patchError for each fault.
func readPatch(file string) (patch, error) {
	parsed := patch{name: strings.TrimSuffix(filepath.Base(file), ".patch"), file: file}
	content, err := os.ReadFile(file)
	if err != nil {
		return parsed, fmt.Errorf("read the patch: %w", err)
	}
	heading, _, hasDiff := strings.Cut(string(content), "\ndiff --git ")
	if !hasDiff {
		return parsed, patchError{parsed.name, "the file contains no diff"}
	}
	errs := []error{}
	plane := ""
	for _, line := range strings.Split(heading, "\n") {
		key, value, _ := strings.Cut(line, ": ")
		switch key {
		case "Point":
			parsed.point = value
		case "Plane":
			plane = value
		case "Breaks":
			parsed.breaks = value
		case "Says":
			parsed.says = value
		case "Find":
			parsed.finds = append(parsed.finds, value)
			if kind, _, _ := strings.Cut(value, " "); !slices.Contains([]string{"test", "days", "storms"}, kind) {
				errs = append(errs, patchError{parsed.name, fmt.Sprintf("Find %q must start with test, days or storms", value)})
			}
		case "":
		default:
			errs = append(errs, patchError{parsed.name, fmt.Sprintf("unknown heading %q", key)})
		}
	}
	if parsed.point == "" || parsed.breaks == "" || len(parsed.finds) == 0 || !slices.Contains(planes, plane) {
		errs = append(errs, patchError{parsed.name, "the headings Point, Plane (control or data), Breaks and at least one Find are required"})
	}
	return parsed, errors.Join(errs...)
}

// run executes a program in a folder and returns its combined standard output and standard error.
func run(ctx context.Context, folder, name string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, name, args...)
	command.Dir = folder
	content, err := command.CombinedOutput()
	return string(content), err
}

// copyTree copies the working tree, including uncommitted changes but without files that git ignores, into a temporary
// folder. The caller has to remove the folder, even after an error, unless its name is empty.
func copyTree(ctx context.Context) (string, error) {
	folder, err := os.MkdirTemp("", "mutationtest-*")
	if err != nil {
		return "", fmt.Errorf("create a temporary folder: %w", err)
	}
	listing, err := run(ctx, ".", "git", "ls-files", "--cached", "--others", "--exclude-standard")
	if err != nil {
		return folder, fmt.Errorf("list the files of the working tree: %w", err)
	}
	for _, name := range strings.Fields(listing) {
		if err := copyFile(name, filepath.Join(folder, name)); err != nil {
			return folder, fmt.Errorf("copy the working tree: %w", err)
		}
	}
	return folder, nil
}

// copyFile copies a file and creates its folder. It skips a source that does not exist, because git still lists a
// file whose removal is not committed yet.
func copyFile(source, target string) error {
	content, err := os.ReadFile(source)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
		return err
	}
	return os.WriteFile(target, content, 0o644)
}

var (
	failedTest  = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)
	failingSeed = regexp.MustCompile(`(?m)^\{"seed":(\d+).*"breaches":\["[^:]*: ([^:"]*)`)
)

// find runs the check of one Find line in a folder. It returns the name of what failed, or an empty string if nothing
// did. The output of a failed test has to contain says. The error is a patchError if the check is inconclusive.
func find(ctx context.Context, folder, line, says string) (found string, err error) {
	kind, rest, _ := strings.Cut(line, " ")
	if kind == "test" {
		return findByTest(ctx, folder, line, strings.Fields(rest), says)
	}
	return findBySeed(ctx, folder, line, kind, strings.Fields(rest))
}

// findByTest runs one test. args are its package and its name.
func findByTest(ctx context.Context, folder, line string, args []string, says string) (found string, err error) {
	if len(args) != 2 {
		return "", patchError{line, "test takes a package and a name"}
	}
	content, failed := run(ctx, folder, "go", "test", "-count=1", args[0], "-run", "^("+args[1]+")$")
	if failed == nil && strings.Contains(content, "no tests to run") {
		return "", patchError{line, "the package has no such test"}
	}
	if failed == nil {
		return "", nil
	}
	if !strings.Contains(content, says) {
		return "", patchError{line, fmt.Sprintf("it failed, but its output does not contain %q: %s", says, content)}
	}
	if match := failedTest.FindStringSubmatch(content); match != nil {
		return match[1], nil
	}
	return "", patchError{line, "go test failed without naming a failed test: " + content}
}

// findBySeed runs simulations of a fleet (days) or of the core only (storms) up to the first seed that violates a rule.
func findBySeed(ctx context.Context, folder, line, kind string, args []string) (found string, err error) {
	search := []string{"run", "./cmd/simulator", "--stop", "--workers", "4"}
	if kind == "storms" {
		search = append(search, "--storm", "--rate", "5", "--span-us", "40000000")
	}
	content, failed := run(ctx, folder, "go", append(search, args...)...)
	if match := failingSeed.FindStringSubmatch(content); match != nil {
		return "seed " + match[1] + ": " + match[2], nil
	}
	if failed != nil {
		return "", patchError{line, "the simulator failed without reporting a violation: " + content}
	}
	return "", nil
}

// tryPatch applies a patch to a copy of the tree, runs its Find lines in order, and returns what failed first. It
// returns an empty string if nothing failed.
func tryPatch(ctx context.Context, p patch) (found string, err error) {
	folder, err := copyTree(ctx)
	// A copy that can't be removed from the temporary files does not affect the result.
	defer func() { _ = os.RemoveAll(folder) }()
	if err != nil {
		return "", err
	}
	absolute, err := filepath.Abs(p.file)
	if err != nil {
		return "", fmt.Errorf("resolve the path of the patch: %w", err)
	}
	if content, err := run(ctx, folder, "git", "apply", "--recount", absolute); err != nil {
		return "", patchError{p.name, "it no longer applies: " + content}
	}
	if content, err := run(ctx, folder, "go", "build", "./..."); err != nil {
		return "", patchError{p.name, "it does not compile: " + content}
	}
	for _, line := range p.finds {
		found, err := find(ctx, folder, line, p.says)
		if err != nil || found != "" {
			return found, err
		}
	}
	return "", nil
}

// Exit statuses.
const (
	exitOK       = 0
	exitUnusable = 1 // the patches can't be read, or there are none
	exitFailed   = 3
)

func main() {
	var arguments arguments
	arg.MustParse(&arguments)
	patches, err := readPatches(arguments.Folder, arguments.Only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutationtest:", err)
		os.Exit(exitUnusable)
	}
	ctx := context.Background()
	if arguments.IsUnmodified {
		os.Exit(checkUnmodified(ctx, patches))
	}
	os.Exit(tryPatches(ctx, patches, arguments.Workers))
}

// noPatchError reports that a folder contains no patch.
type noPatchError struct{ folder string }

func (err noPatchError) Error() string { return "no patches in " + err.folder }

// readPatches reads all patches of a folder and returns those whose names contain the parameter only.
func readPatches(folder, only string) ([]patch, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.patch"))
	if err != nil || len(files) == 0 {
		return nil, noPatchError{folder}
	}
	patches := []patch{}
	for _, file := range files {
		parsed, err := readPatch(file)
		if err != nil {
			return nil, err
		}
		if strings.Contains(parsed.name, only) {
			patches = append(patches, parsed)
		}
	}
	return patches, nil
}

// tryPatches tries all patches, workerCount at a time, prints the results, and returns the exit status.
func tryPatches(ctx context.Context, patches []patch, workerCount int) int {
	var lock sync.Mutex // protects the output and the count of failures
	var workers sync.WaitGroup
	queue, failures := make(chan patch), 0
	for range max(workerCount, 1) {
		workers.Go(func() {
			for p := range queue {
				found, err := tryPatch(ctx, p)
				lock.Lock()
				if !printResult(p, found, err) {
					failures++
				}
				lock.Unlock()
			}
		})
	}
	for _, p := range patches {
		queue <- p
	}
	close(queue)
	workers.Wait()
	fmt.Printf("%d builds broken, %d not found or at fault\n", len(patches), failures)
	if failures > 0 {
		return exitFailed
	}
	return exitOK
}

// printResult prints the result of one patch and reports whether a check found it.
func printResult(p patch, found string, err error) bool {
	switch {
	case err != nil:
		fmt.Printf("FAULT      %s: %v\n", p.name, err)
	case found == "":
		fmt.Printf("NOT FOUND  %s: %s\n", p.name, p.breaks)
	default:
		fmt.Printf("found      %s: %s, by %s\n", p.name, p.breaks, found)
		return true
	}
	return false
}

// checkUnmodified runs the distinct Find lines of all patches on the unmodified tree, where none of them may fail, and
// returns the exit status.
func checkUnmodified(ctx context.Context, patches []patch) int {
	lines := []string{}
	for _, p := range patches {
		lines = append(lines, p.finds...)
	}
	slices.Sort(lines)
	lines, failures := slices.Compact(lines), 0
	for _, line := range lines {
		if found, err := find(ctx, ".", line, ""); err != nil || found != "" {
			failures++
			fmt.Printf("FAULT  %s: %s %v\n", line, found, err)
		}
	}
	fmt.Printf("%d checks on the unbroken tree, %d failed\n", len(lines), failures)
	if failures > 0 {
		return exitFailed
	}
	return exitOK
}
