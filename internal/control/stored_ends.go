package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The ends of engines on this node's disk. An engine's drain or removal is confirmed to it only once a majority of the
// voters has it on disk, so that it outlives a stop of all processes. One write carries all ends that are known when it
// begins, so that any number of engines may leave at once. See docs/control-safety/drains.md.

// SaveEnds makes the runner replace the stored ends of engines concurrently with the event loop and with other writes, and
// then report the result by a call of EndsSaved.
type SaveEnds struct{ Ends *storage.EngineEnds }

// IsCommand marks a command.
func (SaveEnds) IsCommand() {}

const (
	// storedEndsCheckInterval is the pause between two searches for ends that reached this node's directory without a push.
	storedEndsCheckInterval = 500 * kernel.Millisecond
	// storedEndsTrimInterval is the least age of the file before a write whose only purpose is to leave out expired ends.
	storedEndsTrimInterval = registry.EngineExpiry / 4
	// restoredEndsSends is how often a node sends the ends that it found on its disk to all coordinators. The pause between
	// two sends starts with restoredEndsPause and doubles.
	restoredEndsSends = 4
	restoredEndsPause = 250 * kernel.Millisecond
	// restoredEndsSpan is how long after the start new coordinators get these ends as well.
	restoredEndsSpan = 10 * kernel.Second
)

// storedEnds is the state of storing and restoring the ends of engines.
type storedEnds struct {
	synced       map[string]uint64 // start numbers of the engines whose ends are on the disk, by id
	writing      map[string]uint64 // those of the write in progress; nil: there is none
	retryAt      kernel.Micros     // the earliest time of the next write after one that failed
	hasFailed    bool              // the last write failed
	isDue        bool              // an end has to be written as soon as possible
	writtenAt    kernel.Micros     // when the last write began
	checkAt      kernel.Micros
	checkedRev   uint64 // revision of the directory's engines at the last search
	waiting      []storedEndWaiter
	restored     []string // engines whose ends were on the disk at the start
	sends        int      // how often the restored ends were sent to the present coordinators
	sendAt       kernel.Micros
	sendUntil    kernel.Micros // when new coordinators are no longer sent the restored ends
	coordinators []string      // to which the restored ends were sent
}

// storedEndWaiter is a node that is told once the ends of a push are on this node's disk.
type storedEndWaiter struct {
	to      string
	token   uint64 // the sender's token
	records []registry.EngineRecord
	until   kernel.Micros // when the sender no longer waits
}

func newStoredEnds() storedEnds { return storedEnds{synced: map[string]uint64{}} }

// restoreEnds merges the ends that an earlier incarnation stored. They are known for certain, unlike the engines in a
// snapshot.
func (n *Node) restoreEnds(from *storage.EngineEnds) {
	if from == nil {
		return
	}
	s := &n.storedEnds
	for _, record := range from.Engines {
		n.directory.MergeRecord(n.now, record.WithTimes(n.now), true)
		s.synced[record.ID] = record.Start
		s.restored = append(s.restored, record.ID)
	}
	s.sendUntil = n.now + restoredEndsSpan
	n.note(decision.Disk, decision.Load, fmt.Sprintf("the ends of %d engines", len(from.Engines)))
}

// isEndStored reports whether an engine's end is on this node's disk.
func (n *Node) isEndStored(record registry.EngineRecord) bool {
	start, isSynced := n.storedEnds.synced[record.ID]
	return isSynced && start >= record.Start
}

// areEndsStored reports whether all ends among the records are on this node's disk.
func (n *Node) areEndsStored(records []registry.EngineRecord) bool {
	return !slices.ContainsFunc(records, func(record registry.EngineRecord) bool { return record.HasAnnouncedEnd() && !n.isEndStored(record) })
}

// confirmStored tells a node once the ends of its push are on this node's disk. A node without a data folder stores
// nothing, so it never tells.
func (n *Node) confirmStored(to string, token uint64, records []registry.EngineRecord) {
	if !n.settings.HasFolder {
		return
	}
	if n.areEndsStored(records) {
		n.sendStored(to, token)
		return
	}
	isWaiting := func(waiter storedEndWaiter) bool { return waiter.to == to && waiter.token == token }
	if !slices.ContainsFunc(n.storedEnds.waiting, isWaiting) {
		n.storedEnds.waiting = append(n.storedEnds.waiting, storedEndWaiter{to, token, records, n.now + pushLifetime})
	}
	n.storeEnds()
}

func (n *Node) sendStored(to string, token uint64) {
	n.send(to, wire.Message{PushResponse: &wire.PushResponse{Token: token, Zone: n.settings.Identity.Zone, IsSingle: true, IsComplete: true}})
}

// storeEnds writes all known ends of engines, now or after the write in progress.
func (n *Node) storeEnds() {
	s := &n.storedEnds
	if !n.settings.HasFolder {
		return
	}
	s.isDue = true
	if s.writing != nil || n.now < s.retryAt {
		return
	}
	s.isDue, s.writing, s.writtenAt = false, map[string]uint64{}, n.now
	ends := &storage.EngineEnds{Format: storage.EndsFormat, Fleet: n.settings.Identity.Fleet}
	for engine := range n.directory.AllEngines() {
		if engine.HasAnnouncedEnd() {
			s.writing[engine.ID] = engine.Start
			ends.Engines = append(ends.Engines, engine.WithoutLoad().WithAges(n.now))
		}
	}
	n.out = append(n.out, SaveEnds{ends})
}

// EndsSaved handles the outcome of the last SaveEnds. After an error the next write waits for DiskRetryInterval.
func (n *Node) EndsSaved(now kernel.Micros, err error) []commands.Command {
	n.now = now
	s := &n.storedEnds
	written := s.writing
	s.writing = nil
	if err != nil {
		if !s.hasFailed {
			n.note(decision.Disk, decision.Unhealthy, "the ends of engines can't be stored: "+err.Error())
		}
		s.hasFailed, s.isDue, s.retryAt = true, true, now+n.settings.Timing.DiskRetryInterval
		return n.finish()
	}
	if s.hasFailed {
		n.note(decision.Disk, decision.Healthy, "the ends of engines are stored again")
	}
	s.hasFailed, s.synced = false, written
	n.tellStored()
	if s.isDue {
		s.isDue = false
		// The write that has ended may have had all of them.
		if n.hasUnstoredEnds() {
			n.storeEnds()
		}
	}
	n.evaluateConfirmations()
	return n.finish()
}

// tellStored answers the nodes that have waited for the ends that are on the disk by now.
func (n *Node) tellStored() {
	s := &n.storedEnds
	s.waiting = slices.DeleteFunc(s.waiting, func(waiter storedEndWaiter) bool {
		isStored := n.areEndsStored(waiter.records)
		if isStored {
			n.sendStored(waiter.to, waiter.token)
		}
		return isStored
	})
}

// tickStoredEnds repeats a write that failed, and writes the ends that reached this node other than by a push. It also
// sends the restored ends to the coordinators.
func (n *Node) tickStoredEnds() {
	s := &n.storedEnds
	if s.isDue {
		n.storeEnds()
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(waiter storedEndWaiter) bool { return n.now >= waiter.until })
	n.sendRestoredEnds()
	if !n.settings.HasFolder || n.now < s.checkAt {
		return
	}
	s.checkAt = n.now + storedEndsCheckInterval
	isChanged := s.checkedRev != n.directory.EngineRev()
	s.checkedRev = n.directory.EngineRev()
	if isChanged && n.hasUnstoredEnds() || n.hasExpiredEnds() {
		n.storeEnds()
	}
}

// hasUnstoredEnds reports whether the directory has ends that are not on the disk.
func (n *Node) hasUnstoredEnds() bool {
	for engine := range n.directory.AllEngines() {
		if engine.HasAnnouncedEnd() && !n.isEndStored(engine) {
			return true
		}
	}
	return false
}

// hasExpiredEnds reports whether the file has ends that have left the directory, and is old enough to be replaced for that.
func (n *Node) hasExpiredEnds() bool {
	s := &n.storedEnds
	if n.now-s.writtenAt < storedEndsTrimInterval {
		return false
	}
	for id := range s.synced {
		if _, isKnown := n.directory.Engine(id); !isKnown {
			return true
		}
	}
	return false
}

// sendRestoredEnds sends the ends that were on this node's disk at its start to all coordinators, several times, since
// after a stop of the entire fleet these may start later. They forward what is new to their zones.
func (n *Node) sendRestoredEnds() {
	s := &n.storedEnds
	if len(s.restored) == 0 || n.now >= s.sendUntil || n.lease.Applied() == nil {
		return
	}
	if coordinators := append(n.otherCoordinators(), n.coordinator()); !slices.Equal(coordinators, s.coordinators) {
		s.coordinators, s.sends, s.sendAt = coordinators, 0, n.now
	}
	if s.sends == restoredEndsSends || n.now < s.sendAt {
		return
	}
	s.sendAt = n.now + restoredEndsPause<<s.sends
	s.sends++
	records := []registry.EngineRecord{}
	for _, id := range s.restored {
		if engine, isKnown := n.directory.Engine(id); isKnown && engine.HasAnnouncedEnd() {
			records = append(records, engine.WithoutLoad().WithAges(n.now))
		}
	}
	n.pushToCoordinators(records)
}
