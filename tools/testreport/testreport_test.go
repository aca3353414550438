package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestListIsParsed(t *testing.T) {
	c := qt.New(t)
	failures, err := readList(strings.NewReader("\n# why\nserver/TestA | torn pipe | #12\n  m/kernel/FuzzB|slow|none yet \nm/TestC | c | d\n"), "m")
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(failures, []knownFailure{
		{"m/server", "TestA", "torn pipe", "#12"}, {"m/kernel", "FuzzB", "slow", "none yet"}, {"m", "TestC", "c", "d"},
	}), qt.IsTrue, qt.Commentf("%v", failures))
}

func TestMalformedLinesAreReported(t *testing.T) {
	for _, example := range []struct{ line, reason string }{
		{"server/TestA | cause", "needs a test, a cause and an issue"},
		{"server/TestA | | issue", "needs a test, a cause and an issue"},
		{"server/TestA | a | b | c", "needs a test, a cause and an issue"},
		{"TestA | a | b", "needs PACKAGE/TEST"},
		{"wings | a | b", "needs PACKAGE/TEST"},
		{"server/ | a | b", "not a whole test's name"},
		{"server/TestA/part | a | b", "not a whole test's name"},
		{"server/Test.* | a | b", "not a whole test's name"},
		{"server/BenchmarkA | a | b", "not a whole test's name"},
		{"server/TestOne | a | b\nm/server/TestOne | c | d", "listed twice"},
	} {
		t.Run(example.line, func(t *testing.T) {
			c := qt.New(t)
			_, err := readList(strings.NewReader(example.line), "m")
			var malformed lineError
			c.Assert(errors.As(err, &malformed), qt.IsTrue)
			c.Assert(malformed.reason, qt.Contains, example.reason)
		})
	}
}

// Sources of a module's test packages: one whose tests pass, and one with tests that fail in different ways.
const passingTests = `package good
import "testing"
func TestWell(t *testing.T) {}
`

const failingTests = `package mixed
import ("os"; "testing")
func TestWell(t *testing.T) {}
func TestWellEnough(t *testing.T) {}
func TestFails(t *testing.T) { t.Run("part", func(t *testing.T) { t.Error("oh") }) }
func TestPanics(t *testing.T) { panic("oh") }
func TestEnds(t *testing.T) { os.Exit(3) }
func TestSkips(t *testing.T) { t.Skip("no") }
`

func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	allFailures := "mixed/TestFails | cause one | #1\nm/mixed/TestPanics | cause two | #2\nmixed/TestEnds | cause three | #3\n"
	for _, example := range []struct {
		name, list string
		sources    map[string]string
		errors     []string
		prints     []string
	}{
		{"no list", "", map[string]string{"good": passingTests}, nil, []string{"ok  \tm/good\t"}},
		{"all that fail are listed", allFailures, map[string]string{"good": passingTests, "mixed": failingTests}, nil,
			[]string{"ok  \tm/good\t", "ok  \tm/mixed\t", "known red  m/mixed/TestFails: cause one (#1)", "known red  m/mixed/TestPanics: cause two (#2)", "known red  m/mixed/TestEnds: cause three (#3)"}},
		{"one that fails is not listed", strings.Replace(allFailures, "mixed/TestFails", "mixed/TestWell", 1), map[string]string{"mixed": failingTests},
			[]string{"m/mixed/TestWell is listed but passes", "tests of m/mixed"}, []string{"--- FAIL: TestFails"}},
		{"one whose name only begins the same", "mixed/TestFail | a | b\n" + allFailures, map[string]string{"mixed": failingTests}, []string{"m/mixed/TestFail is listed but is not there"}, nil},
		{"one that is skipped", allFailures + "mixed/TestSkips | a | b", map[string]string{"mixed": failingTests}, []string{"m/mixed/TestSkips is listed but is skipped"}, nil},
		{"a package that is gone", "lost/TestA | a | b", map[string]string{"good": passingTests}, []string{"m/lost/TestA is listed but its package is not there"}, []string{"ok  \tm/good\t"}},
		{"a package that does not build", "mixed/TestFails | a | b", map[string]string{"mixed": strings.Replace(failingTests, "oh", `"`, 1), "good": passingTests},
			[]string{"m/mixed/TestFails is listed but is not there, or its package does not build", "tests of m/mixed"}, []string{"ok  \tm/good\t"}},
		{"unlisted packages fail", "", map[string]string{"good": passingTests, "mixed": failingTests}, []string{"tests: exit status"}, []string{"ok  \tm/good\t", "FAIL\tm/mixed"}},
		{"a list that can't be read", "mixed/TestFails", map[string]string{"good": passingTests}, []string{"line 1 of the list"}, nil},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			folder := t.TempDir()
			write := func(name, content string) {
				c.Assert(os.MkdirAll(filepath.Dir(filepath.Join(folder, name)), 0o755), qt.IsNil)
				c.Assert(os.WriteFile(filepath.Join(folder, name), []byte(content), 0o644), qt.IsNil)
			}
			write("go.mod", "module m\n\ngo 1.26\n")
			for name, source := range example.sources {
				write(filepath.Join(name, name+"_test.go"), source)
			}
			if example.list != "" {
				write("KNOWN-RED.txt", example.list)
			}
			out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
			err := run(t.Context(), arguments{Known: filepath.Join(folder, "KNOWN-RED.txt")}, folder, out, errOut)
			c.Assert(err != nil, qt.Equals, example.errors != nil, qt.Commentf("%v\n%s%s", err, out, errOut))
			for _, message := range example.errors {
				c.Check(err.Error(), qt.Contains, message)
			}
			if err != nil {
				c.Check(strings.Count(err.Error(), "\n")+1, qt.Equals, len(example.errors), qt.Commentf("%v", err))
			}
			for _, line := range example.prints {
				c.Check(out.String(), qt.Contains, line)
			}
			// The output of a run that passes must not contain FAIL.
			c.Check(strings.Contains(out.String(), "FAIL") && err == nil, qt.IsFalse, qt.Commentf("%s", out))
		})
	}
}
