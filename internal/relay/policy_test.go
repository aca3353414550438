package relay

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// The paper's rule on figures worked out by hand.
func TestChooseWorkedExamples(t *testing.T) {
	for _, example := range []struct {
		name      string
		loads     []float64
		preferred int
		factor    float64
		want      int
		isDivert  bool
	}{
		{"no work anywhere: mean is zero, so no divert", []float64{0, 0, 0}, 2, 2, 2, false},
		{"below twice the mean of 100", []float64{190, 60, 50}, 0, 2, 0, false},
		{"exactly twice the mean is not above it", []float64{200, 100, 0}, 0, 2, 0, false},
		{"above twice the mean goes to the fewest", []float64{300, 90, 30}, 0, 2, 2, true},
		{"only one has work: 900 is above twice 300", []float64{0, 900, 0, 0}, 1, 2, 0, true},
		{"two engines can never be above twice their mean", []float64{1000, 0}, 0, 2, 0, false},
		{"a factor of 1.5 diverts two engines", []float64{1000, 0}, 0, 1.5, 1, true},
		{"the preferred one may be the lightest", []float64{10, 500, 500}, 0, 2, 0, false},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			candidates := []Candidate{}
			for i, load := range example.loads {
				candidates = append(candidates, Candidate{ID: fmt.Sprintf("e%d", i), Weight: 1, Load: load})
			}
			choice := Choose(candidates, example.preferred, example.factor, 0, 0)
			if example.name[:4] == "only" {
				// Three engines are tied at nothing; any of them is the fewest.
				c.Assert(choice.Index, qt.Not(qt.Equals), 1)
			} else {
				c.Assert(choice.Index, qt.Equals, example.want)
			}
			c.Assert(choice.IsDivert, qt.Equals, example.isDivert)
		})
	}
}

func TestNearTiesDifferBySalt(t *testing.T) {
	c := qt.New(t)
	candidates := []Candidate{{ID: "hot", Weight: 1, Load: 1000}}
	for i := range 8 {
		candidates = append(candidates, Candidate{ID: fmt.Sprintf("e%d", i), Weight: 1, Load: 100 + float64(i%2)})
	}
	candidates = append(candidates, Candidate{ID: "above", Weight: 1, Load: 120})
	taken := map[string]int{}
	for salt := range uint64(400) {
		choice := Choose(candidates, 0, 2, 0.05, salt*0x9e3779b97f4a7c15)
		taken[candidates[choice.Index].ID]++
	}
	c.Assert(taken, qt.HasLen, 8)
	c.Assert(taken["above"], qt.Equals, 0)
}

func TestALostEngineMovesOnlyItsOwnSlots(t *testing.T) {
	c := qt.New(t)
	all := []Candidate{}
	for i := range 18 {
		all = append(all, Candidate{ID: fmt.Sprintf("e%02d", i), Weight: 100})
	}
	rest := append(append([]Candidate{}, all[:7]...), all[8:]...)
	moved, ofLost := 0, 0
	for slot := range uint32(slotCount) {
		before, after := all[Preferred(slot, all)].ID, rest[Preferred(slot, rest)].ID
		if before == "e07" {
			ofLost++
		} else if before != after {
			moved++
		}
	}
	c.Assert(moved, qt.Equals, 0)
	// An even share is 4096/18 = 228; the bound is six deviations wide.
	c.Assert(ofLost > 140 && ofLost < 320, qt.IsTrue, qt.Commentf("the lost engine had %d slots", ofLost))
}

func TestWeightsShareSlots(t *testing.T) {
	c := qt.New(t)
	candidates := []Candidate{{ID: "big", Weight: 300}, {ID: "small", Weight: 100}}
	big := 0
	for slot := range uint32(slotCount) {
		if Preferred(slot, candidates) == 0 {
			big++
		}
	}
	c.Assert(big > 2900 && big < 3240, qt.IsTrue, qt.Commentf("three quarters of 4096 are 3072, got %d", big))
}

func TestPrefixHashTakesOnlyThePrefix(t *testing.T) {
	c := qt.New(t)
	long := make([]uint32, 100)
	other := make([]uint32, 100)
	for i := range long {
		long[i], other[i] = uint32(i), uint32(i)
	}
	other[64] = 7
	c.Assert(PrefixHash(long, 64), qt.Equals, PrefixHash(other, 64))
	other[63] = 7
	c.Assert(PrefixHash(long, 64), qt.Not(qt.Equals), PrefixHash(other, 64))
	c.Assert(PrefixHash(long[:10], 64), qt.Not(qt.Equals), PrefixHash(long, 64))
}

func TestForeignLoadLeavesOursOut(t *testing.T) {
	c := qt.New(t)
	var l ledger
	l.add(1_000_000, 500) // placed at 1 s
	l.add(3_000_000, 300) // placed at 3 s
	// A report as of 2 s says 900: 500 of it were ours then, whatever we placed since.
	c.Assert(l.foreign(2_000_000, 2_000_000, 900, 10_000_000, 0), qt.Equals, 400.0)
	// Half the fade later half of it counts.
	c.Assert(l.foreign(7_000_000, 2_000_000, 900, 10_000_000, 0), qt.Equals, 200.0)
	c.Assert(l.foreign(12_000_000, 2_000_000, 900, 10_000_000, 0), qt.Equals, 0.0)
	c.Assert(l.foreign(2_000_000, 2_000_000, 100, 10_000_000, 0), qt.Equals, 0.0)
	// Where rounds last a second, a report of a second ago counts by 1/e.
	c.Assert(math.Abs(l.foreign(3_000_000, 2_000_000, 900, 10_000_000, 1_000_000)-400/math.E) < 0.001, qt.IsTrue)
}

// The source's load worked out by hand: for each request its prompt and what is left
// of its budget, and once more the prompt of the one that the engine is working on.
func TestLoadWorkedExamples(t *testing.T) {
	c := qt.New(t)
	config, err := fleetconfig.Read([]byte(`{"bindings":[{"name":"all","shares":[{"weight":1}]}]}`))
	c.Assert(err, qt.IsNil)
	dispatcher := NewDispatcher("r", "z", func(kernel.Micros, string, string, string) {})
	routingTable := &RoutingTable{Config: config, Drained: map[string]bool{}, LeaseUntil: kernel.Second, Engines: []Engine{{ID: "e", Address: "10.0.0.1:1", Start: 1}}}
	dispatcher.SetRoutingTable(routingTable)
	arrive := func(id string, prompt, budget int) *Call {
		call, rejection := dispatcher.Admit(0, Request{ID: id, Prefix: []uint32{1}, PromptTokens: prompt, MaxTokens: budget})
		c.Assert(rejection == nil, qt.IsTrue)
		return call
	}
	wants := func(what string, want float64) {
		c.Helper()
		binding, _ := config.Bind("", "")
		eligible, _ := dispatcher.eligibleEngines(0, &Call{}, binding)
		c.Assert(eligible.candidates[0].Load, qt.Equals, want, qt.Commentf("%s", what))
	}
	wants("idle", 0)
	first := arrive("first", 100, 50)
	wants("100 + 50, and 100 in work", 250)
	second := arrive("second", 30, 20)
	wants("200 of two requests, and the first one's 100", 300)
	dispatcher.Produced(0, first, 10)
	wants("10 of 50 are done, and the second's 30 are in work", 220)
	dispatcher.Produced(0, second, 25)
	wants("more tokens than its budget leave 30, never less; none waits for its first", 170)
	dispatcher.Close(0, first, Served, "")
	wants("the second's prompt is left", 30)
	dispatcher.Close(0, second, Served, "")
	wants("idle again", 0)
}
