package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/childprocess"
)

// These rules hold at any speed of the machine, and so do the rules about operations. Rules about time limits depend on
// how busy the machine is; longer soak runs check them.
var timingIndependentRules = []checker.Rule{
	checker.RunTwice, checker.RunAfterRejection, checker.AnswerMixed, checker.UnsolicitedRun, checker.Misrouted, checker.StreamDisordered,
	checker.AttemptsExceeded, checker.InvariantFailed,
	checker.KeyShown, checker.TenantMismatch, checker.UnknownKeyRan,
}

// hardProblems are texts of problems that a busy machine cannot cause.
var hardProblems = append([]string{"ended by itself", "invariant_violations", "was refused with", "can't be read", "does not serve", "does not export", "a key"}, childprocess.LogMarks()...)

func TestAShortSoakOfDeployedNodes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	program := filepath.Join(t.TempDir(), "dunlinloom")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-race", "-tags", "faults", "-o", program, "dunlinloom/cmd/dunlinloom").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for i, run := range []struct {
		name       string
		hasTenants bool
		only       []string
		nodes      int            // DefaultNodes unless more
		disks      int            // DefaultDisks unless more
		rules      []checker.Rule // to be kept as well
	}{
		{name: "without tenants"},
		{name: "with tenants", hasTenants: true},
		{name: "disks that fail at a start", only: []string{"start-refused", "start-stalled", "empty-refused", "empty-stalled", "signals"}},
		{name: "two of eight disks lost with all power", only: []string{"wipe-power", "power-all"}, nodes: 10, disks: 8},
		{name: "engines that leave beside stops of all", only: []string{"leave-kill", "leave-power"}, rules: []checker.Rule{checker.DrainingEngineUsed}},
	} {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			checkShortSoak(qt.New(t), Settings{
				Program: program, Folder: t.TempDir(), Seed: 7, Network: 200 + i, Span: minSpan, Load: 0.5, Logf: t.Logf,
				HasTenants: run.hasTenants, Nodes: max(run.nodes, DefaultNodes), Disks: max(run.disks, DefaultDisks), Only: run.only,
			}, slices.Concat(timingIndependentRules, run.rules))
		})
	}
}

func checkShortSoak(c *qt.C, settings Settings, rules []checker.Rule) {
	report, err := Play(context.Background(), settings)
	c.Assert(err, qt.IsNil)
	for _, violation := range report.Review.Violations {
		c.Check(slices.Contains(rules, violation.Rule), qt.IsFalse, qt.Commentf("%s: %s", violation.Rule, violation.Detail))
	}
	for _, violation := range report.Orders {
		c.Check(violation.Rule, qt.Equals, checker.FinalReadMissing, qt.Commentf("%s", violation.Detail))
	}
	for _, problem := range report.Problems {
		isHard := slices.ContainsFunc(hardProblems, func(mark string) bool { return strings.Contains(problem, mark) })
		c.Check(isHard, qt.IsFalse, qt.Commentf("%s", problem))
	}
	c.Assert(report.Review.Served > 0, qt.IsTrue)
	c.Assert(report.Answered > 0, qt.IsTrue)
	c.Assert(report.Reads > 0, qt.IsTrue)
}

// The same seed has to give the same plan. Each plan starts with planned actions only, and all plans together contain
// every kind of step and overlapping steps.
func TestPlanDependsOnlyOnItsSeed(t *testing.T) {
	c := qt.New(t)
	const span = 60 * kernel.Second
	kinds, closing, together := map[string]bool{}, map[string]bool{}, 0
	for seed := range uint64(60) {
		drawn := draw(seed, span, allActions)
		c.Assert(fmt.Sprint(draw(seed, span, allActions)), qt.Equals, fmt.Sprint(drawn))
		closing[drawn.closing] = true
		firstUnplanned := span
		for _, s := range drawn.steps {
			kinds[s.faultName] = true
			if _, isPlanned := plannedWork[s.faultName]; !isPlanned {
				firstUnplanned = min(firstUnplanned, s.at)
			}
			overlapping := 0
			for _, other := range drawn.steps {
				if other.at <= s.at && s.at < other.at+other.span {
					overlapping++
				}
			}
			together = max(together, overlapping)
		}
		c.Assert(float64(firstUnplanned) >= plannedShare*float64(span), qt.IsTrue)
	}
	c.Assert(kinds, qt.HasLen, len(faultFuncs)+len(plannedWork))
	c.Assert(closing, qt.HasLen, len(closings))
	c.Assert(together >= 3, qt.IsTrue)
}

func TestCheckNamesTheInvalidSetting(t *testing.T) {
	c := qt.New(t)
	good := Settings{Folder: t.TempDir(), Network: 20, Span: minSpan, Load: 1, Nodes: DefaultNodes, Disks: DefaultDisks, Only: []string{"signals"}}
	c.Assert(good.Check(), qt.IsNil)
	for name, change := range map[string]func(*Settings){
		"network": func(s *Settings) { s.Network = 255 },
		"span":    func(s *Settings) { s.Span = minSpan - 1 },
		"load":    func(s *Settings) { s.Load = 0 },
		"nodes":   func(s *Settings) { s.Nodes = maxNodes + 1 },
		"disks":   func(s *Settings) { s.Disks = s.Nodes + 1 },
		"only":    func(s *Settings) { s.Only = []string{"kill", "stop"} },
		"folder":  func(s *Settings) { s.Folder = filepath.Join(s.Folder, "nowhere") },
	} {
		bad := good
		change(&bad)
		c.Check(bad.Check(), qt.ErrorMatches, name+" .*")
	}
}
