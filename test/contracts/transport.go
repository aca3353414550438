package contracts

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
)

// Link is a transport between two nodes. Send sends an envelope from the first node, and Arrived returns the
// envelopes that the second one received, in any order.
type Link struct {
	// From and To are the addresses of the nodes.
	From, To string
	Send     func(wire.Envelope)
	// Arrived waits until the given number of envelopes has arrived, or for as long as the transport may take.
	Arrived func(count int) []wire.Envelope
	// UnreachableAddress is an address without a listener.
	UnreachableAddress string
}

// Transport checks the contract of a transport. Envelopes, even large ones, arrive unchanged, and an unreachable
// receiver does not delay envelopes to others. Each subtest opens its own link.
func Transport(t *testing.T, open func(t *testing.T) Link) {
	t.Helper()
	t.Run("every kind of message arrives as it was sent", func(t *testing.T) {
		c := qt.New(t)
		link := open(t)
		base := uint64(4)
		sent := map[string]wire.Message{}
		for _, message := range []wire.Message{
			{VoteRequest: &wire.VoteRequest{Term: 3, IsPreVote: true, Candidate: cluster.Member{ID: "a", Address: "b", Zone: "c"}, Voter: "v", LastPosition: cluster.Position{Term: 1, Revision: 2}}},
			{Heartbeat: &wire.Heartbeat{Term: 3, Target: "t", Round: 9, Committed: cluster.Position{Term: 3, Revision: 8}, Document: Document(9, 3, 5)}},
			{Submit: &cluster.Submit{ID: "s", Operation: cluster.PutConfig, Config: []byte("{\x00\xff}"), Base: &base}},
			{LeaseRequest: &wire.LeaseRequest{RouterLeaseRequest: wire.RouterLeaseRequest{Address: "r", Seq: 7, Applied: 6, IsRouter: true}, Node: registry.NodeRecord{Address: "r", Age: 12}, Digests: []uint64{1<<64 - 1}}},
			{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: "h", Watermark: 3, Engines: []registry.EngineRecord{{ID: "e", Start: 1<<63 + 1, IsDraining: true, Age: 5, Uptime: 6}}}},
			{Shuffle: &gossip.Shuffle{View: []gossip.Neighbour{{Address: "n", Zone: "z", Age: 2}}, IsReply: true}},
		} {
			envelope := wire.Envelope{Fleet: "fleet", ClusterID: "f", From: link.From, To: link.To, Message: message}
			sent[encode(c, message)] = message
			link.Send(envelope)
		}
		got := link.Arrived(len(sent))
		c.Assert(got, qt.HasLen, len(sent))
		for _, envelope := range got {
			message, isSent := sent[encode(c, envelope.Message)]
			c.Assert(isSent, qt.IsTrue)
			c.Assert(envelope.Message, qt.DeepEquals, message)
			c.Assert(envelope.From, qt.Equals, link.From)
			c.Assert(envelope.ClusterID, qt.Equals, "f")
		}
	})
	t.Run("a document of megabytes arrives", func(t *testing.T) {
		c := qt.New(t)
		link := open(t)
		document := Document(9, 3, 5)
		document.Config = make([]byte, 4<<20)
		for i := range document.Config {
			document.Config[i] = byte(i * i)
		}
		link.Send(wire.Envelope{Fleet: "fleet", From: link.From, To: link.To, Message: wire.Message{LeaseGrant: &wire.LeaseGrant{Document: document}}})
		got := link.Arrived(1)
		c.Assert(got, qt.HasLen, 1)
		c.Assert(string(got[0].Message.LeaseGrant.Document.Config) == string(document.Config), qt.IsTrue)
	})
	t.Run("no envelope waits for a receiver that is not there", func(t *testing.T) {
		c := qt.New(t)
		link := open(t)
		for i := range 2000 {
			link.Send(wire.Envelope{Fleet: "fleet", From: link.From, To: link.UnreachableAddress, Message: wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: uint64(i)}}})
		}
		link.Send(wire.Envelope{Fleet: "fleet", From: link.From, To: link.To, Message: wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: 77}}})
		got := link.Arrived(1)
		c.Assert(got, qt.HasLen, 1)
		c.Assert(got[0].Message.RevisionNotice.Revision, qt.Equals, uint64(77))
	})
}

// encode returns a message as JSON, which serves as a map key.
func encode(c *qt.C, message wire.Message) string {
	content, err := json.Marshal(message)
	c.Assert(err, qt.IsNil)
	return string(content)
}
