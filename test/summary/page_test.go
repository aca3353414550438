package summary

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

func samplePage() *Page {
	page := &Page{
		Run: "local fleet run of qurum-short (deployment qurum, seed 1)", Rules: 16,
		Faults: []checker.FaultCost{
			{Fault: "engine-dark engine:6", At: 3 * kernel.Second},
			{Fault: "kill leader", At: 4500 * kernel.Millisecond, Unserved: 2, LastAfter: 320 * kernel.Millisecond},
		},
	}
	outcomes := map[string]int{"served": 1095, "torn": 1, "no_receipt": 1, "hung_up": 2}
	page.Add("requests served", "%s", Share(outcomes["served"], 1099))
	page.Add("not served", "%s", Counts(Unserved(outcomes)))
	page.Add("first byte", "%s", Latency(checker.Latency{Count: 1095, Median: 21 * kernel.Millisecond, P99: 1300 * kernel.Millisecond}))
	page.Add("operations", "%s", Counts(Operations(map[string]int{"spec yes ": 5, "spec no clash": 1, "empty yes ": 1, "newest read": 85, "repeat yes": 7})))
	page.Add("between zones", "%s: %s", Bytes(5_305_369), LargestBytes(Crossing(map[string]float64{
		"News": 1_405_324, "Heartbeat": 928_787, "HeartbeatReply": 747_003, "Mend": 588_307, "Vote": 1067, "GrantBatch": 387_230, "AskBatch": 329_646,
	})))
	return page
}

const samplePassed = `local fleet run of qurum-short (deployment qurum, seed 1)
PASSED: none of the 16 rules that were checked was broken

requests served  1095 of 1099 (99.64 %)
not served       2 cancelled by the caller, 1 no response, 1 truncated
first byte       median 21 ms, p99 1.3 s
operations       85 linearizable read answered, 7 repeated operation accepted, 5 configuration accepted, 1 configuration rejected (conflict), 1 drain of a zone accepted
between zones    5.3 MB: heartbeats 1.7 MB, directory updates 1.4 MB, serving leases 716.9 kB, anti-entropy 588.3 kB, all else 1.1 kB

fault                 injected at  not served after it  last one not served after
kill leader           4.5 s        2                    320 ms
engine-dark engine:6  3.0 s        0                    -
`

func TestAPageSaysWhatARunCameTo(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(samplePage().Write(&out), qt.IsNil)
	c.Assert(out.String(), qt.Equals, samplePassed)
}

func TestPageListsViolationsAndProblemsFirst(t *testing.T) {
	for _, test := range []struct {
		name       string
		violations int
		problems   int
		wanted     string
	}{
		{"one violation", 1, 0, "run\nFAILED: 1 violation of the 16 rules that were checked, 0 problems of the run\n  1.5 s: a request ran twice: r1\n\n"},
		{"a problem", 0, 1, "run\nFAILED: 0 violations of the 16 rules that were checked, 1 problem of the run\n  no request was served\n\n"},
		{"both", 1, 1, "run\nFAILED: 1 violation of the 16 rules that were checked, 1 problem of the run\n  1.5 s: a request ran twice: r1\n  no request was served\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			page := &Page{Run: "run", Rules: 16}
			for range test.violations {
				page.Violations = append(page.Violations, checker.Violation{Rule: checker.RunTwice, At: 1500 * kernel.Millisecond, Detail: "r1"})
			}
			for range test.problems {
				page.Problems = append(page.Problems, "no request was served")
			}
			var out bytes.Buffer
			c.Assert(page.Write(&out), qt.IsNil)
			c.Assert(out.String(), qt.Equals, test.wanted)
			c.Assert(page.IsClean(), qt.IsFalse)
		})
	}
}

func TestLongListsAreCut(t *testing.T) {
	c := qt.New(t)
	page := &Page{Run: "run", Rules: 1}
	for range maxShown + 3 {
		page.Violations = append(page.Violations, checker.Violation{Rule: checker.RunTwice})
		page.Faults = append(page.Faults, checker.FaultCost{Fault: "kill"})
	}
	var out bytes.Buffer
	c.Assert(page.Write(&out), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "  and 3 more\n")
	c.Assert(out.String(), qt.Contains, "\nand 3 more\n")
}

// Every outcome that a caller can see needs a term of its own; the page must not show the names used in the records.
func TestEveryOutcomeHasATerm(t *testing.T) {
	c := qt.New(t)
	outcomes := map[string]int{}
	for _, outcome := range []checker.Outcome{
		checker.Served, checker.EngineError, checker.NotRun, checker.MayHaveRun, checker.Truncated, checker.Corrupted, checker.FalseEnd,
		checker.NoResponse, checker.Unreached, checker.Abandoned,
	} {
		outcomes[string(outcome)] = 1
	}
	terms := Unserved(outcomes)
	c.Assert(terms, qt.HasLen, len(outcomes)-1)
	for name := range outcomes {
		_, isShown := terms[name]
		c.Check(isShown, qt.IsFalse, qt.Commentf("%s", name))
	}
	endings := Endings(map[string]int{"whole 200": 9, "whole 503": 2, "broken 200": 1, "nothing 0": 3})
	c.Assert(endings, qt.DeepEquals, map[string]int{"answered (503)": 2, "truncated (200)": 1, "no response": 3})
}

func TestPrintWritesTheRequestedOutputs(t *testing.T) {
	report := map[string]int{"calls": 3}
	for _, test := range []struct {
		name              string
		isJSON, hasFile   bool
		isPage, isWritten bool
	}{
		{"a page", false, false, true, false}, {"JSON", true, false, false, false}, {"a page and a file", false, true, true, true}, {"JSON and a file", true, true, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			output := Output{IsJSON: test.isJSON}
			path := filepath.Join(t.TempDir(), "report.json")
			if test.hasFile {
				output.File = path
			}
			var out bytes.Buffer
			c.Assert(Print(&out, samplePage(), report, output), qt.IsNil)
			c.Assert(out.String() == samplePassed, qt.Equals, test.isPage)
			content, err := os.ReadFile(path)
			c.Assert(err == nil, qt.Equals, test.isWritten)
			for _, text := range [][]byte{content, out.Bytes()} {
				var read map[string]int
				if json.Unmarshal(text, &read) == nil {
					c.Assert(read, qt.DeepEquals, report)
				}
			}
		})
	}
}
