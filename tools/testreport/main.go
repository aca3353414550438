// Testreport runs the project's tests and passes over just those that a list names as
// known to fail for a real fault. A listed test that passes, or is not there, fails the
// run, so the list can't outlive the faults on it.
package main

import (
	"bufio"
	"bytes"
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

// knownFailure is a test that is known to fail.
type knownFailure struct {
	pack, test   string
	cause, issue string
}

func (r knownFailure) String() string {
	return fmt.Sprintf("%s/%s: %s (%s)", r.pack, r.test, r.cause, r.issue)
}

// lineError is a line of the list that can't be used.
type lineError struct {
	number int
	why    string
}

func (err lineError) Error() string {
	return fmt.Sprintf("line %d of the list: %s", err.number, err.why)
}

// staleError is a test that must no longer be listed.
type staleError struct {
	red knownFailure
	why string
}

func (s staleError) Error() string {
	return fmt.Sprintf("%s/%s is listed but %s", s.red.pack, s.red.test, s.why)
}

// runError is a run of unlisted tests that failed; go test has said which.
type runError struct {
	what  string
	cause error
}

func (f runError) Error() string { return f.what + ": " + f.cause.Error() }
func (f runError) Unwrap() error { return f.cause }

// readList reads lines of PACKAGE/TEST | CAUSE | ISSUE, all faults of the list at once.
// A package may be named from the module's root on.
func readList(list io.Reader, module string) ([]knownFailure, error) {
	reds, faults := []knownFailure{}, []error{}
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		if len(fields) != 3 || slices.Contains(fields, "") {
			faults = append(faults, lineError{number, "it needs a test, a cause and an issue, with | between"})
			continue
		}
		pack, test, err := cutName(fields[0])
		if err != "" {
			faults = append(faults, lineError{number, err})
			continue
		}
		if pack != module && !strings.HasPrefix(pack, module+"/") {
			pack = module + "/" + pack
		}
		next := knownFailure{pack, test, fields[1], fields[2]}
		if slices.ContainsFunc(reds, func(r knownFailure) bool { return r.pack == pack && r.test == test }) {
			faults = append(faults, lineError{number, fields[0] + " is listed twice"})
			continue
		}
		reds = append(reds, next)
	}
	if err := lines.Err(); err != nil {
		faults = append(faults, fmt.Errorf("read the list: %w", err))
	}
	return reds, errors.Join(faults...)
}

// cutName parts a package from its test.
func cutName(name string) (pack, test, why string) {
	cut := strings.LastIndexByte(name, '/')
	if cut <= 0 {
		return "", "", "it needs PACKAGE/TEST"
	}
	pack, test = name[:cut], name[cut+1:]
	isTest := strings.HasPrefix(test, "Test") || strings.HasPrefix(test, "Fuzz") || strings.HasPrefix(test, "Example")
	// Only letters, digits and _: the name goes into a pattern as it is.
	isPlain := !strings.ContainsFunc(test, func(sign rune) bool {
		return !(sign >= 'a' && sign <= 'z' || sign >= 'A' && sign <= 'Z' || sign >= '0' && sign <= '9' || sign == '_')
	})
	if !isTest || !isPlain {
		return "", "", fmt.Sprintf("%q is not a whole test's name", test)
	}
	return pack, test, ""
}

// goRunner runs go for the report.
type goRunner interface {
	// capture gives what go prints.
	capture(args ...string) ([]byte, error)
	// show lets go print for itself.
	show(args ...string) error
}

// goCommand runs the command on the machine.
type goCommand struct {
	folder   string
	out, err io.Writer
}

func (c goCommand) capture(args ...string) ([]byte, error) {
	command := exec.Command("go", args...)
	command.Dir, command.Stderr = c.folder, c.err
	return command.Output()
}

func (c goCommand) show(args ...string) error {
	command := exec.Command("go", args...)
	command.Dir, command.Stdout, command.Stderr = c.folder, c.out, c.err
	return command.Run()
}

// packageSpan is the longest that a package's tests may take: go's own ten minutes can be
// too few for the simulator's days under the race detector on a busy machine, and a package
// that is only slow is no failure. The whole run is bounded where it is started.
const packageSpan = "14m"

// knownFailureTimeout is the longest that a listed test may take: a hang must not use up the whole run.
const knownFailureTimeout = "5m"

// runKnownFailure runs one listed test alone. It gives nil if the test was there and failed.
func runKnownFailure(runner goRunner, test []string, r knownFailure) error {
	content, failed := runner.capture(append(slices.Clone(test), "-json", "-count=1", "-timeout="+knownFailureTimeout, "-run=^"+r.test+"$", r.pack)...)
	hasRun, verdict := false, ""
	for line := range bytes.Lines(content) {
		var event struct{ Action, Test string }
		// Lines that are no events come from builds that fail.
		if json.Unmarshal(line, &event) != nil || event.Test != r.test {
			continue
		}
		switch event.Action {
		case "run":
			hasRun = true
		case "pass", "fail", "skip":
			verdict = event.Action
		}
	}
	var exit *exec.ExitError
	switch {
	case failed != nil && !errors.As(failed, &exit):
		return fmt.Errorf("run %s: %w", r.test, failed)
	case !hasRun:
		return staleError{r, "is not there, or its package does not build"}
	case verdict == "skip":
		return staleError{r, "is skipped: that is no verdict"}
	// One that took the process down has no verdict of its own, or a race spoiled it.
	case failed != nil:
		return nil
	}
	return staleError{r, "passes: take it off the list"}
}

// report runs everything and gives every reason not to pass.
func report(runner goRunner, out io.Writer, reds []knownFailure, race bool, patterns []string) error {
	listing, err := runner.capture(append([]string{"list"}, patterns...)...)
	if err != nil {
		return fmt.Errorf("list the packages: %w", err)
	}
	packages, faults := strings.Fields(string(listing)), []error{}
	test := []string{"test", "-timeout=" + packageSpan}
	if race {
		test = append(test, "-race")
	}
	skips := map[string][]string{}
	for _, r := range reds {
		if !slices.Contains(packages, r.pack) {
			faults = append(faults, staleError{r, "its package is not there"})
			continue
		}
		if err := runKnownFailure(runner, test, r); err != nil {
			faults = append(faults, err)
		}
		skips[r.pack] = append(skips[r.pack], r.test)
	}
	// Packages with listed tests go apart, and the listed tests go alone: a panic, race or
	// hang in one of them would otherwise hide what else is wrong with its package.
	whole := slices.DeleteFunc(slices.Clone(packages), func(pack string) bool { return skips[pack] != nil })
	if len(whole) > 0 {
		if err := runner.show(append(slices.Clone(test), whole...)...); err != nil {
			faults = append(faults, runError{"tests", err})
		}
	}
	for _, pack := range packages {
		if names := skips[pack]; names != nil {
			if err := runner.show(append(slices.Clone(test), "-skip=^("+strings.Join(names, "|")+")$", pack)...); err != nil {
				faults = append(faults, runError{"tests of " + pack, err})
			}
		}
	}
	for _, r := range reds {
		fmt.Fprintf(out, "known red  %v\n", r)
	}
	return errors.Join(faults...)
}

func run(arguments arguments, folder string, out, errOut io.Writer) error {
	runner := goCommand{folder, out, errOut}
	module, err := runner.capture("list", "-m")
	if err != nil {
		return fmt.Errorf("find the module: %w", err)
	}
	list, err := os.ReadFile(arguments.Known)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read the list: %w", err)
	}
	reds, err := readList(bytes.NewReader(list), strings.TrimSpace(string(module)))
	if err != nil {
		return err
	}
	if len(arguments.Packages) == 0 {
		arguments.Packages = []string{"./..."}
	}
	return report(runner, out, reds, arguments.Race, arguments.Packages)
}

func main() {
	var arguments arguments
	arg.MustParse(&arguments)
	if err := run(arguments, ".", os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
}
