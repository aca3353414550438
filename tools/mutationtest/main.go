// Mutationtest breaks builds on purpose: each patch under test/mutations/ takes one protection
// away, in a copy of this tree, and what the patch names has to find it. A check that
// has never failed proves nothing.
package main

import (
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
	Folder  string `arg:"--mutations" default:"test/mutations" help:"the folder of patches"`
	Only    string `arg:"--only" help:"only patches whose name contains this"`
	Workers int    `arg:"--workers" default:"3"`
	Sound   bool   `arg:"--sound" help:"run everything the patches name on the unbroken tree instead: all of it has to pass"`
}

// patch is one break with its heading: lines of "Name: value" before the diff.
type patch struct {
	name, file    string
	point, breaks string
	finds         []string
	// says is what the output of the tests that find it has to hold; empty: that they fail is enough.
	says string
}

// patchError says what of a patch file is wrong.
type patchError struct {
	name string
	why  string
}

func (err patchError) Error() string { return err.name + ": " + err.why }

var planes = []string{"control", "data"}

// readPatch reads a patch's heading and holds it against its form.
func readPatch(file string) (patch, error) {
	read := patch{name: strings.TrimSuffix(filepath.Base(file), ".patch"), file: file}
	content, err := os.ReadFile(file)
	if err != nil {
		return read, fmt.Errorf("read a patch: %w", err)
	}
	heading, _, isThere := strings.Cut(string(content), "\ndiff --git ")
	if !isThere {
		return read, patchError{read.name, "there is no diff in it"}
	}
	faults := []error{}
	plane := ""
	for _, line := range strings.Split(heading, "\n") {
		key, value, _ := strings.Cut(line, ": ")
		switch key {
		case "Point":
			read.point = value
		case "Plane":
			plane = value
		case "Breaks":
			read.breaks = value
		case "Says":
			read.says = value
		case "Find":
			read.finds = append(read.finds, value)
			if kind, _, _ := strings.Cut(value, " "); !slices.Contains([]string{"test", "days", "storms"}, kind) {
				faults = append(faults, patchError{read.name, fmt.Sprintf("Find %q is neither test, days nor storms", value)})
			}
		case "":
		default:
			faults = append(faults, patchError{read.name, fmt.Sprintf("%q is no heading", key)})
		}
	}
	if read.point == "" || read.breaks == "" || len(read.finds) == 0 || !slices.Contains(planes, plane) {
		faults = append(faults, patchError{read.name, "it needs Point, Plane (control or data), Breaks and a Find"})
	}
	return read, errors.Join(faults...)
}

func run(folder, name string, args ...string) (string, error) {
	command := exec.Command(name, args...)
	command.Dir = folder
	content, err := command.CombinedOutput()
	return string(content), err
}

// copyTree puts what git knows of this tree, as it is now, into a fresh folder.
func copyTree() (string, error) {
	folder, err := os.MkdirTemp("", "mutationtest-*")
	if err != nil {
		return "", fmt.Errorf("make a folder: %w", err)
	}
	listing, err := run(".", "git", "ls-files", "--cached", "--others", "--exclude-standard")
	if err != nil {
		return folder, fmt.Errorf("list the tree: %w", err)
	}
	for _, name := range strings.Fields(listing) {
		content, err := os.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue // taken away and not committed yet
		}
		if err != nil {
			return folder, fmt.Errorf("copy the tree: %w", err)
		}
		to := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return folder, fmt.Errorf("copy the tree: %w", err)
		}
		if err := os.WriteFile(to, content, 0o644); err != nil {
			return folder, fmt.Errorf("copy the tree: %w", err)
		}
	}
	return folder, nil
}

var (
	failedTest  = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)
	failingSeed = regexp.MustCompile(`(?m)^\{"seed":(\d+).*"breaches":\["[^:]*: ([^:"]*)`)
)

// find runs one line of a heading: what it found, or nothing.
func find(folder, line, says string) (found string, err error) {
	kind, rest, _ := strings.Cut(line, " ")
	args := strings.Fields(rest)
	if kind == "test" {
		if len(args) != 2 {
			return "", patchError{line, "test takes a package and a name"}
		}
		content, failed := run(folder, "go", "test", "-count=1", args[0], "-run", "^("+args[1]+")$")
		if failed == nil && strings.Contains(content, "no tests to run") {
			return "", patchError{line, "there is no such test"}
		}
		if failed == nil {
			return "", nil
		}
		if !strings.Contains(content, says) {
			return "", patchError{line, fmt.Sprintf("it failed without saying %q: %s", says, content)}
		}
		if match := failedTest.FindStringSubmatch(content); match != nil {
			return match[1], nil
		}
		return "", patchError{line, "it did not come to a verdict: " + content}
	}
	search := []string{"run", "./cmd/simulator", "--stop", "--workers", "4"}
	if kind == "storms" {
		search = append(search, "--storm", "--rate", "5", "--span-us", "40000000")
	}
	content, failed := run(folder, "go", append(search, args...)...)
	if match := failingSeed.FindStringSubmatch(content); match != nil {
		return "seed " + match[1] + ": " + match[2], nil
	}
	if failed != nil {
		return "", patchError{line, "it did not come to a verdict: " + content}
	}
	return "", nil
}

// tryPatch applies one patch to a copy and tells what found it.
func tryPatch(p patch) (string, error) {
	folder, err := copyTree()
	defer os.RemoveAll(folder)
	if err != nil {
		return "", err
	}
	full, err := filepath.Abs(p.file)
	if err != nil {
		return "", fmt.Errorf("find the patch: %w", err)
	}
	if content, err := run(folder, "git", "apply", "--recount", full); err != nil {
		return "", patchError{p.name, "it no longer applies: " + content}
	}
	if content, err := run(folder, "go", "build", "./..."); err != nil {
		return "", patchError{p.name, "the broken build is no build: " + content}
	}
	for _, line := range p.finds {
		found, err := find(folder, line, p.says)
		if err != nil || found != "" {
			return found, err
		}
	}
	return "", nil
}

func main() {
	var arguments arguments
	arg.MustParse(&arguments)
	files, err := filepath.Glob(filepath.Join(arguments.Folder, "*.patch"))
	if err != nil || len(files) == 0 {
		fmt.Fprintln(os.Stderr, "mutationtest: there is no patch in", arguments.Folder)
		os.Exit(1)
	}
	patches := []patch{}
	for _, file := range files {
		read, err := readPatch(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, "mutationtest:", err)
			os.Exit(1)
		}
		if strings.Contains(read.name, arguments.Only) {
			patches = append(patches, read)
		}
	}
	if arguments.Sound {
		os.Exit(sound(patches))
	}
	var lock sync.Mutex
	var workers sync.WaitGroup
	queue, bad := make(chan patch), 0
	for range max(arguments.Workers, 1) {
		workers.Go(func() {
			for p := range queue {
				found, err := tryPatch(p)
				lock.Lock()
				switch {
				case err != nil:
					bad++
					fmt.Printf("FAULT      %s: %v\n", p.name, err)
				case found == "":
					bad++
					fmt.Printf("NOT FOUND  %s: %s\n", p.name, p.breaks)
				default:
					fmt.Printf("found      %s: %s, by %s\n", p.name, p.breaks, found)
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
	fmt.Printf("%d builds broken, %d not found or at fault\n", len(patches), bad)
	if bad > 0 {
		os.Exit(3)
	}
}

// sound runs what the patches name, each once, where nothing is broken.
func sound(patches []patch) int {
	lines := []string{}
	for _, p := range patches {
		lines = append(lines, p.finds...)
	}
	slices.Sort(lines)
	lines, bad := slices.Compact(lines), 0
	for _, line := range lines {
		if found, err := find(".", line, ""); err != nil || found != "" {
			bad++
			fmt.Printf("FAULT  %s: %s %v\n", line, found, err)
		}
	}
	fmt.Printf("%d checks on the unbroken tree, %d failed\n", len(lines), bad)
	if bad > 0 {
		return 3
	}
	return 0
}
