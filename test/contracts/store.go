package contracts

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

// Store checks the contract of a store on a kind of folder. Opening a store again on the same folder stands
// for a restart after a crash. The function cutAfter makes the power fail after the given number of steps of
// the next save; -1 restores the power.
func Store(t *testing.T, open func(t *testing.T) kernel.Folder, cutAfter func(folder kernel.Folder, steps int)) {
	t.Helper()
	s := storeContract{open, cutAfter}
	t.Run("a new folder makes a member, and keeps it", s.testNewFolder)
	t.Run("the acceptor state is kept, and no other folder has it", s.testAcceptorState)
	t.Run("what was saved is there after a crash", s.testSavedAfterCrash)
	t.Run("the power may fail between any two steps", s.testPowerLoss)
	t.Run("a damaged revision is quarantined and the one before is used", s.testDamagedRevision)
	t.Run("without a readable hard state it is a new member with nothing", s.testDamagedHardState)
	t.Run("past configurations are read by revision and digest", s.testHistoryIsRead)
	t.Run("a past configuration can be added, a future one can't", s.testHistoryIsAdded)
}

// storeContract holds the functions that open and fail one kind of folder.
type storeContract struct {
	open     func(t *testing.T) kernel.Folder
	cutAfter func(folder kernel.Folder, steps int)
}

// freshMember returns the identity of a new member.
func freshMember() string { return "fresh" }

// testNewFolder checks that a new folder gets a member ID and keeps it, and that another fleet cannot open the folder.
func (s storeContract) testNewFolder(t *testing.T) {
	c := qt.New(t)
	folder := s.open(t)
	store, hardState, document, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Member(), qt.Equals, cluster.MemberID("fresh"))
	c.Assert(hardState, qt.Equals, cluster.HardState{})
	c.Assert(document, qt.IsNil)
	again, _, _, err := storage.OpenStore(folder, "fleet", func() string { return "another" })
	c.Assert(err, qt.IsNil)
	c.Assert(again.Member(), qt.Equals, cluster.MemberID("fresh"))
	_, _, _, err = storage.OpenStore(folder, "other fleet", freshMember)
	c.Assert(errors.As(err, new(storage.DamagedFileError)), qt.IsTrue)
}

// testAcceptorState checks that the acceptor state of the bootstrap is stored, and that it is unknown if it was lost.
func (s storeContract) testAcceptorState(t *testing.T) {
	c := qt.New(t)
	folder := s.open(t)
	store, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	// A member that did not take part in the first start has no acceptor state.
	seeds := []string{"b", "a"}
	state, err := store.AcceptorState(false, seeds)
	c.Assert(err, qt.IsNil)
	c.Assert(state, qt.IsNil)
	state, err = store.AcceptorState(true, seeds)
	c.Assert(err, qt.IsNil)
	c.Assert(state, qt.DeepEquals, &cluster.AcceptorState{Acceptor: "fresh", Seeds: []string{"a", "b"}})
	state.Promised = cluster.ProposalNumber{Round: 3, Proposer: "p"}
	state.Accepted, state.Document = state.Promised, Document(1, 1, 0)
	c.Assert(store.Save(commands.Save{AcceptorState: state}), qt.IsNil)
	for _, isFirstStart := range []bool{false, true} {
		again, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
		c.Assert(err, qt.IsNil)
		stored, err := again.AcceptorState(isFirstStart, []string{"another"})
		c.Assert(err, qt.IsNil)
		c.Assert(stored, qt.DeepEquals, state)
	}
	// A state that cannot be read may have contained any promise, so it must not be replaced by an empty one.
	c.Assert(folder.Put("founding.json", []byte("torn")), qt.IsNil)
	damaged, err := store.AcceptorState(true, seeds)
	c.Assert(err, qt.IsNil)
	c.Assert(damaged, qt.IsNil)
}

// testSavedAfterCrash checks that saved state is loaded when the folder is opened again.
func (s storeContract) testSavedAfterCrash(t *testing.T) {
	c := qt.New(t)
	folder := s.open(t)
	store, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	want := Document(7, 3, 5)
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3, VotedFor: "x"}, Document: want}), qt.IsNil)
	_, hardState, document, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	c.Assert(hardState, qt.Equals, cluster.HardState{Term: 3, VotedFor: "x"})
	c.Assert(document, qt.DeepEquals, want)
}

// testPowerLoss makes the power fail after each number of steps of a save. The state must then be the old or the
// new one, and the new one if the save succeeded.
func (s storeContract) testPowerLoss(t *testing.T) {
	for steps := range 8 {
		s.testPowerLossAfter(t, steps)
	}
}

func (s storeContract) testPowerLossAfter(t *testing.T, steps int) {
	t.Helper()
	c := qt.New(t)
	folder := s.open(t)
	store, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	old := Document(7, 3, 5)
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: old}), qt.IsNil)
	s.cutAfter(folder, steps)
	next := Document(7, 4, 6)
	failed := store.Save(commands.Save{HardState: &cluster.HardState{Term: 4}, Document: next})
	s.cutAfter(folder, -1)
	_, hardState, document, err := storage.OpenStore(folder, "fleet", freshMember)
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

// testDamagedRevision checks that a truncated file is quarantined and the revision before it is used.
func (s storeContract) testDamagedRevision(t *testing.T) {
	c := qt.New(t)
	folder := s.open(t)
	store, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(commands.Save{Document: Document(7, 3, 5)}), qt.IsNil)
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: Document(8, 3, 8)}), qt.IsNil)
	names, err := folder.List("generation-")
	c.Assert(err, qt.IsNil)
	content, err := folder.Get(names[1])
	c.Assert(err, qt.IsNil)
	c.Assert(folder.Put(names[1], content[:len(content)/2]), qt.IsNil)
	store, hardState, document, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Quarantined(), qt.DeepEquals, []string{names[1]})
	c.Assert(document.Revision, qt.Equals, uint64(7))
	c.Assert(hardState.Term, qt.Equals, uint64(3))
}

// testDamagedHardState checks that a member without a readable hard state starts as a new one.
func (s storeContract) testDamagedHardState(t *testing.T) {
	c := qt.New(t)
	folder := s.open(t)
	store, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: Document(7, 3, 5)}), qt.IsNil)
	c.Assert(folder.Put("ballot.json", []byte("torn")), qt.IsNil)
	store, hardState, document, err := storage.OpenStore(folder, "fleet", func() string { return "newer" })
	c.Assert(err, qt.IsNil)
	c.Assert(store.Member(), qt.Equals, cluster.MemberID("newer"))
	c.Assert(hardState, qt.Equals, cluster.HardState{})
	c.Assert(document, qt.IsNil)
	c.Assert(store.Quarantined(), qt.HasLen, 3)
}

// testHistoryIsRead checks that past configurations are read by revision and digest, from a bounded number of files.
func (s storeContract) testHistoryIsRead(t *testing.T) {
	c := qt.New(t)
	folder := s.open(t)
	store, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	// Every third revision changes the configuration; the others change something else.
	for revision := uint64(1); revision <= 150; revision++ {
		c.Assert(store.Save(commands.Save{Document: Document(revision, 1, revision-revision%3)}), qt.IsNil)
	}
	names, err := folder.List("generation-")
	c.Assert(err, qt.IsNil)
	c.Assert(len(names) < 100, qt.IsTrue, qt.Commentf("%d files are kept", len(names)))
	for _, revision := range []uint64{150, 147, 120, 90, 60} {
		ref := cluster.ConfigRefOf(Document(revision, 1, revision))
		document, err := store.ConfigAt(ref)
		c.Assert(err, qt.IsNil, qt.Commentf("revision %d", revision))
		c.Assert(document.ConfigRevision, qt.Equals, revision)
		// A reference with the right revision and another digest matches no configuration.
		ref.Digest = "other"
		_, err = store.ConfigAt(ref)
		c.Assert(errors.As(err, new(storage.MissingRevisionError)), qt.IsTrue)
	}
}

// testHistoryIsAdded checks that past configurations can be added, even twice, but future ones cannot.
func (s storeContract) testHistoryIsAdded(t *testing.T) {
	c := qt.New(t)
	folder := s.open(t)
	store, _, _, err := storage.OpenStore(folder, "fleet", freshMember)
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
	again, hardState, newest, err := storage.OpenStore(folder, "fleet", freshMember)
	c.Assert(err, qt.IsNil)
	c.Assert(newest.Revision, qt.Equals, uint64(20))
	c.Assert(hardState.Term, qt.Equals, uint64(3))
	c.Assert(again.ConfigRevisions(), qt.DeepEquals, []uint64{9, 18})
}
