package control

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// The report of an acknowledgement distinguishes a node that reports and lacks the revision from a node that is down.
func TestAnAcknowledgementTellsALaggingNodeFromASilentOne(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 31, 3, 9, firstHaveFolders(4))
	f.bootAll(300 * ms)
	f.awaitStable(8 * kernel.Second)
	f.acknowledge("whole", 0, configOf(1, "whole"), 4*kernel.Second, f.nodes[5])
	lead := f.leader()
	spread := lead.state().Dissemination
	c.Assert(spread.Applied, qt.Equals, len(f.nodes), qt.Commentf("%v", spread))
	c.Assert(spread.Lagging, qt.HasLen, 0)
	c.Assert(spread.Silent, qt.Equals, 0)
	silent, lagging := f.nodes[7], f.nodes[8]
	silent.kill()
	f.advance(6 * kernel.Second)
	lagging.cutFrom(inward, f.nodes...)
	f.acknowledge("part", 1, configOf(2, "part"), 4*kernel.Second, f.nodes[5])
	c.Assert(f.leader(), qt.Equals, lead)
	spread = lead.state().Dissemination
	c.Check(spread.Applied, qt.Equals, len(f.nodes)-2, qt.Commentf("%v", spread))
	c.Check(spread.Lagging, qt.DeepEquals, []string{lagging.identity.Address})
	c.Check(spread.Silent, qt.Equals, 1)
	c.Check(spread.String(), qt.Contains, "applied by 7 nodes, not by 1 that were heard from recently and 1 that were not; behind: "+lagging.identity.Address)
}

// A journal entry names only the first few of many lagging nodes.
func TestAnAcknowledgementNamesTheFirstLaggingNodes(t *testing.T) {
	c := qt.New(t)
	text := Dissemination{Revision: 3, Lagging: strings.Split("a b c d e f g", " ")}.String()
	c.Check(text, qt.Contains, "behind: a, b, c, d, e and 2 more")
}

// A node that has been silent for more than a second may still consider itself in contact. An acknowledgement waits for
// it until DisseminationTimeout; here the node resumes 300 ms after the change is submitted.
func TestAnAcknowledgementWaitsForANodeThatMayBeInContact(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := steadyCore(c, 50+seed)
		late := f.nodes[8]
		late.freeze(2 * kernel.Second)
		f.advance(1700 * ms)
		f.acknowledge("late", 1, configOf(2, "late"), 4*kernel.Second, f.nodes[5])
		c.Check(late.inForce().ConfigVersion, qt.Equals, uint64(2), qt.Commentf("seed %d: acknowledged before a node in contact has it", seed))
		c.Check(f.leader().state().Dissemination.Lagging, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}
