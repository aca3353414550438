package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/fuzzing"
)

const fuzzNow = 100 * kernel.Second

// fuzzDocument returns a document as a leader creates it.
func fuzzDocument() *cluster.Document {
	made := document(4, 9)
	made.Routers = []string{memberA.Address, memberB.Address}
	made.Coordinators["z1"] = memberA.Address
	made.AddSubmission(cluster.Submission{ID: "s", Digest: "d", Revision: 9})
	made.PutConfig([]byte(`{"ver":1}`), nil)
	return made
}

// fuzzNode returns a voter that has a document on its disk.
func fuzzNode(snapshot *storage.Snapshot) *Node {
	settings := NodeSettings{
		Identity: kernel.Identity{Fleet: "f", Address: memberB.Address, Zone: memberB.Zone}, IsRouter: true, IsController: true, HasFolder: true,
		Seeds: []string{memberA.Address}, Start: 7, RandomSeed: 1, Journal: kernel.NewJournal(16),
		FolderState: FolderState{Member: memberB.ID, HardState: cluster.HardState{Term: 4}, Document: fuzzDocument(), Snapshot: snapshot},
	}
	platformSettings(&settings)
	return NewNode(settings, fuzzNow)
}

// fuzzEnvelopes are the seeds of FuzzEnvelope: one envelope for each of several kinds of message.
func fuzzEnvelopes(f *testing.F) []string {
	f.Helper()
	texts := []string{}
	record := registry.EngineRecord{ID: "e", Address: "10.9.0.1:80", Zone: "z1", Start: 3, AnnouncementSeq: 2}
	for _, message := range []wire.Message{
		{Heartbeat: &wire.Heartbeat{Term: 5, Leader: memberA, Target: memberB.ID, Round: 1, Acknowledged: cluster.Position{Term: 4, Revision: 9}, Document: fuzzDocument()}},
		{HeartbeatResponse: &wire.HeartbeatResponse{Term: 4, Member: memberA, Synced: cluster.Position{Term: 4, Revision: 9}, Incarnation: 3}},
		{VoteRequest: &wire.VoteRequest{Term: 6, Candidate: memberC, Voter: memberB.ID, LastPosition: cluster.Position{Term: 4, Revision: 9}}},
		{FetchConfigResponse: &wire.FetchConfigResponse{Document: fuzzDocument()}},
		{FetchConfig: &wire.FetchConfig{Config: cluster.ConfigRef{Revision: 9, Digest: "d"}}},
		{Submit: &cluster.Submit{ID: "s2", Operation: cluster.PutConfig, Config: []byte(`{"ver":2}`)}},
		{LeaseGrant: &wire.LeaseGrant{Revision: 9, Leader: memberA.Address, Document: fuzzDocument(), Update: &registry.DirectoryUpdate{Incarnation: "h", Engines: []registry.EngineRecord{record}}}},
		{LeaseRequestBatch: &wire.LeaseRequestBatch{Zone: "z1", IsCoordinator: true, Requests: []wire.RouterLeaseRequest{{Address: memberA.Address, Zone: "z1", Seq: 1, IsRouter: true}}}},
		{Join: &wire.Join{Member: memberC, HasFolder: true}},
		{BootstrapCommit: &wire.BootstrapCommit{Document: fuzzDocument()}},
		{Shuffle: &gossip.Shuffle{View: []gossip.Neighbour{{Address: memberC.Address}}}},
	} {
		content, err := json.Marshal(wire.Envelope{Fleet: "f", ClusterID: "f", From: memberA.Address, To: memberB.Address, Message: message})
		if err != nil {
			f.Fatal(err)
		}
		texts = append(texts, string(content))
	}
	return texts
}

// Any message of another node is either rejected with one of the expected error types, or handled without a
// panic and without an invalid document in the core.
func FuzzEnvelope(f *testing.F) {
	fuzzing.Seed(f, append(fuzzEnvelopes(f), `{"format":2,"from":"a","to":"b"}`, `{"fleet":"other","from":"a","to":"10.0.0.2:1","message":{"nudge":{}}}`)...)
	f.Fuzz(func(t *testing.T, content []byte) {
		envelope, err := wire.ReadEnvelope(content)
		fuzzing.RequireErrorType(t, err, fuzzing.Is[wire.MessageTooLargeError], fuzzing.Is[cluster.MalformedMessageError], fuzzing.Is[wire.NewerMessageError], fuzzing.Is[cluster.InvalidDocumentError])
		if err != nil {
			return
		}
		n := fuzzNode(nil)
		n.Deliver(fuzzNow, envelope)
		for tick := range kernel.Micros(20) {
			n.Tick(fuzzNow + tick*50*ms)
		}
		if held := n.core.doc; held != nil && held.Check() != nil {
			t.Fatalf("the core holds an invalid document: %v", held.Check())
		}
	})
}

// Reading any content of a snapshot file gives either a typed error or a snapshot that a node can start with.
func FuzzSnapshot(f *testing.F) {
	complete, err := json.Marshal(storage.Snapshot{Format: 1, Fleet: "f", Document: fuzzDocument(), Engines: []registry.EngineRecord{{ID: "e", Address: "10.9.0.1:80", Zone: "z1"}}, Nodes: []string{memberA.Address}})
	if err != nil {
		f.Fatal(err)
	}
	later := strings.Replace(string(complete), `"format":1`, `"format":9`, 1)
	foreign := strings.Replace(string(complete), `"fleet":"f"`, `"fleet":"g"`, 1)
	fuzzing.Seed(f, string(complete), later, foreign)
	f.Fuzz(func(t *testing.T, content []byte) {
		disk := &memoryDisk{files: map[string][]byte{storage.SnapshotName: storage.AddChecksum(content)}, capacity: 1 << 20}
		store, _, _, err := storage.OpenStore(disk, "f", func() string { return "fresh" })
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := store.Snapshot("f")
		fuzzing.RequireErrorType(t, err, fuzzing.Is[storage.DamagedFileError], fuzzing.Is[storage.NewerFormatError], fuzzing.Is[storage.MissingRevisionError])
		if err != nil {
			if _, isThere := disk.files["damaged-"+storage.SnapshotName]; !isThere {
				t.Fatal("the unusable snapshot was not quarantined")
			}
			return
		}
		n := fuzzNode(snapshot)
		n.Tick(fuzzNow)
		if n.lease.Applied() != nil && n.lease.Applied().ClusterID != "f" {
			t.Fatalf("the node serves the document of another cluster: %q", n.lease.Applied().ClusterID)
		}
	})
}

func TestRejectedMessagesGiveTypedErrors(t *testing.T) {
	c := qt.New(t)
	foreign := fuzzDocument()
	foreign.Config = []byte(`{"ver":2}`)
	for _, example := range []struct {
		content string
		is      func(error) bool
	}{
		{`{"fleet":"f","from":"a`, fuzzing.Is[cluster.MalformedMessageError]},
		{`{"fleet":"f","message":{"nudge":{}}}`, fuzzing.Is[cluster.MalformedMessageError]},
		{`{"from":"a","to":"b","message":{"nudge":{},"join":{}}}`, fuzzing.Is[cluster.MalformedMessageError]},
		{`{"from":"a","to":"b","format":2,"message":{"nudge":{}}}`, fuzzing.Is[wire.NewerMessageError]},
		{`{"from":"a","to":"b","message":{"nudge":"` + strings.Repeat("x", cluster.MaxMessageBytes) + `"}}`, fuzzing.Is[wire.MessageTooLargeError]},
		{`{"from":"a","to":"b","message":{"found":{"document":{"founding":"f"}}}}`, fuzzing.Is[cluster.InvalidDocumentError]},
	} {
		_, err := wire.ReadEnvelope([]byte(example.content))
		c.Check(example.is(err), qt.IsTrue, qt.Commentf("%v", err))
	}
	c.Assert(fuzzing.Is[cluster.InvalidDocumentError](foreign.Check()), qt.IsTrue)
	c.Assert(fuzzDocument().Check(), qt.IsNil)
	c.Assert(fuzzDocument().WithoutConfig().Check(), qt.IsNil)
	n := fuzzNode(nil)
	for _, example := range []struct {
		envelope wire.Envelope
		is       func(error) bool
	}{
		{wire.Envelope{Fleet: "g", To: memberB.Address}, fuzzing.Is[wire.ForeignFleetError]},
		{wire.Envelope{Fleet: "f", ClusterID: "other", To: memberB.Address}, fuzzing.Is[wire.ForeignClusterError]},
		{wire.Envelope{Fleet: "f", ClusterID: "f", To: memberC.Address}, fuzzing.Is[wire.MisdirectedError]},
	} {
		c.Check(example.is(n.rejection(example.envelope)), qt.IsTrue, qt.Commentf("%v", fmt.Sprint(n.rejection(example.envelope))))
	}
	c.Assert(n.rejection(wire.Envelope{Fleet: "f", ClusterID: "f", To: memberB.Address}), qt.IsNil)
}
