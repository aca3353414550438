package localfleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/test/checker"
	"dunlinloom/test/childprocess"
)

// clusterOfScript returns a cluster in which every program is the same shell script.
func clusterOfScript(c *qt.C, script string) *Cluster {
	bin := c.TempDir()
	for _, program := range []string{daemon, programLoadgen} {
		c.Assert(os.WriteFile(filepath.Join(bin, program), []byte("#!/bin/sh\n"+script+"\n"), 0o700), qt.IsNil)
	}
	return NewCluster(bin, c.TempDir(), Qurum(), 0)
}

// An unexpected exit of a process has to be reported even if no request failed because of it.
func TestUnexpectedProcessExitIsAProblem(t *testing.T) {
	for _, example := range []struct {
		name, program, script string
		halts                 bool
		problems              int
	}{
		{"a node fails", programNode, "exit 1", false, 1},
		{"a node ends without an error", programNode, "exit 0", false, 1},
		{"a node is halted", programNode, "exec sleep 3600", true, 0},
		{"the callers come to an end", programLoadgen, "exit 0", false, 0},
		{"the callers saw a violation", programLoadgen, "exit 3", false, 0},
		{"the callers fail", programLoadgen, "exit 2", false, 1},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			cluster := clusterOfScript(c, example.script)
			one := &process{name: "one", program: example.program}
			c.Assert(cluster.start(one), qt.IsNil)
			if example.halts {
				one.halt()
			}
			<-one.Ended()
			c.Assert(cluster.failures, qt.HasLen, example.problems, qt.Commentf("%v", cluster.failures))
		})
	}
}

// requiredEvents returns one event of each kind that a run has to show.
func requiredEvents() []checker.Event {
	events := []checker.Event{}
	for _, kind := range []checker.EventKind{
		checker.CallEnded, checker.RunStarted, checker.ConfigAccepted, checker.ConfigRead, checker.ConfigCurrent, checker.ZonesRead, checker.NewestRead,
	} {
		events = append(events, checker.Event{EventKind: kind, Outcome: checker.Served})
	}
	return events
}

func TestRunWithoutActivityIsAProblem(t *testing.T) {
	c := qt.New(t)
	all := requiredEvents()
	served := Report{Review: checker.Report{Outcomes: map[string]int{string(checker.Served): 1}}}
	cluster := &Cluster{}
	cluster.checkActivity(&served, all)
	c.Assert(cluster.failures, qt.HasLen, 0)
	for i := range all {
		cluster := &Cluster{}
		cluster.checkActivity(&served, append(append([]checker.Event{}, all[:i]...), all[i+1:]...))
		c.Check(cluster.failures, qt.HasLen, 1, qt.Commentf("without %s", all[i].EventKind))
	}
	cluster.checkActivity(&Report{}, all)
	c.Assert(cluster.failures, qt.DeepEquals, []string{"no request was served"})
}

func TestErrorsInMetricsAndLogsAreProblems(t *testing.T) {
	const counted = checker.InvariantMetric + `{invariant="runs_once"}`
	for _, example := range []struct {
		name     string
		counters map[string]float64
		log      string
		problems int
	}{
		{"all well", map[string]float64{counted: 0}, "started", 0},
		{"an invariant is violated", map[string]float64{counted: 2}, "started", 1},
		{"no counts of invariants", map[string]float64{"dunlinloom_requests_total": 2}, "started", 1},
		{"a panic in the log", map[string]float64{counted: 0}, "panic: no", 1},
		{"no log", map[string]float64{counted: 0}, "", 1},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			cluster := &Cluster{folder: t.TempDir(), counters: map[string]map[string]float64{"node0#1": example.counters}}
			if example.log != "" {
				c.Assert(os.WriteFile(filepath.Join(cluster.folder, "node0.log"), []byte(example.log), 0o600), qt.IsNil)
			}
			cluster.checkNodes()
			c.Assert(cluster.failures, qt.HasLen, example.problems, qt.Commentf("%v", cluster.failures))
		})
	}
}

// A fault that the emulator rejected would otherwise be evaluated as one that did no harm.
func TestAFaultThatIsNotInjectedFailsItsStep(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	engine := &process{Process: childprocess.Process{}, name: "e00", public: server.Listener.Addr().String()}
	var status StatusError
	c.Assert(setFaults(context.Background(), engine, "{}"), qt.ErrorAs, &status)
	c.Assert(status.Status, qt.Equals, http.StatusNotFound)
}
