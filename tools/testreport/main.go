// Testreport runs the project's tests and passes over just those that a list names as
// known to fail for a real fault. A listed test that passes, or is not there, fails the
// run, so the list can't outlive the faults on it.
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

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Known    string   `arg:"--known" default:"KNOWN-RED.txt" help:"the list of tests known to fail; none if there is no such file"`
	Race     bool     `arg:"--race" help:"run with the race detector"`
	Packages []string `arg:"positional" help:"patterns of packages (default ./...)"`
}

// knownFailure is a test that is known to fail, with the path of its package.
type knownFailure struct {
	pkg, test    string
	cause, issue string
}

func (k knownFailure) String() string {
	return fmt.Sprintf("%s/%s: %s (%s)", k.pkg, k.test, k.cause, k.issue)
}

// lineError says that a line of the list is malformed.
type lineError struct {
	number int
	reason string
}

func (err lineError) Error() string {
	return fmt.Sprintf("line %d of the list: %s", err.number, err.reason)
}

// staleEntryError says that a listed test must no longer be listed.
type staleEntryError struct {
	failure knownFailure
	reason  string
}

func (err staleEntryError) Error() string {
	return fmt.Sprintf("%s/%s is listed but %s", err.failure.pkg, err.failure.test, err.reason)
}

// runError says that a run of unlisted tests failed; go test has printed which.
type runError struct {
	what  string
	cause error
}

func (err runError) Error() string { return err.what + ": " + err.cause.Error() }
func (err runError) Unwrap() error { return err.cause }

// readList parses lines of PACKAGE/TEST | CAUSE | ISSUE. A package may be named from the module's
// root. The error joins a lineError for each malformed line.
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

// parseLine parses one line of the list; why says what is wrong with it, if anything.
func parseLine(line, module string) (failure knownFailure, reason string) {
	fields := strings.Split(line, "|")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	if len(fields) != 3 || slices.Contains(fields, "") {
		return knownFailure{}, "it needs a test, a cause and an issue, with | between"
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

// nameCharacters are the characters of a listed test's name.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_"

// splitName separates a package from its test; why says what is wrong with the name, if anything.
func splitName(name string) (pkg, test, reason string) {
	cut := strings.LastIndexByte(name, '/')
	if cut <= 0 {
		return "", "", "it needs PACKAGE/TEST"
	}
	pkg, test = name[:cut], name[cut+1:]
	isTest := strings.HasPrefix(test, "Test") || strings.HasPrefix(test, "Fuzz") || strings.HasPrefix(test, "Example")
	// Only letters, digits and _: the name goes into a pattern as it is.
	isPlain := strings.Trim(test, nameCharacters) == ""
	if !isTest || !isPlain {
		return "", "", fmt.Sprintf("%q is not a whole test's name", test)
	}
	return pkg, test, ""
}

// goRunner runs go in a folder; out and err receive the output of show, and err also the error output
// of capture.
type goRunner struct {
	folder   string
	out, err io.Writer
}

// capture returns what go prints to its standard output.
func (c goRunner) capture(ctx context.Context, args ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir, command.Stderr = c.folder, c.err
	return command.Output()
}

// stream passes the output of go on.
func (c goRunner) stream(ctx context.Context, args ...string) error {
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir, command.Stdout, command.Stderr = c.folder, c.out, c.err
	return command.Run()
}

// packageTimeout is the longest that a package's tests may take: go's own ten minutes can be
// too few for the simulator's days under the race detector on a busy machine, and a package
// that is only slow is no failure. The whole run is bounded where it is started.
const packageTimeout = "14m"

// knownFailureTimeout is the longest that a listed test may take: a hang must not use up the whole run.
const knownFailureTimeout = "5m"

// runKnownFailure runs one listed test alone. It returns nil if the test was there and failed, and
// otherwise a staleError, or the error of a go command that could not be run.
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
		return staleEntryError{failure, "is skipped: that is no verdict"}
	// One that ended the process has no verdict of its own, or a race changed it.
	case failed != nil:
		return nil
	}
	return staleEntryError{failure, "passes: take it off the list"}
}

// testResult reads from the events of go test -json whether a test was started, and its last verdict.
func testResult(events []byte, test string) (hasRun bool, result string) {
	for line := range bytes.Lines(events) {
		var event struct{ Action, Test string }
		// Lines that are no events come from builds that fail.
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

// runTests runs all tests, prints the known failures, and returns every reason not to pass, joined.
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

// runKnownFailures runs each listed test alone. It returns the listed tests by package.
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

// runUnlisted runs all tests but the listed ones. Packages with listed tests run apart, and the listed
// tests run alone: a panic, race or hang in one of them would otherwise hide other failures of its
// package.
func runUnlisted(ctx context.Context, runner goRunner, testCommand, packages []string, listed map[string][]string) []error {
	errs := []error{}
	unaffected := slices.DeleteFunc(slices.Clone(packages), func(pkg string) bool { return listed[pkg] != nil })
	if len(unaffected) > 0 {
		if err := runner.stream(ctx, append(slices.Clone(testCommand), unaffected...)...); err != nil {
			errs = append(errs, runError{"tests", err})
		}
	}
	for _, pkg := range packages {
		if names := listed[pkg]; names != nil {
			if err := runner.stream(ctx, append(slices.Clone(testCommand), "-skip=^("+strings.Join(names, "|")+")$", pkg)...); err != nil {
				errs = append(errs, runError{"tests of " + pkg, err})
			}
		}
	}
	return errs
}

// run reads the list and runs the tests of the module in a folder.
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
