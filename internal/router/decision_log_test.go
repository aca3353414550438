package router

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// decisionRun makes random decisions of all kinds from a seed.
type decisionRun struct {
	random  *rand.Rand
	chooser *Chooser
	now     kernel.Micros
	routes  []*fleetconfig.Route
	calls   []*Call
	count   int
}

func (r *decisionRun) setTable() {
	split := []fleetconfig.Split{{Service: "text", Weight: 60}, {Service: "plain", Weight: 40}}
	routes := []fleetconfig.Route{
		{Name: "stream", Kind: fleetconfig.Stream, MaxAttempts: 3, IsPinned: true, LatencyTarget: 500 * kernel.Millisecond, Splits: split},
		{Name: "once", Kind: fleetconfig.Unsafe, MaxAttempts: 2, Splits: split},
	}
	config := fleetconfig.NewRouteConfig(routes, []fleetconfig.Service{{Name: "text", Slots: 4}, {Name: "plain", Slots: 4}})
	table := &RoutingTable{Config: config, Routers: 2 + r.random.IntN(3)}
	for i := range 7 {
		table.Engines = append(table.Engines, Engine{
			ID: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Service: []string{"text", "plain"}[i%2], Slots: 4,
			IsDraining: r.random.IntN(6) == 0, IsUnresponsive: r.random.IntN(6) == 0,
		})
	}
	r.chooser.SetRoutingTable(table)
	r.routes = nil
	for i := range config.Routes {
		r.routes = append(r.routes, &config.Routes[i])
	}
}

func (r *decisionRun) admit() {
	r.count++
	route := r.routes[r.random.IntN(len(r.routes))]
	request := Request{
		ID: fmt.Sprint("r", r.count), PromptTokens: r.random.IntN(3000), MaxTokens: r.random.IntN(200), ArrivedAt: r.now,
		Segments: []Segment{{fmt.Sprint("s", r.random.IntN(3)), 100}}, Deadline: r.now + kernel.Second, Route: route,
	}
	request.Service = r.chooser.pickService(r.now, route, r.random.Uint64())
	if call, rejection := r.chooser.Admit(r.now, request); rejection == nil {
		r.calls = append(r.calls, call)
	}
}

// step makes one random decision.
func (r *decisionRun) step() {
	r.now += kernel.Micros(r.random.IntN(20_000))
	if len(r.calls) == 0 || r.random.IntN(4) == 0 {
		r.admit()
		return
	}
	index := r.random.IntN(len(r.calls))
	call := r.calls[index]
	attempt := call.attempts[r.random.IntN(len(call.attempts))]
	load := Load{Running: r.random.IntN(5), Waiting: r.random.IntN(5), Slots: 4}
	switch r.random.IntN(10) {
	case 0, 1:
		if r.chooser.Sent(r.now, attempt) && r.random.IntN(3) == 0 {
			r.chooser.Unsent(attempt)
		}
	case 2, 3:
		r.chooser.Answered(r.now, attempt, load, r.random.IntN(2) == 0)
	case 4:
		r.chooser.Produced(r.now, attempt, r.random.IntN(40))
	case 5:
		r.chooser.Hedge(r.now, attempt)
	case 6:
		r.chooser.ReportLoad(r.now, fmt.Sprint("e", r.random.IntN(8)), load)
	case 7:
		if r.random.IntN(4) == 0 {
			r.chooser.Bind(attempt)
		}
	default:
		next := r.chooser.Close(r.now, attempt, Outcome(r.random.IntN(int(Superseded)+1)), "drawn")
		if next.Attempt == nil && !next.IsPending {
			r.calls = append(r.calls[:index], r.calls[index+1:]...)
		}
	}
}

var replayBudget = RetryBudget{Ratio: 0.2, Window: 10 * kernel.Second, Slack: 8}

// recordRandomRun records the decisions of a random run.
func recordRandomRun(seed uint64) []Decision {
	decisions := []Decision{}
	r := &decisionRun{random: rand.New(rand.NewPCG(seed, 3)), chooser: NewChooser("", "", replayBudget), now: kernel.Second}
	r.chooser.RecordDecisions(func(decision Decision) { decisions = append(decisions, decision) })
	r.setTable()
	for range 600 {
		if r.random.IntN(60) == 0 {
			r.setTable()
		}
		r.step()
	}
	r.chooser.Drain(r.now)
	r.admit()
	return decisions
}

// The decisions of a Chooser depend only on their inputs and order, and the record holds all inputs.
func TestRecordedDecisionsAreMadeAgain(t *testing.T) {
	c := qt.New(t)
	kinds := map[DecisionKind]int{}
	for seed := range uint64(40) {
		decisions := recordRandomRun(seed)
		for _, decision := range decisions {
			kinds[decision.Kind]++
		}
		content, err := json.Marshal(decisions)
		c.Assert(err, qt.IsNil)
		var read []Decision
		c.Assert(json.Unmarshal(content, &read), qt.IsNil)
		c.Assert(ReplayDecisions(read, replayBudget), qt.IsNil, qt.Commentf("seed %d", seed))
	}
	c.Assert(kinds, qt.HasLen, 12, qt.Commentf("%v", kinds))
}

func TestAReplayFindsWhatDiverges(t *testing.T) {
	for _, example := range []struct {
		name   string
		change func([]Decision) []Decision
		want   any
	}{
		{"another engine was chosen", func(d []Decision) []Decision {
			for i := range d {
				if d[i].Kind == DecisionAdmit && d[i].Chosen != "" {
					d[i].Chosen = "e99"
					break
				}
			}
			return d
		}, new(DivergedError)},
		{"a load report is missing", func(d []Decision) []Decision {
			kept := []Decision{}
			for _, decision := range d {
				if decision.Kind != DecisionReportLoad {
					kept = append(kept, decision)
				}
			}
			return kept
		}, new(DivergedError)},
		{"the routing table is missing", func(d []Decision) []Decision { return d[1:] }, new(UnknownCallError)},
		{"a kind that is not known", func(d []Decision) []Decision { d[0].Kind = "other"; return d }, new(UnknownCallError)},
		{"a table without its contents", func(d []Decision) []Decision { d[0].Table = nil; return d }, new(UnknownCallError)},
	} {
		t.Run(example.name, func(t *testing.T) {
			qt.Assert(t, ReplayDecisions(example.change(recordRandomRun(6)), replayBudget), qt.ErrorAs, example.want)
		})
	}
}
