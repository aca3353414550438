package control

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// startupQueryFrom returns the query that an empty node sends when it has just started.
func startupQueryFrom(to *fleetNode, address string) wire.Envelope {
	record := registry.NodeRecord{Address: address, PublicAddress: address, Zone: "z1", IsRouter: true, Start: 5, Seq: 1}
	return wire.Envelope{Fleet: "f", From: address, To: to.identity.Address, Message: wire.Message{
		StartupQuery: &wire.StartupQuery{LacksDirectory: true, Node: record},
	}}
}

// startupAnswers counts the answers of a node to starting nodes.
type startupAnswers struct{ queries, documents, directories, bytes int }

// query makes empty nodes with different addresses query a node at the same time.
func (a *startupAnswers) query(c *qt.C, n *fleetNode, askers int) {
	for range askers {
		a.queries++
		address := fmt.Sprintf("10.1.%d.%d:1", a.queries/200, a.queries%200)
		for _, command := range n.node.Deliver(n.f.now, startupQueryFrom(n, address)) {
			if outgoing, isOutgoing := command.(Outgoing); isOutgoing && outgoing.Envelope.Message.LeaseGrant != nil {
				a.count(c, outgoing.Envelope)
			}
		}
	}
}

func (a *startupAnswers) count(c *qt.C, envelope wire.Envelope) {
	grant := envelope.Message.LeaseGrant
	c.Assert(grant.Document, qt.IsNotNil)
	a.documents++
	if grant.Update != nil {
		a.directories++
	}
	content, err := json.Marshal(envelope)
	c.Assert(err, qt.IsNil)
	a.bytes += len(content)
}

// However many nodes query at once, the answers of a node stay within its budget, and documents are sent before
// directories.
func TestAnswersToStartingNodesAreBounded(t *testing.T) {
	t.Parallel()
	const span = 2 * kernel.Second
	allowed := startupAnswerBurst + startupAnswerRate*int(span/kernel.Second)
	for _, askersInATick := range []int{1, 10, 100} {
		c := qt.New(t)
		f := newLargeFleet(c, 1, 12, 204)
		n := f.nodes[0]
		n.boot()
		answers := startupAnswers{}
		for begun := f.now; f.now-begun < span; f.advance(50 * ms) {
			answers.query(c, n, askersInATick)
		}
		c.Logf("%+v, of %d bytes", answers, allowed)
		c.Check(answers.bytes <= allowed, qt.IsTrue)
		c.Check(answers.directories > 0, qt.IsTrue)
		c.Check(answers.documents >= min(answers.queries, allowed/(16<<10)), qt.IsTrue)
	}
}

// A node's unused budget for answers to starting nodes accumulates only up to a limit. A directory that is larger than
// this limit is sent all the same.
func TestALargeDirectoryIsSentToAStartingNode(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{204, 1600, 3400} {
		c := qt.New(t)
		f := newLargeFleet(c, 1, 12, engines)
		n := f.nodes[0]
		n.boot()
		answers := startupAnswers{}
		for begun := f.now; f.now-begun < 4*kernel.Second; f.advance(500 * ms) {
			answers.query(c, n, 1)
		}
		c.Check(answers.directories > 0, qt.IsTrue, qt.Commentf("%d engines: %+v", engines, answers))
	}
}
