// Package contracts holds what every folder, store and transport has to keep to,
// whether it is real or simulated. Tests of each kind run these.
package contracts

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Folder is the contract of a data folder.
func Folder(t *testing.T, open func(t *testing.T) kernel.Folder) {
	c := qt.New(t)
	folder := open(t)
	_, err := folder.Get("none")
	var missing kernel.MissingFileError
	c.Assert(errors.As(err, &missing), qt.IsTrue)
	c.Assert(missing.Name, qt.Equals, "none")
	for i, content := range []string{"", "one", "two\x00\n"} {
		c.Assert(folder.Put(fmt.Sprintf("file-%d", i), []byte(content)), qt.IsNil)
		got, err := folder.Get(fmt.Sprintf("file-%d", i))
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, content)
	}
	c.Assert(folder.Put("file-1", []byte("again")), qt.IsNil)
	got, err := folder.Get("file-1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "again")
	// What is handed out is a copy.
	got[0] = 'X'
	got, err = folder.Get("file-1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "again")
	c.Assert(folder.Put("other", []byte("x")), qt.IsNil)
	names, err := folder.List("file-")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"file-0", "file-1", "file-2"})
	c.Assert(folder.Rename("file-2", "moved"), qt.IsNil)
	c.Assert(folder.Remove("file-0"), qt.IsNil)
	c.Assert(folder.Remove("file-0"), qt.IsNil)
	names, err = folder.List("")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"file-1", "moved", "other"})
}

// Document makes a document for tests.
func Document(revision, term, configRevision uint64) *cluster.Document {
	return &cluster.Document{
		ClusterID: "f", Revision: revision, Term: term, ConfigRevision: configRevision,
		Config: fmt.Appendf(nil, `{"bindings":[{"name":"b%d","shares":[{"weight":1}]}]}`, configRevision),
		Voters: []cluster.Member{{ID: "m", Address: "10.0.0.1:1", Zone: "z"}}, Coordinators: map[string]string{"z": "10.0.0.1:1"},
		DrainedZones: map[string]uint64{"z2": 2},
	}
}

// Store is the contract of the store over a folder. The folder outlives a crash;
// cutAfter lets the power go after so many steps of the next save.
func Store(t *testing.T, open func(t *testing.T) kernel.Folder, cutAfter func(folder kernel.Folder, steps int)) {
	fresh := func() string { return "fresh" }
	t.Run("a new folder makes a member, and keeps it", func(t *testing.T) {
		c := qt.New(t)
		folder := open(t)
		store, hardState, document, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Member(), qt.Equals, cluster.MemberID("fresh"))
		c.Assert(hardState, qt.Equals, cluster.HardState{})
		c.Assert(document, qt.IsNil)
		again, _, _, err := storage.OpenStore(folder, "fleet", func() string { return "another" })
		c.Assert(err, qt.IsNil)
		c.Assert(again.Member(), qt.Equals, cluster.MemberID("fresh"))
		_, _, _, err = storage.OpenStore(folder, "other fleet", fresh)
		c.Assert(errors.As(err, new(storage.DamagedFileError)), qt.IsTrue)
	})
	t.Run("a vote on the founding is kept, and no other folder has it", func(t *testing.T) {
		c := qt.New(t)
		folder := open(t)
		store, _, _, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		// Of a member that was not there at the first start nothing is known.
		seeds := []string{"b", "a"}
		vote, err := store.AcceptorState(false, seeds)
		c.Assert(err, qt.IsNil)
		c.Assert(vote, qt.IsNil)
		vote, err = store.AcceptorState(true, seeds)
		c.Assert(err, qt.IsNil)
		c.Assert(vote, qt.DeepEquals, &cluster.AcceptorState{Acceptor: "fresh", Seeds: []string{"a", "b"}})
		vote.Promised = cluster.ProposalNumber{Round: 3, Proposer: "p"}
		vote.Accepted, vote.Document = vote.Promised, Document(1, 1, 0)
		c.Assert(store.Save(commands.Save{AcceptorState: vote}), qt.IsNil)
		for _, isFirstStart := range []bool{false, true} {
			again, _, _, err := storage.OpenStore(folder, "fleet", fresh)
			c.Assert(err, qt.IsNil)
			stored, err := again.AcceptorState(isFirstStart, []string{"another"})
			c.Assert(err, qt.IsNil)
			c.Assert(stored, qt.DeepEquals, vote)
		}
		// What can't be read may have promised anything.
		c.Assert(folder.Put("founding.json", []byte("torn")), qt.IsNil)
		damaged, err := store.AcceptorState(true, seeds)
		c.Assert(err, qt.IsNil)
		c.Assert(damaged, qt.IsNil)
	})
	t.Run("what was saved is there after a crash", func(t *testing.T) {
		c := qt.New(t)
		folder := open(t)
		store, _, _, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		wanted := Document(7, 3, 5)
		c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3, VotedFor: "x"}, Document: wanted}), qt.IsNil)
		_, hardState, document, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(hardState, qt.Equals, cluster.HardState{Term: 3, VotedFor: "x"})
		c.Assert(document, qt.DeepEquals, wanted)
	})
	t.Run("the power may go between any two steps", func(t *testing.T) {
		c := qt.New(t)
		for steps := range 8 {
			folder := open(t)
			store, _, _, err := storage.OpenStore(folder, "fleet", fresh)
			c.Assert(err, qt.IsNil)
			old := Document(7, 3, 5)
			c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: old}), qt.IsNil)
			cutAfter(folder, steps)
			next := Document(7, 4, 6)
			failed := store.Save(commands.Save{HardState: &cluster.HardState{Term: 4}, Document: next})
			cutAfter(folder, -1)
			_, hardState, document, err := storage.OpenStore(folder, "fleet", fresh)
			c.Assert(err, qt.IsNil)
			comment := qt.Commentf("%d steps, save: %v", steps, failed)
			isNew := document.Term == 4
			c.Assert(isNew || document.Term == 3, qt.IsTrue, comment)
			if isNew {
				c.Assert(document, qt.DeepEquals, next, comment)
				c.Assert(hardState.Term, qt.Equals, uint64(4), comment)
			} else {
				c.Assert(document, qt.DeepEquals, old, comment)
			}
			if failed == nil {
				c.Assert(isNew, qt.IsTrue, comment)
			}
		}
	})
	t.Run("a damaged revision is set aside and the one before is taken", func(t *testing.T) {
		c := qt.New(t)
		folder := open(t)
		store, _, _, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Save(commands.Save{Document: Document(7, 3, 5)}), qt.IsNil)
		c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: Document(8, 3, 8)}), qt.IsNil)
		names, err := folder.List("generation-")
		c.Assert(err, qt.IsNil)
		torn, err := folder.Get(names[1])
		c.Assert(err, qt.IsNil)
		c.Assert(folder.Put(names[1], torn[:len(torn)/2]), qt.IsNil)
		store, hardState, document, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Quarantined(), qt.DeepEquals, []string{names[1]})
		c.Assert(document.Revision, qt.Equals, uint64(7))
		c.Assert(hardState.Term, qt.Equals, uint64(3))
	})
	t.Run("without a sound ballot it is a new member with nothing", func(t *testing.T) {
		c := qt.New(t)
		folder := open(t)
		store, _, _, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: Document(7, 3, 5)}), qt.IsNil)
		c.Assert(folder.Put("ballot.json", []byte("torn")), qt.IsNil)
		store, hardState, document, err := storage.OpenStore(folder, "fleet", func() string { return "newer" })
		c.Assert(err, qt.IsNil)
		c.Assert(store.Member(), qt.Equals, cluster.MemberID("newer"))
		c.Assert(hardState, qt.Equals, cluster.HardState{})
		c.Assert(document, qt.IsNil)
		c.Assert(store.Quarantined(), qt.HasLen, 3)
	})
	t.Run("configurations of the past are read by what they held", func(t *testing.T) {
		c := qt.New(t)
		folder := open(t)
		store, _, _, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		// Every third revision brings a configuration; the others change something else.
		for revision := uint64(1); revision <= 150; revision++ {
			c.Assert(store.Save(commands.Save{Document: Document(revision, 1, revision-revision%3)}), qt.IsNil)
		}
		names, err := folder.List("generation-")
		c.Assert(err, qt.IsNil)
		c.Assert(len(names) < 100, qt.IsTrue, qt.Commentf("%d files are kept", len(names)))
		for _, revision := range []uint64{150, 147, 120, 90, 60} {
			mark := cluster.ConfigRefOf(Document(revision, 1, revision))
			document, err := store.ConfigAt(mark)
			c.Assert(err, qt.IsNil, qt.Commentf("revision %d", revision))
			c.Assert(document.ConfigRevision, qt.Equals, revision)
			// A copy of the right revision with other content is no copy.
			mark.Digest = "other"
			_, err = store.ConfigAt(mark)
			c.Assert(errors.As(err, new(storage.MissingRevisionError)), qt.IsTrue)
		}
	})
	t.Run("a configuration of the past can be added, the future can't", func(t *testing.T) {
		c := qt.New(t)
		folder := open(t)
		store, _, _, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: Document(20, 3, 18)}), qt.IsNil)
		future := store.SaveHistory([]*cluster.Document{Document(21, 3, 21)})
		c.Assert(future.Err, qt.IsNotNil)
		c.Assert(future.Saved, qt.HasLen, 0)
		history := []*cluster.Document{Document(9, 2, 9)}
		for range 2 {
			outcome := store.SaveHistory(history)
			c.Assert(outcome.Err, qt.IsNil)
			c.Assert(outcome.Saved, qt.DeepEquals, []uint64{9})
		}
		again, hardState, newest, err := storage.OpenStore(folder, "fleet", fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(newest.Revision, qt.Equals, uint64(20))
		c.Assert(hardState.Term, qt.Equals, uint64(3))
		c.Assert(again.ConfigRevisions(), qt.DeepEquals, []uint64{9, 18})
	})
}

// Link is a transport between two nodes: send goes out from the first, and
// arrived hands over what comes to the second, in any order.
type Link struct {
	From, To string
	Send     func(wire.Envelope)
	// Arrived waits for so many envelopes, as long as the transport may take.
	Arrived func(count int) []wire.Envelope
	// Nowhere is an address where nobody listens.
	Nowhere string
}

// Transport is the contract of whatever carries envelopes.
func Transport(t *testing.T, open func(t *testing.T) Link) {
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
			sent[text(c, message)] = message
			link.Send(envelope)
		}
		got := link.Arrived(len(sent))
		c.Assert(got, qt.HasLen, len(sent))
		for _, envelope := range got {
			message, isSent := sent[text(c, envelope.Message)]
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
	t.Run("nobody waits for a receiver that is not there", func(t *testing.T) {
		c := qt.New(t)
		link := open(t)
		for i := range 2000 {
			link.Send(wire.Envelope{Fleet: "fleet", From: link.From, To: link.Nowhere, Message: wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: uint64(i)}}})
		}
		link.Send(wire.Envelope{Fleet: "fleet", From: link.From, To: link.To, Message: wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: 77}}})
		got := link.Arrived(1)
		c.Assert(got, qt.HasLen, 1)
		c.Assert(got[0].Message.RevisionNotice.Revision, qt.Equals, uint64(77))
	})
}

func text(c *qt.C, message wire.Message) string {
	content, err := json.Marshal(message)
	c.Assert(err, qt.IsNil)
	return string(content)
}
