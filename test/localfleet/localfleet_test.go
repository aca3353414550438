package localfleet

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/test/checker"
)

// These rules hold at any speed of the machine. Rules about time limits depend on how busy the machine is; they are
// checked by the simulator and by local fleet runs that are started by hand.
var timingIndependentRules = map[checker.Rule]bool{
	checker.RunTwice: true, checker.RunAfterRejection: true, checker.BodyMismatch: true, checker.FalseCompletion: true,
	checker.AcknowledgedLost: true, checker.RejectedTookEffect: true, checker.RetryBudgetExceeded: true,
	checker.HistoryNotLinearizable: true, checker.HistoryUndecided: true, checker.RepeatRefused: true,
}

func TestShortRunOfRealProcesses(t *testing.T) {
	c := qt.New(t)
	bin := t.TempDir()
	for _, program := range []string{"dunlinloom", "emulator", "loadgen"} {
		build := exec.Command("go", "build", "-tags", "faults", "-o", filepath.Join(bin, program), "dunlinloom/cmd/"+program)
		out, err := build.CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	scenario := &Scenario{Name: "ci", Deployment: "cronometro", Seed: 5, SpanMS: 9000, Rate: 15, Steps: []Step{
		{AtMS: 500, Do: "spec"}, {AtMS: 500, Do: "engine-retire", Target: "engine:7"}, {AtMS: 1000, Do: "engine-break", Target: "engine:1"}, {AtMS: 1500, Do: "not-run", Target: "engine:2", Count: 5},
		{AtMS: 2000, Do: "kill", Target: "leader", ForMS: 1500}, {AtMS: 3000, Do: "engine-kill", Target: "engine:4", ForMS: 1500},
		{AtMS: 4500, Do: "clash"}, {AtMS: 5500, Do: "kill", Target: "router", ForMS: 1000}, {AtMS: 6000, Do: "cut", Target: "leader", ForMS: 2000}, {AtMS: 6500, Do: "empty", Target: "z2", ForMS: 1000},
	}}
	c.Assert(scenario.Check(), qt.IsNil)
	deployment, _ := DeploymentOf(scenario.Deployment)
	report, err := Run(context.Background(), NewCluster(bin, t.TempDir(), deployment, 0), scenario, t.Logf)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Problems, qt.HasLen, 0)
	for _, violation := range report.Review.Violations {
		c.Check(timingIndependentRules[violation.Rule], qt.IsFalse, qt.Commentf("%s: %s", violation.Rule, violation.Detail))
	}
	c.Assert(report.Review.Outcomes[string(checker.Served)] > 0, qt.IsTrue)
	c.Assert(report.Orders["spec yes "] > 0, qt.IsTrue, qt.Commentf("%v", report.Orders))
	c.Assert(report.Orders["newest read"] > 0, qt.IsTrue, qt.Commentf("%v", report.Orders))
	c.Assert(report.Orders["repeat yes"] > 0, qt.IsTrue, qt.Commentf("%v", report.Orders))
}

func TestEveryVerbHasAStepFunction(t *testing.T) {
	c := qt.New(t)
	for verb, target := range verbs {
		_, isFleet := fleetSteps[verb]
		_, isNode := nodeSteps[verb]
		_, isEngine := engineSteps[verb]
		c.Check(isNode, qt.Equals, target == "node", qt.Commentf("%s", verb))
		c.Check(isEngine, qt.Equals, target == "engine", qt.Commentf("%s", verb))
		c.Check(isFleet, qt.Equals, target == "" || target == "zone", qt.Commentf("%s", verb))
	}
	c.Check(len(fleetSteps)+len(nodeSteps)+len(engineSteps), qt.Equals, len(verbs))
}

func TestScenarioCheckListsEveryInvalidField(t *testing.T) {
	c := qt.New(t)
	bad := Scenario{Deployment: "nowhere", SpanMS: 10, Rate: -1, Hot: 2}
	var faults *fleetconfig.InvalidConfigError
	c.Assert(errors.As(bad.Check(), &faults), qt.IsTrue)
	c.Assert(faults.List, qt.HasLen, 5)
	bad = Scenario{Name: "x", Deployment: "qurum", SpanMS: 5000, Rate: 1, Steps: []Step{
		{AtMS: 9000, Do: "kill", Target: "node:11"}, {Do: "explode"}, {Do: "empty", Target: "z5"}, {Do: "engine-kill", Target: "engine:18"},
		{Do: "spec", Target: "leader"}, {Do: "freeze", Target: "home:z9"}, {Do: "storm", Count: -1}, {Do: "kill", Target: "node:10"},
		{Do: "disk-slow", Target: "leader", ForMS: 5}, {Do: "lossy"}, {Do: "crowd", ForMS: 5, Count: 501}, {Do: "list-lag", Target: "z1", ForMS: 5, Count: 1},
	}}
	c.Assert(errors.As(bad.Check(), &faults), qt.IsTrue)
	paths := []string{}
	for _, fault := range faults.List {
		paths = append(paths, fault.Path)
	}
	c.Assert(paths, qt.DeepEquals, []string{"steps[0].at_ms", "steps[0].target", "steps[1].do", "steps[2].target", "steps[3].target", "steps[4].target", "steps[5].target", "steps[6]",
		"steps[8].count", "steps[9].for_ms", "steps[10].count", "steps[11].target"})
}

func TestScenarioFilesAreValid(t *testing.T) {
	c := qt.New(t)
	paths, err := filepath.Glob("../scenarios/*.json")
	c.Assert(err, qt.IsNil)
	c.Assert(len(paths) >= 4, qt.IsTrue)
	for _, path := range paths {
		_, err := ReadScenario(path)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", path))
	}
	unknown := filepath.Join(t.TempDir(), "x.json")
	content, err := json.Marshal(map[string]any{"name": "x", "deployment": "qurum", "span_ms": 5000, "rate": 1, "seeed": 4})
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(unknown, content, 0o600), qt.IsNil)
	_, err = ReadScenario(unknown)
	c.Assert(err, qt.IsNotNil)
}
