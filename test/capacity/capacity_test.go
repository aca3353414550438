package capacity

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

func smallSizes() Sizes {
	sizes := DefaultSizes()
	sizes.Nodes, sizes.Engines, sizes.Routes, sizes.Span, sizes.Wall = 12, 24, 20, 2*sec, 60*sec
	return sizes
}

func TestFleetIsMeasuredByRole(t *testing.T) {
	c := qt.New(t)
	sizes := smallSizes()
	sizes.Changes, sizes.Restart = 1000, 20
	outcome, err := Run(sizes, 1)
	c.Assert(err, qt.IsNil)
	nodes := 0
	for _, role := range Roles() {
		metrics, isThere := outcome.Roles[role]
		c.Assert(isThere, qt.IsTrue, qt.Commentf("no %s", role))
		nodes += metrics.Nodes
		c.Check(TotalRate(metrics.Sent).Messages > 3, qt.IsTrue, qt.Commentf("%s sent %v", role, metrics.Sent))
		c.Check(TotalRate(metrics.Got).Bytes > 100, qt.IsTrue, qt.Commentf("%s got %v", role, metrics.Got))
		for _, part := range []string{Events, Encode, Decode, Publish} {
			c.Check(metrics.Processor[part] > 0, qt.IsTrue, qt.Commentf("%s spent nothing on %s", role, part))
		}
	}
	c.Assert(nodes, qt.Equals, sizes.Nodes)
	c.Assert(outcome.Roles[Leader].Nodes, qt.Equals, 1)
	c.Assert(outcome.Roles[Voter].Nodes, qt.Equals, 2)
	// Only the leader sends heartbeats.
	c.Assert(outcome.Roles[Leader].Sent["Heartbeat"].Messages > 20, qt.IsTrue)
	c.Assert(outcome.Roles[Router].Sent["Heartbeat"], qt.Equals, Rate{})
	// Every submission was acknowledged, and none was applied everywhere before it was submitted.
	c.Assert(outcome.Unacknowledged, qt.Equals, 0)
	c.Assert(len(outcome.AckLatency) >= 2, qt.IsTrue)
	for i := range outcome.AckLatency {
		c.Check(outcome.AckLatency[i] > 0, qt.IsTrue)
		c.Check(outcome.AckLatency[i]+outcome.ApplyDelay[i] > 0, qt.IsTrue)
	}
	c.Assert(outcome.Restarted, qt.Equals, 1)
	// A restarted router has neither a lease nor a document, so the fleet needs time to settle.
	c.Assert(outcome.Settle > 0, qt.IsTrue)
}

func TestOneSeedSendsTheSameMessages(t *testing.T) {
	c := qt.New(t)
	sizes := smallSizes()
	sizes.Nodes, sizes.Engines, sizes.Span = 8, 6, sec
	first, err := Run(sizes, 7)
	c.Assert(err, qt.IsNil)
	second, err := Run(sizes, 7)
	c.Assert(err, qt.IsNil)
	for _, role := range Roles() {
		c.Check(first.Roles[role].Sent, qt.DeepEquals, second.Roles[role].Sent)
	}
}

func TestACutRegionIsSeenAndHeals(t *testing.T) {
	c := qt.New(t)
	sizes := smallSizes()
	sizes.Cut, sizes.Span, sizes.Engines = 6*sec, sec, 6
	outcome, err := Run(sizes, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(outcome.ServingOutside, qt.Equals, 1.0)
	c.Assert(outcome.Settle > 0, qt.IsTrue)
}

func TestOutOfBoundsSizesAreRejectedBeforeTheRun(t *testing.T) {
	for _, bad := range []struct {
		name string
		edit func(*Sizes)
		what string
	}{
		{"no nodes", func(s *Sizes) { s.Nodes = 0 }, "nodes"},
		{"no router", func(s *Sizes) { s.Control = 12 }, "control machines"},
		{"too many nodes", func(s *Sizes) { s.Nodes = 821 }, "nodes"},
		{"negative engines", func(s *Sizes) { s.Engines = -1 }, "engines"},
		{"too many engines", func(s *Sizes) { s.Engines = 6801 }, "engines"},
		{"no routes", func(s *Sizes) { s.Routes = 0 }, "routes"},
		{"too many routes", func(s *Sizes) { s.Routes = 20001 }, "routes"},
		{"too many prefixes", func(s *Sizes) { s.Prefixes = 1<<20 + 1 }, "prefixes"},
		{"too many sessions", func(s *Sizes) { s.Sessions = 1<<17 + 1 }, "sessions"},
		{"no tenants", func(s *Sizes) { s.Tenants = 0 }, "tenants"},
		{"no span", func(s *Sizes) { s.Span = 0 }, "span_us"},
		{"reports without a pause", func(s *Sizes) { s.Report = 0 }, "report_us"},
		{"more changes than are bounded", func(s *Sizes) { s.Changes = 20001 }, "changes in a thousand seconds"},
		{"all restarted", func(s *Sizes) { s.Restart = 100 }, "restarted percent"},
		{"a cut for ever", func(s *Sizes) { s.Cut = 3601 * sec }, "cut_us"},
		{"no bound of time", func(s *Sizes) { s.Wall = 0 }, "wall_us"},
		{"more zones than nodes", func(s *Sizes) { s.Zones = 13 }, "zones"},
		{"more regions than zones", func(s *Sizes) { s.Zones, s.Regions = 4, 5 }, "regions"},
		{"more memory than half of the machine", func(s *Sizes) { s.MemoryMB = 1 << 30 }, "megabytes of memory"},
		{"more than the memory allowed", func(s *Sizes) { s.Nodes, s.Engines = 410, 6800 }, "megabytes that these sizes need"},
	} {
		t.Run(bad.name, func(t *testing.T) {
			c := qt.New(t)
			sizes := smallSizes()
			bad.edit(&sizes)
			outcome, err := Run(sizes, 1)
			c.Assert(outcome, qt.IsNil)
			var rejected OutOfBoundsError
			c.Assert(errors.As(err, &rejected), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(rejected.What, qt.Equals, bad.what)
			c.Assert(rejected.Asked < rejected.Low || rejected.Asked > rejected.High, qt.IsTrue)
		})
	}
}

func TestUnknownRolesTablesAndBatchesAreRejected(t *testing.T) {
	c := qt.New(t)
	sizes := smallSizes()
	sizes.Roles = []Role{"emulator"}
	outcome, err := Run(sizes, 1)
	c.Assert(outcome, qt.IsNil)
	var role UnknownRoleError
	c.Assert(errors.As(err, &role), qt.IsTrue)
	c.Assert(role, qt.DeepEquals, UnknownRoleError{"emulator", Roles()})

	var out bytes.Buffer
	var table UnknownTableError
	c.Assert(errors.As(Print(&out, "none", Batch{First: 1, Seeds: 1, Workers: 1}), &table), qt.IsTrue)
	c.Assert(table.Name, qt.Equals, "none")
	for _, batch := range []Batch{{First: 1, Workers: 1}, {First: 1, Seeds: 21, Workers: 1}, {First: 1, Seeds: 1}, {First: 1, Seeds: 1, Workers: 5}, {First: 1, Seeds: 1, Workers: 1, Most: -1}} {
		var rejected OutOfBoundsError
		c.Assert(errors.As(Print(&out, "nodes", batch), &rejected), qt.IsTrue)
	}
	var rules UnknownRulesError
	c.Assert(errors.As(Print(&out, "nodes", Batch{First: 1, Seeds: 1, Workers: 1, Rules: "lax"}), &rules), qt.IsTrue)
	c.Assert(rules.Rules, qt.Equals, Rules("lax"))
	c.Assert(out.Len(), qt.Equals, 0)
	sizes = smallSizes()
	sizes.Rules = "lax"
	outcome, err = Run(sizes, 1)
	c.Assert(outcome, qt.IsNil)
	c.Assert(errors.As(err, &rules), qt.IsTrue)
}

func TestFleetUnderDeploymentRulesIsMeasured(t *testing.T) {
	c := qt.New(t)
	sizes := smallSizes()
	sizes.Rules, sizes.Report, sizes.Changes, sizes.Restart = Deployment, deploymentHeartbeat, 1000, 20
	outcome, err := Run(sizes, 1)
	c.Assert(err, qt.IsNil)
	nodes := 0
	for _, role := range Roles() {
		nodes += outcome.Roles[role].Nodes
	}
	c.Assert(nodes, qt.Equals, sizes.Nodes)
	c.Assert(outcome.Roles[Leader].Nodes, qt.Equals, 1)
	c.Assert(outcome.Roles[Voter].Nodes, qt.Equals, deploymentVoters-1)
	// Engines report to any node. A report that changes nothing is forwarded only to the coordinator
	// of the engine's zone.
	c.Assert(outcome.Roles[Router].Sent["Heard"].Messages > 0, qt.IsTrue)
	c.Assert(outcome.Roles[Router].Sent["Push"], qt.Equals, Rate{})
	c.Assert(outcome.Unacknowledged, qt.Equals, 0)
	c.Assert(len(outcome.AckLatency) >= 2, qt.IsTrue)
	c.Assert(outcome.Restarted, qt.Equals, 1)
	c.Assert(outcome.Settle > 0, qt.IsTrue)
}

func TestTableCommandNamesTheRules(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	err := Print(&out, "force", Batch{First: 1, Seeds: 1, Workers: 1, Rules: Deployment, Most: 32, Run: func(sizes Sizes, seed uint64) (*Outcome, error) {
		c.Check(sizes.Rules, qt.Equals, Deployment)
		c.Check(sizes.Report, qt.Equals, deploymentHeartbeat)
		return &Outcome{Seed: seed, AckLatency: []kernel.Micros{90 * ms}, ApplyDelay: []kernel.Micros{-10 * ms}}, nil
	}})
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Contains, "`go run ./cmd/capacity --table force --seed 1 --seeds 1 --rules deployment --most 32`")
	c.Assert(out.String(), qt.Contains, "| 32 | 1 | 0 |")
	c.Assert(out.String(), qt.Not(qt.Contains), "| 96 |")
}

func TestRunStopsAtItsTimeLimit(t *testing.T) {
	c := qt.New(t)
	sizes := smallSizes()
	sizes.Wall, sizes.Span = sec, 600*sec
	outcome, err := Run(sizes, 1)
	var late TimeLimitError
	c.Assert(errors.As(err, &late), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(late.Bound, qt.Equals, sec)
	c.Assert(outcome.Wall < 10*sec, qt.IsTrue)
}

// Every row of every table must have valid sizes.
func TestAllRowsCanBeRun(t *testing.T) {
	c := qt.New(t)
	for name, table := range tables() {
		c.Check(len(table.rows) > 0 || table.parts != nil, qt.IsTrue, qt.Commentf(name))
		for _, row := range table.rows {
			sizes := row.sizes.WithDefaults()
			// The memory of the machine is not part of this test, so this limit fits every machine.
			sizes.MemoryMB = 64
			var rejected OutOfBoundsError
			if err := sizes.Check(); err != nil {
				c.Check(errors.As(err, &rejected), qt.IsTrue)
				c.Check(rejected.What, qt.Equals, "megabytes that these sizes need", qt.Commentf("%s, %s", name, row.name))
			}
		}
	}
}

func TestTablePrintsItsCommandAndFailedRuns(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	err := Print(&out, "force", Batch{First: 1, Seeds: 2, Workers: 2, Run: func(sizes Sizes, seed uint64) (*Outcome, error) {
		if sizes.Nodes == 8 && seed == 2 {
			return nil, TimeLimitError{"measure", sizes.Wall}
		}
		return &Outcome{Seed: seed, AckLatency: []kernel.Micros{90 * ms}, ApplyDelay: []kernel.Micros{-10 * ms}}, nil
	}})
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Contains, "`go run ./cmd/capacity --table force --seed 1 --seeds 2`")
	c.Assert(out.String(), qt.Contains, `FAILED: 8, seed 2: stopped in "measure"`)
	c.Assert(out.String(), qt.Contains, "| 8 | 1 | 0 | 90 | 90 | -10 | -10 |")
	c.Assert(out.String(), qt.Contains, "| 410 | 2 | 0 | 90 | 90 | -10 | -10 |")
}

func TestPartsAreMeasured(t *testing.T) {
	c := qt.New(t)
	sizes := smallSizes()
	dispatch, err := MeasureDispatch(sizes, 1)
	c.Assert(err, qt.IsNil)
	c.Check(dispatch.Admit > 0 && dispatch.Complete > 0 && dispatch.PerOpenRequest > 0, qt.IsTrue, qt.Commentf("%+v", dispatch))
	config, err := MeasureConfig(sizes, 1)
	c.Assert(err, qt.IsNil)
	c.Check(config.Full > config.Config && config.Light < config.Full && config.Stored > 0, qt.IsTrue, qt.Commentf("%+v", config))
	sizes.Nodes, sizes.Engines, sizes.Span = 6, 0, sec
	wire, err := MeasureConnections(sizes, 1)
	c.Assert(err, qt.IsNil)
	c.Check(wire.Messages > 1 && wire.OnWire > 0 && wire.Encoded > 0 && wire.Cores > 0, qt.IsTrue, qt.Commentf("%+v", wire))
	sizes.Nodes = 49
	_, err = MeasureConnections(sizes, 1)
	var rejected OutOfBoundsError
	c.Assert(errors.As(err, &rejected), qt.IsTrue)
	c.Assert(rejected, qt.Equals, OutOfBoundsError{"nodes over loopback", 49, 5, 48})
}
