package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/simulator"
)

const mixFile = "../../../docs/measurements/mixes/reports-and-quotes.json"

func TestAnExperimentReportIsComplete(t *testing.T) {
	c := qt.New(t)
	mix, err := simulator.ReadMix(mixFile)
	c.Assert(err, qt.IsNil)
	var sides [2]*Side
	for i, text := range []string{"load=0.5", "load=3,slots=2"} {
		variant, err := simulator.ParseVariant(text)
		c.Assert(err, qt.IsNil)
		plan := mix.Plan(variant, 1, 6*kernel.Second)
		var outcome simulator.RoutedOutcome
		synctest.Test(t, func(*testing.T) { outcome = simulator.RunRouted(plan) })
		c.Assert(outcome.Report.Violations, qt.HasLen, 0)
		sides[i] = NewSide(text, plan)
		c.Assert(sides[i].Add(outcome), qt.IsNil)
	}
	// More requests on fewer slots are served later, and more of them are rejected.
	c.Assert(sides[1].sent["quote"] > 2*sides[0].sent["quote"], qt.IsTrue)
	c.Assert(sides[1].wholeRun["quote"].ValueAtQuantile(95) > sides[0].wholeRun["quote"].ValueAtQuantile(95), qt.IsTrue)
	c.Assert(sides[1].rejections["engines_failed"] > sides[0].rejections["engines_failed"], qt.IsTrue)
	folder := filepath.Join(t.TempDir(), "report")
	c.Assert(Write(folder, "title", "command", sides), qt.IsNil)
	report, err := os.ReadFile(filepath.Join(folder, "report.md"))
	c.Assert(err, qt.IsNil)
	for _, word := range []string{"| load=0.5 | load=3,slots=2 |", "quote: first token, p99", "refused: engines_failed", "(latency-report.svg)"} {
		c.Check(strings.Contains(string(report), word), qt.IsTrue, qt.Commentf("%s", word))
	}
	for _, name := range []string{"latency-report.svg", "latency-quote.svg", "engines.svg", "refusals.svg"} {
		content, err := os.ReadFile(filepath.Join(folder, name))
		c.Assert(err, qt.IsNil)
		c.Check(strings.Contains(string(content), "load=3,slots=2"), qt.IsTrue, qt.Commentf("%s has no legend", name))
	}
}

func TestErrorsNameTheInvalidSettings(t *testing.T) {
	c := qt.New(t)
	for text, why := range map[string]string{
		"speed=2": "speed: unknown setting; known settings are .*", "slots": "slots: needs a value above zero", "slots=-1": "slots=-1: needs a value above zero", "slots=NaN": ".*above zero",
	} {
		_, err := simulator.ParseVariant(text)
		c.Check(err, qt.ErrorMatches, why)
	}
	path := filepath.Join(t.TempDir(), "mix.json")
	c.Assert(os.WriteFile(path, []byte(`{"routers":1,"kinds":[{"name":"k"}]}`), 0o644), qt.IsNil)
	_, err := simulator.ReadMix(path)
	c.Assert(err, qt.ErrorMatches, "(?s).*engines: has to be above zero.*")
	c.Assert(err, qt.ErrorMatches, "(?s).*k per_second: has to be above zero.*")
}
