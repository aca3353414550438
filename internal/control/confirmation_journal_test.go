package control

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// endEntries returns the reasons of the journal entries that the node wrote about engine e with the given decision.
func (n *fleetNode) endEntries(what decision.Decision) []string {
	found := []string{}
	for _, entry := range n.node.settings.Journal.Read("control", "", 0) {
		if entry.Subject == string(decision.Engine("e")) && entry.Decision == string(what) {
			found = append(found, entry.Reason)
		}
	}
	return found
}

// A node that receives the announcement of an engine's drain asks the other nodes to confirm that they know of it. The
// node's journal and counters show whether all zones have confirmed, and which zones or nodes had not answered.
func TestAConfirmationSaysWhoHadAnswered(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 3, 3, 12, firstHaveFolders(3))
	f.advance(3 * kernel.Second)
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	f.advance(kernel.Second)
	f.register(f.nodes[0], 2, drainingEngine(2))
	f.advance(kernel.Second)
	c.Assert(f.nodes[0].state().Confirmations, qt.Equals, ConfirmationCounts{Complete: 1})
	entries := f.nodes[0].endEntries(decision.ConfirmEnd)
	c.Assert(entries, qt.HasLen, 1)
	c.Assert(strings.HasPrefix(entries[0], "3 of 3 zones complete"), qt.IsTrue, qt.Commentf("%s", entries[0]))
	c.Assert(entries[0], qt.Matches, ".*, stored by [23] of 3 voters, after .*")

	// The nodes of zone z3 without a folder, its coordinator among them, receive messages late.
	for _, n := range nodesInZone(f, "z3") {
		if !n.hasFolder {
			n.lag = 3 * kernel.Second
		}
	}
	second := engineAt("e2", "z1", 1)
	second.Address, second.IsDraining = "10.9.0.2:80", true
	f.register(f.nodes[1], 3, second)
	f.advance(kernel.Second)
	counts := f.nodes[1].state().Confirmations
	c.Assert(counts.Complete, qt.Equals, uint64(0))
	c.Assert(counts.Partial+counts.Unconfirmed, qt.Equals, uint64(1))
	entries = nil
	for _, entry := range f.nodes[1].node.settings.Journal.Read("control", "", 0) {
		if entry.Subject == string(decision.Engine("e2")) {
			entries = append(entries, entry.Decision+": "+entry.Reason)
		}
	}
	described := strings.Join(entries, "\n")
	c.Assert(strings.Contains(described, "z3"), qt.IsTrue, qt.Commentf("%s", described))
	t.Log(described)
}

// A node writes a journal entry if it learns of an engine's drain later than the drain timeout allows. Until then it
// may have sent requests to the engine when the engine was already gone.
func TestANodeSaysThatItLearnedOfAnEndLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 3, 3, 12, firstHaveFolders(3))
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.DrainTimeout = 2 * kernel.Second
	}
	f.bootAll(500 * ms)
	f.awaitStable(6 * kernel.Second)
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	late := f.nodes[11]
	late.lag = 3 * kernel.Second
	f.advance(6 * kernel.Second)
	f.register(f.nodes[0], 2, drainingEngine(2))
	f.advance(6 * kernel.Second)
	for _, n := range f.nodes {
		entries := n.endEntries(decision.LearnEndLate)
		if n == late {
			c.Assert(entries, qt.HasLen, 1)
			t.Log(entries[0])
		} else if n.identity.Zone != late.identity.Zone {
			c.Assert(entries, qt.HasLen, 0)
		}
	}
}
