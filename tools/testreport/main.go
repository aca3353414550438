// Testreport runs the project's tests and tolerates failures only of the tests in a list of known failures. A listed
// test that passes, is skipped or does not exist fails the run, so entries can't outlive the faults that they stand
// for.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Known    string   `arg:"--known" default:"KNOWN-RED.txt" help:"list of tests that are known to fail; a missing file counts as an empty list"`
	Race     bool     `arg:"--race" help:"run the tests with the race detector"`
	Packages []string `arg:"positional" help:"package patterns; default: ./..."`
}

// knownFailure is a list entry: a test that is known to fail, with the import path of its package.
type knownFailure struct {
	pkg, test    string
	cause, issue string
}

func (k knownFailure) String() string {
	return fmt.Sprintf("%s/%s: %s (%s)", k.pkg, k.test, k.cause, k.issue)
}

// lineError reports that a line of the list is malformed.
type lineError struct {
	number int
	reason string
}

func (err lineError) Error() string {
	return fmt.Sprintf("line %d of the list: %s", err.number, err.reason)
}

// staleEntryError reports that a listed test passes, is skipped or does not exist.
type staleEntryError struct {
	failure knownFailure
	reason  string
}

func (err staleEntryError) Error() string {
	return fmt.Sprintf("%s/%s is listed but %s", err.failure.pkg, err.failure.test, err.reason)
}

// runError reports that a run of unlisted tests failed. The output of go test names the failed tests.
type runError struct {
	what  string
	cause error
}

func (err runError) Error() string { return err.what + ": " + err.cause.Error() }
func (err runError) Unwrap() error { return err.cause }

// readList parses lines of the form PACKAGE/TEST | CAUSE | ISSUE. It skips empty lines and lines that start with #.
// A package path may be relative to the module. The error joins a lineError for each malformed line.
func readList(list io.Reader, module string) ([]knownFailure, error) {
	failures, errs := []knownFailure{}, []error{}
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		next, reason := parseLine(line, module)
		isSame := func(other knownFailure) bool { return other.pkg == next.pkg && other.test == next.test }
		if reason == "" && slices.ContainsFunc(failures, isSame) {
			name, _, _ := strings.Cut(line, "|")
			reason = strings.TrimSpace(name) + " is listed twice"
		}
		if reason != "" {
			errs = append(errs, lineError{number, reason})
			continue
		}
		failures = append(failures, next)
	}
	if err := lines.Err(); err != nil {
		errs = append(errs, fmt.Errorf("read the list: %w", err))
	}
	return failures, errors.Join(errs...)
}

// parseLine parses one line of the list. reason is why the line is malformed, and empty if it is not.
func parseLine(line, module string) (failure knownFailure, reason string) {
	fields := strings.Split(line, "|")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	if len(fields) != 3 || slices.Contains(fields, "") {
		return knownFailure{}, "it needs a test, a cause and an issue, separated by |"
	}
	pkg, test, reason := splitName(fields[0])
	if reason != "" {
		return knownFailure{}, reason
	}
	if pkg != module && !strings.HasPrefix(pkg, module+"/") {
		pkg = module + "/" + pkg
	}
	return knownFailure{pkg, test, fields[1], fields[2]}, ""
}

// nameCharacters are the characters that the name of a listed test may contain.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_"

// splitName splits the name of a listed test into its package and the test function. reason is why the name is
// malformed, and empty if it is not.
func splitName(name string) (pkg, test, reason string) {
	cut := strings.LastIndexByte(name, '/')
	if cut <= 0 {
		return "", "", "it needs PACKAGE/TEST"
	}
	pkg, test = name[:cut], name[cut+1:]
	isTest := strings.HasPrefix(test, "Test") || strings.HasPrefix(test, "Fuzz") || strings.HasPrefix(test, "Example")
	// The name is used in a regular expression without quoting, so it may contain only letters, digits and _.
	isPlain := strings.Trim(test, nameCharacters) == ""
	if !isTest || !isPlain {
		return "", "", fmt.Sprintf("%q is not a whole test's name", test)
	}
	return pkg, test, ""
}

// goRunner runs the go command in a folder. stream writes to out and err, and capture writes the standard error to err.
type goRunner struct {
	folder   string
	out, err io.Writer
}

// capture runs go and returns its standard output.
func (c goRunner) capture(ctx context.Context, args ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir, command.Stderr = c.folder, c.err
	return command.Output()
}

// stream runs go and copies its output to out and err.
func (c goRunner) stream(ctx context.Context, args ...string) error {
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir, command.Stdout, command.Stderr = c.folder, c.out, c.err
	return command.Run()
}

// packageTimeout limits the tests of a package. The default of 10 minutes can be too short for the simulator's runs
// under the race detector on a busy machine, and a package that is only slow must not count as a failure. The duration
// of the whole run is limited by the caller.
const packageTimeout = "14m"

// knownFailureTimeout limits a listed test, so that one that hangs does not use up the time of the whole run.
const knownFailureTimeout = "5m"

// runKnownFailure runs one listed test on its own. It returns nil if the test exists and failed. Otherwise it returns a
// staleEntryError, or the error of a go command that could not be run.
func runKnownFailure(ctx context.Context, runner goRunner, testCommand []string, failure knownFailure) error {
	args := append(slices.Clone(testCommand), "-json", "-count=1", "-timeout="+knownFailureTimeout, "-run=^"+failure.test+"$", failure.pkg)
	content, failed := runner.capture(ctx, args...)
	hasRun, result := testResult(content, failure.test)
	var exit *exec.ExitError
	switch {
	case failed != nil && !errors.As(failed, &exit):
		return fmt.Errorf("run %s: %w", failure.test, failed)
	case !hasRun:
		return staleEntryError{failure, "is not there, or its package does not build"}
	case result == "skip":
		return staleEntryError{failure, "is skipped, which is not a failure"}
	// The exit status decides, because a test that ends the process has no result of its own, and a data race makes
	// the run fail although the test passes.
	case failed != nil:
		return nil
	}
	return staleEntryError{failure, "passes: remove it from the list"}
}

// testResult returns whether a test was started, and its last result, from the events of go test -json.
func testResult(events []byte, test string) (hasRun bool, result string) {
	for line := range bytes.Lines(events) {
		var event struct{ Action, Test string }
		// A failed build prints lines that are not events.
		if json.Unmarshal(line, &event) != nil || event.Test != test {
			continue
		}
		switch event.Action {
		case "run":
			hasRun = true
		case "pass", "fail", "skip":
			result = event.Action
		}
	}
	return hasRun, result
}

// runTests runs all tests and prints the known failures. Its error joins all reasons why the run fails.
func runTests(ctx context.Context, runner goRunner, failures []knownFailure, race bool, patterns []string) error {
	listing, err := runner.capture(ctx, append([]string{"list"}, patterns...)...)
	if err != nil {
		return fmt.Errorf("list the packages: %w", err)
	}
	packages := strings.Fields(string(listing))
	testCommand := []string{"test", "-timeout=" + packageTimeout}
	if race {
		testCommand = append(testCommand, "-race")
	}
	listed, errs := runKnownFailures(ctx, runner, testCommand, failures, packages)
	errs = append(errs, runUnlisted(ctx, runner, testCommand, packages, listed)...)
	for _, failure := range failures {
		if _, err := fmt.Fprintf(runner.out, "known red  %v\n", failure); err != nil {
			errs = append(errs, fmt.Errorf("print the known failures: %w", err))
		}
	}
	return errors.Join(errs...)
}

// runKnownFailures runs each listed test on its own. It returns the names of the listed tests by package.
func runKnownFailures(
	ctx context.Context, runner goRunner, testCommand []string, failures []knownFailure, packages []string,
) (listed map[string][]string, errs []error) {
	listed = map[string][]string{}
	for _, failure := range failures {
		if !slices.Contains(packages, failure.pkg) {
			errs = append(errs, staleEntryError{failure, "its package is not there"})
			continue
		}
		if err := runKnownFailure(ctx, runner, testCommand, failure); err != nil {
			errs = append(errs, err)
		}
		listed[failure.pkg] = append(listed[failure.pkg], failure.test)
	}
	return listed, errs
}

// packageRun is the run of a package without its listed tests. Its output is printed once the run has ended.
type packageRun struct {
	pkg    string
	output bytes.Buffer
	err    error
}

// runUnlisted runs all tests except the listed ones. Each package with listed tests has a run of its own, which skips
// them: a panic, race or hang in a listed test would otherwise hide other failures of its package. These runs take place
// beside that of the other packages, so that the whole takes no longer than without listed tests.
func runUnlisted(ctx context.Context, runner goRunner, testCommand, packages []string, listed map[string][]string) []error {
	errs := []error{}
	runs := []*packageRun{}
	var pending sync.WaitGroup
	for _, pkg := range packages {
		if names := listed[pkg]; names != nil {
			separate := &packageRun{pkg: pkg}
			runs = append(runs, separate)
			pending.Go(func() {
				quiet := goRunner{runner.folder, &separate.output, &separate.output}
				separate.err = quiet.stream(ctx, append(slices.Clone(testCommand), "-skip=^("+strings.Join(names, "|")+")$", pkg)...)
			})
		}
	}
	unaffected := slices.DeleteFunc(slices.Clone(packages), func(pkg string) bool { return listed[pkg] != nil })
	if len(unaffected) > 0 {
		if err := runner.stream(ctx, append(slices.Clone(testCommand), unaffected...)...); err != nil {
			errs = append(errs, runError{"tests", err})
		}
	}
	pending.Wait()
	for _, separate := range runs {
		if _, err := separate.output.WriteTo(runner.out); err != nil {
			errs = append(errs, fmt.Errorf("print the tests of %s: %w", separate.pkg, err))
		}
		if separate.err != nil {
			errs = append(errs, runError{"tests of " + separate.pkg, separate.err})
		}
	}
	return errs
}

// run reads the list and runs the tests of the module in the given folder.
func run(ctx context.Context, arguments arguments, folder string, out, errOut io.Writer) error {
	runner := goRunner{folder, out, errOut}
	module, err := runner.capture(ctx, "list", "-m")
	if err != nil {
		return fmt.Errorf("find the module: %w", err)
	}
	list, err := os.ReadFile(arguments.Known)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read the list: %w", err)
	}
	failures, err := readList(bytes.NewReader(list), strings.TrimSpace(string(module)))
	if err != nil {
		return err
	}
	if len(arguments.Packages) == 0 {
		arguments.Packages = []string{"./..."}
	}
	return runTests(ctx, runner, failures, arguments.Race, arguments.Packages)
}

func main() {
	var arguments arguments
	arg.MustParse(&arguments)
	if err := run(context.Background(), arguments, ".", os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
}
