package registry

import (
	"fmt"
	"iter"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// EngineRecord is the fleet's record of one engine. Records can be merged in any order with the same result: the record
// of a later process replaces that of an earlier one, the draining mark of a process is never removed, and sequence
// numbers only grow.
type EngineRecord struct {
	ID              string `json:"id"`
	Address         string `json:"address,omitempty"`
	Zone            string `json:"zone,omitempty"`
	Pool            string `json:"pool,omitempty"`
	Start           uint64 `json:"start"` // identity of the engine process; later processes have larger ones
	IsDraining      bool   `json:"leaving,omitempty"`
	ListRevision    uint64 `json:"list_revision,omitempty"` // of the platform's list that was used; zero: never listed
	IsUnlisted      bool   `json:"unlisted,omitempty"`      // no longer in the list, or announced that it has ended
	IsUnresponsive  bool   `json:"dark,omitempty"`          // the zone's coordinator can't reach it
	UnresponsiveSeq uint64 `json:"dark_seq,omitempty"`      // orders the changes of IsUnresponsive; zero: never changed
	Seq             uint64 `json:"seq,omitempty"`           // sequence number of the last load report; zero: none yet
	Load            int64  `json:"burden,omitempty"`
	Streams         int64  `json:"streams,omitempty"`
	Slots           int    `json:"slots,omitempty"`   // requests processed concurrently; zero: not stated
	Release         string `json:"release,omitempty"` // version of the engine's software
	// AnnouncementSeq is the sequence number of the last announcement of a self-registering engine; zero: the
	// engine does not register itself. Each process of a self-registering engine has a new id, so its
	// announcement that it has ended is final.
	AnnouncementSeq uint64 `json:"word,omitempty"`
	// IsRestored: the record was read from a node's disk after a restart. It is cleared when the record is merged with
	// one of the same process that was not read from a disk.
	IsRestored bool `json:"restored,omitempty"`
	// Times are sent as ages, since the clocks of machines differ.
	Age             kernel.Micros `json:"age_us,omitempty"`  // since the load report was made
	Uptime          kernel.Micros `json:"up_us,omitempty"`   // since the start
	Idle            kernel.Micros `json:"idle_us,omitempty"` // since the engine was last heard from
	ReachabilityAge kernel.Micros `json:"back_us,omitempty"` // since IsUnresponsive last changed
	// In memory times are points on this node's clock.
	ReportedAt            kernel.Micros `json:"-"`
	StartedAt             kernel.Micros `json:"-"`
	SeenAt                kernel.Micros `json:"-"`
	ReachabilityChangedAt kernel.Micros `json:"-"`
}

// IsUnconfirmed reports whether the engine became reachable again and has not sent a load report since. It may
// be another process at the same address, so it has to be treated as newly started.
func (e EngineRecord) IsUnconfirmed() bool {
	return e.AnnouncementSeq == 0 && e.UnresponsiveSeq > 0 && !e.IsUnresponsive && (e.Seq == 0 || e.ReportedAt <= e.ReachabilityChangedAt)
}

// HasHeartbeat reports whether the engine registers itself and is neither unlisted nor unresponsive.
func (e EngineRecord) HasHeartbeat() bool {
	return e.AnnouncementSeq > 0 && !e.IsUnlisted && !e.IsUnresponsive
}

// HasAnnouncedEnd reports whether the engine registers itself and has announced that it drains or has ended.
func (e EngineRecord) HasAnnouncedEnd() bool {
	return e.AnnouncementSeq > 0 && (e.IsDraining || e.IsUnlisted)
}

// WithoutLoad returns the record without the engine's load report.
func (e EngineRecord) WithoutLoad() EngineRecord {
	e.Seq, e.Load, e.Streams, e.Age, e.ReportedAt = 0, 0, 0, 0, 0
	return e
}

// NodeRecord is what a node reports about itself, as it is sent between nodes and kept in the directory. Start is the
// start number of the node's process, Seq orders the records of one process, and Applied is the newest revision that
// the node has applied. A record without a zone only refreshes an earlier record of the same process.
type NodeRecord struct {
	Address       string        `json:"address"`
	PublicAddress string        `json:"public,omitempty"`
	Zone          string        `json:"zone,omitempty"`
	IsRouter      bool          `json:"router,omitempty"`
	IsController  bool          `json:"controller,omitempty"`
	IsLeaving     bool          `json:"leaving,omitempty"`
	Start         uint64        `json:"start"`
	Seq           uint64        `json:"seq"`
	Applied       uint64        `json:"applied,omitempty"`
	Age           kernel.Micros `json:"age_us"`
	UpdatedAt     kernel.Micros `json:"-"`
}

// Report is an engine's load report, which arrives with a delay. docs/interfaces.md defines the format.
type Report struct {
	ID          string        `json:"id"`
	Address     string        `json:"address"`
	Zone        string        `json:"zone"`
	Pool        string        `json:"pool,omitempty"`
	Start       uint64        `json:"start"`
	Seq         uint64        `json:"seq"`
	Outstanding int64         `json:"outstanding_tokens"`
	Streams     int64         `json:"streams"`
	Age         kernel.Micros `json:"age_us"`
	Uptime      kernel.Micros `json:"up_us"`
	IsDraining  bool          `json:"leaving,omitempty"`
}

// Listing is the platform's list of engines at one revision.
type Listing struct {
	Revision uint64          `json:"revision"`
	Engines  []ListingEngine `json:"engines"`
}

// ListingEngine is an entry of the platform's list.
type ListingEngine struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Pool    string        `json:"pool,omitempty"`
	Start   uint64        `json:"start"`
	Uptime  kernel.Micros `json:"up_us"`
	State   string        `json:"state"` // "serving" or "leaving"
}

// EngineExpiry is how long the record of an engine is kept without being refreshed. Older records are dropped,
// and are not accepted from other nodes.
const EngineExpiry = 120 * kernel.Second

// Directory has the engines and nodes that this node knows of.
type Directory struct {
	incarnation string
	timing      cluster.Timing
	engines     *table[EngineRecord]
	nodes       *table[NodeRecord]
	digests     [rangeCount]uint64 // of the engines, updated with each change
	rev         uint64             // increases with each change
	engineRev   uint64             // revision of the last change that the data plane has to see
	note        func(subject decision.Subject, what decision.Decision, why string)
}

// NewDirectory returns an empty directory. The revisions of each directory start at zero, so the incarnation has to
// differ from that of every earlier directory of this node. The function note records a decision in the journal.
func NewDirectory(incarnation string, timing cluster.Timing, note func(subject decision.Subject, what decision.Decision, why string)) *Directory {
	return &Directory{
		incarnation: incarnation, timing: timing, note: note,
		engines: newTable[EngineRecord](), nodes: newTable[NodeRecord](),
	}
}

// mergeEngine merges two records of one engine.
func mergeEngine(old, received EngineRecord) EngineRecord {
	if received.Start < old.Start {
		old, received = received, old
	}
	merged := old
	if received.Start > old.Start {
		// This is another process with the same id. Only the listing is taken over from the old record.
		merged = received
		if old.ListRevision > received.ListRevision {
			merged.ListRevision, merged.IsUnlisted = old.ListRevision, old.IsUnlisted
		}
		return merged
	}
	merged.IsDraining = old.IsDraining || received.IsDraining
	merged.IsRestored = old.IsRestored && received.IsRestored
	merged.mergeLocation(old, received)
	if received.UnresponsiveSeq > old.UnresponsiveSeq {
		merged.IsUnresponsive, merged.UnresponsiveSeq, merged.ReachabilityChangedAt = received.IsUnresponsive, received.UnresponsiveSeq, received.ReachabilityChangedAt
	}
	if received.Seq > old.Seq {
		merged.Seq, merged.Load, merged.Streams, merged.ReportedAt = received.Seq, received.Load, received.Streams, received.ReportedAt
	}
	merged.SeenAt = max(old.SeenAt, received.SeenAt)
	merged.StartedAt = min(old.StartedAt, received.StartedAt)
	return merged
}

// mergeLocation sets the location and the listing of an engine from two records of the same process. It uses the
// engine's own announcements if either record has one, otherwise the later list, otherwise the load reports.
func (e *EngineRecord) mergeLocation(old, received EngineRecord) {
	switch {
	case old.AnnouncementSeq > 0 || received.AnnouncementSeq > 0:
		newest := newestAnnouncement(old, received)
		e.AnnouncementSeq, e.Address, e.Zone, e.Pool = newest.AnnouncementSeq, newest.Address, newest.Zone, newest.Pool
		e.Slots, e.Release = newest.Slots, newest.Release
		e.IsUnlisted = old.IsUnlisted || received.IsUnlisted
	case received.ListRevision > old.ListRevision:
		e.ListRevision, e.IsUnlisted = received.ListRevision, received.IsUnlisted
		e.Address, e.Zone, e.Pool = received.Address, received.Zone, received.Pool
	case old.ListRevision == 0 && received.Address != "" && (old.Address == "" || old.Address < received.Address):
		// Reports alone don't tell which address is newer. A fixed choice makes all copies agree.
		e.Address, e.Zone, e.Pool = received.Address, received.Zone, received.Pool
	}
}

// newestAnnouncement returns the record with the later announcement. The announcement that the engine has ended
// has no location, so the location is filled in from the first record that has one.
func newestAnnouncement(old, received EngineRecord) EngineRecord {
	newest := old
	if received.AnnouncementSeq > old.AnnouncementSeq {
		newest = received
	}
	for _, known := range []EngineRecord{old, received} {
		if newest.Address == "" {
			newest.Address, newest.Zone, newest.Pool, newest.Slots, newest.Release = known.Address, known.Zone, known.Pool, known.Slots, known.Release
		}
	}
	return newest
}

// routingState is the part of a record, other than load, on which routing depends.
type routingState struct {
	address, zone, pool                                string
	start                                              uint64
	isDraining, isUnlisted, isUnresponsive, isRestored bool
	isAnnounced                                        bool
	slots                                              int    // only of a self-registering engine
	release                                            string // only of a self-registering engine
}

func (e EngineRecord) routingState() routingState {
	state := routingState{
		address: e.Address, zone: e.Zone, pool: e.Pool, start: e.Start,
		isDraining: e.IsDraining, isUnlisted: e.IsUnlisted, isUnresponsive: e.IsUnresponsive, isRestored: e.IsRestored,
	}
	if e.AnnouncementSeq > 0 {
		state.isAnnounced, state.slots, state.release = true, e.Slots, e.Release
	}
	return state
}

// RoutingState returns the part of a record on which routing depends as text for digests. Nodes compare the
// digests, so the text has to be the same in every build.
func (e EngineRecord) RoutingState() string {
	state := fmt.Sprint(e.Address, "|", e.Zone, "|", e.Pool, "|", e.Start, e.IsDraining, e.IsUnlisted, e.IsUnresponsive, e.IsRestored)
	if e.AnnouncementSeq > 0 {
		state += fmt.Sprint("|", e.Slots, "|", e.Release)
	}
	return state
}

// MergeEngine merges a record and reports whether the engine is newly marked as draining. The argument isOwn
// states that the record was learned in this node's zone.
func (d *Directory) MergeEngine(now kernel.Micros, received EngineRecord, isOwn bool) bool {
	isNewlyDraining, _ := d.MergeRecord(now, received, isOwn)
	return isNewlyDraining
}

// MergeRecord is like MergeEngine. It also reports whether the change affects routing.
func (d *Directory) MergeRecord(now kernel.Micros, received EngineRecord, isOwn bool) (isNewlyDraining, isChanged bool) {
	// Heartbeats of an engine reach only the coordinator of its zone, so at other nodes its record may be old.
	if received.ID == "" || now-received.SeenAt > EngineExpiry && !received.HasHeartbeat() {
		return false, false
	}
	old, exists := d.engines.get(received.ID)
	// A record without an address only updates the load of a known process. The exception is the announcement of a
	// self-registering engine that it has ended: it is stored, so that a late announcement can't revive the engine.
	if isEnd := received.AnnouncementSeq > 0 && received.IsUnlisted; !isEnd && received.Address == "" && (!exists || old.Start != received.Start) {
		return false, false
	}
	merged, isChanged := received, true
	if exists {
		merged = mergeEngine(old, received)
		isChanged = merged.routingState() != old.routingState()
		isSame := !isChanged && merged.Seq == old.Seq && merged.UnresponsiveSeq == old.UnresponsiveSeq && merged.ListRevision == old.ListRevision
		if isSame {
			// Only the times of the record changed, which is not worth an update to other nodes.
			d.engines.refresh(merged.ID, merged)
			return false, false
		}
	}
	d.rev++
	d.engineRev = d.rev
	oldVersion := d.engines.version(merged.ID)
	newVersion := recordVersion{d.rev, oldVersion.stableRev, isOwn || oldVersion.isLocal && exists && old.Start == merged.Start}
	if isChanged || merged.ListRevision != old.ListRevision {
		newVersion.stableRev = d.rev
	}
	switch {
	case !exists:
		d.updateDigest(merged.ID, nil, &merged)
	case isChanged:
		d.updateDigest(merged.ID, &old, &merged)
	}
	d.engines.set(merged.ID, merged, newVersion)
	isNewlyDraining = merged.IsDraining && (!exists || !old.IsDraining || old.Start != merged.Start)
	switch {
	case isNewlyDraining:
		d.note(decision.Engine(merged.ID), decision.Draining, fmt.Sprintf("marked at start %d", merged.Start))
	case !exists:
		d.note(decision.Engine(merged.ID), decision.Known, fmt.Sprintf("at %s in zone %s", merged.Address, merged.Zone))
	case merged.Start != old.Start:
		d.note(decision.Engine(merged.ID), decision.Restarted, fmt.Sprintf("start %d after %d", merged.Start, old.Start))
	case merged.IsUnlisted != old.IsUnlisted:
		d.note(decision.Engine(merged.ID), decision.Listing, fmt.Sprintf("unlisted: %v, at revision %d", merged.IsUnlisted, merged.ListRevision))
	case merged.IsUnresponsive != old.IsUnresponsive:
		d.note(decision.Engine(merged.ID), decision.Responsiveness, fmt.Sprintf("unresponsive: %v, according to its zone's coordinator", merged.IsUnresponsive))
	}
	return isNewlyDraining, isChanged
}

// TouchEngines raises the engine revision, so that the data plane reads the engines again.
func (d *Directory) TouchEngines() {
	d.rev++
	d.engineRev = d.rev
}

// MergeListing merges the platform's list and marks engines that are no longer in it as unlisted. It reports
// whether an engine is newly marked as draining.
func (d *Directory) MergeListing(now kernel.Micros, listing Listing) bool {
	isNewlyDraining := false
	listed := map[string]bool{}
	for _, engine := range listing.Engines {
		listed[engine.ID] = true
		record := EngineRecord{
			ID: engine.ID, Address: engine.Address, Zone: engine.Zone, Pool: engine.Pool, Start: engine.Start,
			IsDraining: engine.State == "leaving", ListRevision: listing.Revision, SeenAt: now, StartedAt: now - engine.Uptime,
		}
		// The list is delayed and may still have an engine process that has been replaced.
		if old, exists := d.engines.get(engine.ID); exists && old.Start > record.Start {
			continue
		}
		isNewlyDraining = d.MergeEngine(now, record, true) || isNewlyDraining
	}
	for old := range d.engines.all() {
		if !listed[old.ID] && old.ListRevision > 0 && old.ListRevision < listing.Revision && !old.IsUnlisted {
			unlisted := old
			unlisted.ListRevision, unlisted.IsUnlisted = listing.Revision, true
			d.MergeEngine(now, unlisted, true)
		}
	}
	return isNewlyDraining
}

// MergeNode merges a node's record. It returns true if the record is a refresh and the record to be refreshed is
// missing, for example because it expired during a network partition. The full record is needed then.
func (d *Directory) MergeNode(now kernel.Micros, received NodeRecord, isOwn bool) (isIncomplete bool) {
	if received.Address == "" || now-received.UpdatedAt > d.timing.NodeExpiryTimeout {
		return false
	}
	old, exists := d.nodes.get(received.Address)
	if exists && !received.supersedes(old, d.timing.NodeTimeout()) {
		return false
	}
	if received.isRefresh() {
		// The record only refreshes a known one.
		if !exists || received.Start != old.Start {
			return true
		}
		old.Seq, old.Applied, old.UpdatedAt = received.Seq, received.Applied, received.UpdatedAt
		received = old
	}
	d.rev++
	stableRev := d.rev
	if exists && old.stableState() == received.stableState() {
		stableRev = d.nodes.version(received.Address).stableRev
	}
	d.nodes.set(received.Address, received, recordVersion{d.rev, stableRev, isOwn})
	if !exists {
		d.note(decision.Node(received.Address), decision.Known, "in zone "+received.Zone)
	}
	return false
}

// supersedes reports whether a record replaces another one of the same node. Of two processes, the one with the larger
// start number is usually the later one. But start numbers are taken from the wall clock, which may have been set back
// between the two starts. If one record was updated more than silenceTimeout after the other, it is therefore the later
// one, whatever its start number.
func (n NodeRecord) supersedes(old NodeRecord, silenceTimeout kernel.Micros) bool {
	switch {
	case n.Start == old.Start:
		return n.Seq > old.Seq
	case n.UpdatedAt-old.UpdatedAt > silenceTimeout:
		return true
	case old.UpdatedAt-n.UpdatedAt > silenceTimeout:
		return false
	}
	return n.Start > old.Start
}

// isRefresh reports whether the record only refreshes an earlier one of the same process.
func (n NodeRecord) isRefresh() bool { return n.Zone == "" }

// stableState returns the record without the fields that change with every refresh.
func (n NodeRecord) stableState() NodeRecord {
	n.Seq, n.Applied, n.Age, n.UpdatedAt = 0, 0, 0, 0
	return n
}

// Sweep removes expired engines and nodes, and returns the removed nodes.
func (d *Directory) Sweep(now kernel.Micros) []NodeRecord {
	expiredNodes := []NodeRecord{}
	for node := range d.nodes.all() {
		if now-node.UpdatedAt > d.timing.NodeExpiryTimeout {
			expiredNodes = append(expiredNodes, node)
		}
	}
	for _, node := range expiredNodes {
		d.nodes.remove(node.Address)
		d.rev++
	}
	expiredEngines := []EngineRecord{}
	for engine := range d.engines.all() {
		// A listed engine is kept however long it is silent, since an engine may work without sending reports.
		isListed := engine.ListRevision > 0 && !engine.IsUnlisted || engine.HasHeartbeat()
		if !isListed && now-engine.SeenAt > EngineExpiry {
			expiredEngines = append(expiredEngines, engine)
		}
	}
	for _, engine := range expiredEngines {
		d.engines.remove(engine.ID)
		d.updateDigest(engine.ID, &engine, nil)
		d.rev++
		d.engineRev = d.rev
	}
	return expiredNodes
}

// TouchNode makes the next update to every node include the full record of a node. It is needed if earlier
// updates to some receivers left the node out.
func (d *Directory) TouchNode(address string) {
	record, exists := d.nodes.get(address)
	if !exists {
		return
	}
	d.rev++
	d.nodes.set(address, record, recordVersion{d.rev, d.rev, d.nodes.version(address).isLocal})
}

// Engine returns the record of the engine with the given id.
func (d *Directory) Engine(id string) (EngineRecord, bool) { return d.engines.get(id) }

// Node returns the record of the node with the given internal address.
func (d *Directory) Node(address string) (NodeRecord, bool) { return d.nodes.get(address) }

// NodeCount returns the number of known nodes.
func (d *Directory) NodeCount() int { return len(d.nodes.sorted) }

// Incarnation distinguishes this directory from those of other starts of the same node.
func (d *Directory) Incarnation() string { return d.incarnation }

// Rev returns the revision, which increases with each change of the directory.
func (d *Directory) Rev() uint64 { return d.rev }

// EngineRev returns the revision of the last change of an engine that the data plane has to see.
func (d *Directory) EngineRev() uint64 { return d.engineRev }

// Engines returns all engines in order of their ids.
func (d *Directory) Engines() []EngineRecord {
	return slices.AppendSeq(make([]EngineRecord, 0, len(d.engines.sorted)), d.engines.all())
}

// Nodes returns all nodes in order of their addresses.
func (d *Directory) Nodes() []NodeRecord {
	return slices.AppendSeq(make([]NodeRecord, 0, len(d.nodes.sorted)), d.nodes.all())
}

// AllEngines iterates over all engines in order of their ids. During the iteration existing records may be
// merged, but no record may be added and Sweep may not be called.
func (d *Directory) AllEngines() iter.Seq[EngineRecord] { return d.engines.all() }

// AllNodes iterates over all nodes in order of their addresses, with the same restrictions as AllEngines.
func (d *Directory) AllNodes() iter.Seq[NodeRecord] { return d.nodes.all() }

// UpdateSince returns the records that changed after the revision seen, which belongs to seenIncarnation. For
// another incarnation the update is complete. With isOwnOnly it has only records learned in this node's zone.
func (d *Directory) UpdateSince(now kernel.Micros, seenIncarnation string, seen uint64, isOwnOnly bool) *DirectoryUpdate {
	return d.updateSince(now, seenIncarnation, seen,
		func(engine *entry[EngineRecord]) bool { return engine.version.isLocal || !isOwnOnly },
		func(node *entry[NodeRecord]) bool { return node.version.isLocal || !isOwnOnly })
}

// UpdateWithin is like UpdateSince, with all engines but only the nodes for which isWanted returns true. A node
// that becomes wanted later has to be passed to TouchNode.
func (d *Directory) UpdateWithin(now kernel.Micros, seenIncarnation string, seen uint64, isWanted func(*NodeRecord) bool) *DirectoryUpdate {
	return d.updateSince(now, seenIncarnation, seen,
		func(*entry[EngineRecord]) bool { return true },
		func(node *entry[NodeRecord]) bool { return isWanted(&node.record) })
}

func (d *Directory) updateSince(now kernel.Micros, seenIncarnation string, seen uint64, isEngineWanted func(*entry[EngineRecord]) bool, isNodeWanted func(*entry[NodeRecord]) bool) *DirectoryUpdate {
	update := &DirectoryUpdate{Incarnation: d.incarnation, Watermark: d.rev}
	if seenIncarnation != d.incarnation {
		seen, update.IsComplete = 0, true
	}
	for _, changed := range d.engines.changedSince(seen, isEngineWanted) {
		record := changed.record.WithAges(now)
		// A receiver that has the rest of the record needs only its load. Most changes are of this kind.
		if changed.version.stableRev <= seen {
			record = EngineRecord{ID: record.ID, Start: record.Start, Seq: record.Seq, Load: record.Load, Streams: record.Streams, Age: record.Age}
		}
		update.Engines = append(update.Engines, record)
	}
	for _, changed := range d.nodes.changedSince(seen, isNodeWanted) {
		record := changed.record.WithAges(now)
		if changed.version.stableRev <= seen {
			record = NodeRecord{Address: record.Address, Start: record.Start, Seq: record.Seq, Applied: record.Applied, Age: record.Age}
		}
		update.Nodes = append(update.Nodes, record)
	}
	return update
}

// WithAges returns the record in the form in which it is sent: its times are set as ages before now.
func (e EngineRecord) WithAges(now kernel.Micros) EngineRecord {
	e.Age, e.Uptime, e.Idle = max(now-e.ReportedAt, 0), max(now-e.StartedAt, 0), max(now-e.SeenAt, 0)
	if e.UnresponsiveSeq > 0 {
		e.ReachabilityAge = max(now-e.ReachabilityChangedAt, 0)
	}
	return e
}

// WithTimes returns a received record with its ages converted to times of this node's clock, none later than now.
func (e EngineRecord) WithTimes(now kernel.Micros) EngineRecord {
	e.ReportedAt, e.StartedAt, e.SeenAt = now-max(e.Age, 0), now-max(e.Uptime, 0), now-max(e.Idle, 0)
	if e.UnresponsiveSeq > 0 {
		e.ReachabilityChangedAt = now - max(e.ReachabilityAge, 0)
	}
	return e
}

// WithAges returns the record in the form in which it is sent: its time is set as an age before now.
func (n NodeRecord) WithAges(now kernel.Micros) NodeRecord {
	n.Age = max(now-n.UpdatedAt, 0)
	return n
}

// WithTimes returns a received record with its age converted to a time of this node's clock, not later than now.
func (n NodeRecord) WithTimes(now kernel.Micros) NodeRecord {
	n.UpdatedAt = now - max(n.Age, 0)
	return n
}

// MergeUpdate merges an update. It reports whether an engine is newly marked as draining, and whether the update
// refreshes a node record that is missing here, as MergeNode does.
func (d *Directory) MergeUpdate(now kernel.Micros, update *DirectoryUpdate, isOwn bool) (isNewlyDraining, isIncomplete bool) {
	for _, engine := range update.Engines {
		isNewlyDraining = d.MergeEngine(now, engine.WithTimes(now), isOwn) || isNewlyDraining
	}
	for _, node := range update.Nodes {
		isIncomplete = d.MergeNode(now, node.WithTimes(now), isOwn) || isIncomplete
	}
	return isNewlyDraining, isIncomplete
}
