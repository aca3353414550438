package registry

import (
	"fmt"
	"iter"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// EngineRecord is what the fleet knows of one engine. Records merge to the same
// whatever order they arrive in: a later start replaces an earlier one, a
// leaving mark of a start never goes away, and counters only grow.
type EngineRecord struct {
	ID              string `json:"id"`
	Address         string `json:"address,omitempty"`
	Zone            string `json:"zone,omitempty"`
	Pool            string `json:"pool,omitempty"`
	Start           uint64 `json:"start"` // the start identity; later starts are larger
	IsDraining      bool   `json:"leaving,omitempty"`
	ListRevision    uint64 `json:"list_revision,omitempty"`
	IsUnlisted      bool   `json:"unlisted,omitempty"`
	IsUnresponsive  bool   `json:"dark,omitempty"` // the zone's home can't reach it
	UnresponsiveSeq uint64 `json:"dark_seq,omitempty"`
	Seq             uint64 `json:"seq,omitempty"` // of its reports; zero means it never reported
	Load            int64  `json:"burden,omitempty"`
	Streams         int64  `json:"streams,omitempty"`
	Slots           int    `json:"slots,omitempty"`   // requests worked on at once; zero: not said
	Release         string `json:"release,omitempty"` // of the engine's software
	// AnnouncementSeq numbers what an engine that registers itself has said; zero: it does not. Such
	// an engine has another id in each life, so what its end says holds for ever.
	AnnouncementSeq uint64 `json:"word,omitempty"`
	// IsRestored: it came from a disk after a stop, and nobody is known to have heard it since.
	IsRestored bool `json:"restored,omitempty"`
	// On the wire times are ages, since clocks differ between machines.
	Age             kernel.Micros `json:"age_us,omitempty"`  // of the report's figures
	Uptime          kernel.Micros `json:"up_us,omitempty"`   // since the start
	Idle            kernel.Micros `json:"idle_us,omitempty"` // since anything was heard of it
	ReachabilityAge kernel.Micros `json:"back_us,omitempty"` // since it last came back from the dark
	// In memory they are points on the own clock.
	ReportedAt            kernel.Micros `json:"-"`
	StartedAt             kernel.Micros `json:"-"`
	SeenAt                kernel.Micros `json:"-"`
	ReachabilityChangedAt kernel.Micros `json:"-"`
}

// IsUnconfirmed tells that an engine came back and has not reported since. It may be
// another process at the same address, so it is to be treated as a fresh one.
func (e EngineRecord) IsUnconfirmed() bool {
	return e.AnnouncementSeq == 0 && e.UnresponsiveSeq > 0 && !e.IsUnresponsive && (e.Seq == 0 || e.ReportedAt <= e.ReachabilityChangedAt)
}

// HasHeartbeat tells of an engine that registers itself and is not known to be gone.
func (e EngineRecord) HasHeartbeat() bool {
	return e.AnnouncementSeq > 0 && !e.IsUnlisted && !e.IsUnresponsive
}

// NodeRecord is what the fleet knows of one of its own nodes.
type NodeRecord struct {
	Address      string        `json:"address"`
	Public       string        `json:"public,omitempty"`
	Zone         string        `json:"zone,omitempty"`
	IsRouter     bool          `json:"router,omitempty"`
	IsController bool          `json:"controller,omitempty"`
	IsLeaving    bool          `json:"leaving,omitempty"`
	Start        uint64        `json:"start"`
	Seq          uint64        `json:"seq"`
	Applied      uint64        `json:"applied,omitempty"`
	Age          kernel.Micros `json:"age_us"`
	UpdatedAt    kernel.Micros `json:"-"`
}

// Report is an engine's late word on its load, in the form of docs/interfaces.md.
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

// ListingEngine is one engine of the platform's list.
type ListingEngine struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Pool    string        `json:"pool,omitempty"`
	Start   uint64        `json:"start"`
	Uptime  kernel.Micros `json:"up_us"`
	State   string        `json:"state"` // "serving" or "leaving"
}

// EngineExpiry is how long, in microseconds, a record that nobody has refreshed is kept. An older one is
// dropped, and is not accepted from elsewhere.
const EngineExpiry = 120 * kernel.Second

// Directory keeps the engines and nodes that this node knows of.
type Directory struct {
	incarnation string
	timing      cluster.Timing
	engines     *table[EngineRecord]
	nodes       *table[NodeRecord]
	digests     [rangeCount]uint64 // of the engines, kept as they change
	rev         uint64
	engineRev   uint64 // the last change that the data plane has to see
	note        func(subject decision.Subject, what decision.Decision, why string)
}

// NewDirectory makes an empty directory; the incarnation tells its numbering from an earlier one's.
func NewDirectory(incarnation string, timing cluster.Timing, note func(subject decision.Subject, what decision.Decision, why string)) *Directory {
	return &Directory{
		incarnation: incarnation, timing: timing, note: note,
		engines: newTable[EngineRecord](), nodes: newTable[NodeRecord](),
	}
}

// mergeEngine joins two records of one engine.
func mergeEngine(old, received EngineRecord) EngineRecord {
	if received.Start < old.Start {
		old, received = received, old
	}
	merged := old
	if received.Start > old.Start {
		// Another process under the same name: nothing of the old one's state holds.
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

// mergeLocation sets where an engine is and whether it is listed, from two records of the same start: by the
// engine's own announcements if either record has one, else by the later list, else by the reports.
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
		// Reports alone can't say which address is newer; any fixed choice makes copies agree.
		e.Address, e.Zone, e.Pool = received.Address, received.Zone, received.Pool
	}
}

// newestAnnouncement is the record with the later announcement. The announcement that the engine has
// ended brings nothing else, so what it lacks is filled in from the first record that has an address.
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

// routingState is the part of a record on which routing depends, apart from load.
type routingState struct {
	address, zone, pool                                string
	start                                              uint64
	isDraining, isUnlisted, isUnresponsive, isRestored bool
	isAnnounced                                        bool
	slots                                              int    // of an engine that announces itself
	release                                            string // of an engine that announces itself
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

// RoutingState is the part of a record on which routing depends, as text for digests: nodes compare them, so
// it is the same in every build.
func (e EngineRecord) RoutingState() string {
	state := fmt.Sprint(e.Address, "|", e.Zone, "|", e.Pool, "|", e.Start, e.IsDraining, e.IsUnlisted, e.IsUnresponsive, e.IsRestored)
	if e.AnnouncementSeq > 0 {
		state += fmt.Sprint("|", e.Slots, "|", e.Release)
	}
	return state
}

// MergeEngine merges a record in; it tells whether the leaving mark is news.
func (d *Directory) MergeEngine(now kernel.Micros, received EngineRecord, isOwn bool) bool {
	isNewlyDraining, _ := d.MergeRecord(now, received, isOwn)
	return isNewlyDraining
}

// MergeRecord tells besides whether anything is news on which routing depends.
func (d *Directory) MergeRecord(now kernel.Micros, received EngineRecord, isOwn bool) (isNewlyDraining, isChanged bool) {
	// Who beats is heard at its home alone; elsewhere its record may well be old.
	if received.ID == "" || now-received.SeenAt > EngineExpiry && !received.HasHeartbeat() {
		return false, false
	}
	old, isThere := d.engines.get(received.ID)
	// A record without an address brings only the load of a start that is known.
	// But that an engine is gone has to be known before a late word that it is up.
	if isEnd := received.AnnouncementSeq > 0 && received.IsUnlisted; !isEnd && received.Address == "" && (!isThere || old.Start != received.Start) {
		return false, false
	}
	merged, isChanged := received, true
	if isThere {
		merged = mergeEngine(old, received)
		isChanged = merged.routingState() != old.routingState()
		isSame := !isChanged && merged.Seq == old.Seq && merged.UnresponsiveSeq == old.UnresponsiveSeq && merged.ListRevision == old.ListRevision
		if isSame {
			// Only its freshness grew; that is no news worth carrying on.
			d.engines.refresh(merged.ID, merged)
			return false, false
		}
	}
	d.rev++
	d.engineRev = d.rev
	oldVersion := d.engines.version(merged.ID)
	newVersion := recordVersion{d.rev, oldVersion.stableRev, isOwn || oldVersion.isLocal && isThere && old.Start == merged.Start}
	if isChanged || merged.ListRevision != old.ListRevision {
		newVersion.stableRev = d.rev
	}
	switch {
	case !isThere:
		d.updateDigest(merged.ID, nil, &merged)
	case isChanged:
		d.updateDigest(merged.ID, &old, &merged)
	}
	d.engines.set(merged.ID, merged, newVersion)
	isNewlyDraining = merged.IsDraining && (!isThere || !old.IsDraining || old.Start != merged.Start)
	switch {
	case isNewlyDraining:
		d.note(decision.Engine(merged.ID), decision.Draining, fmt.Sprintf("marked at start %d", merged.Start))
	case !isThere:
		d.note(decision.Engine(merged.ID), decision.Known, fmt.Sprintf("at %s in zone %s", merged.Address, merged.Zone))
	case merged.Start != old.Start:
		d.note(decision.Engine(merged.ID), decision.Restarted, fmt.Sprintf("start %d after %d", merged.Start, old.Start))
	case merged.IsUnlisted != old.IsUnlisted:
		d.note(decision.Engine(merged.ID), decision.Listing, fmt.Sprintf("unlisted: %v, at revision %d", merged.IsUnlisted, merged.ListRevision))
	case merged.IsUnresponsive != old.IsUnresponsive:
		d.note(decision.Engine(merged.ID), decision.Responsiveness, fmt.Sprintf("unresponsive: %v, by its zone coordinator", merged.IsUnresponsive))
	}
	return isNewlyDraining, isChanged
}

// TouchEngines has the data plane look at the engines anew.
func (d *Directory) TouchEngines() {
	d.rev++
	d.engineRev = d.rev
}

// TakeListing merges the platform's list; engines that it no longer has are unlisted.
func (d *Directory) TakeListing(now kernel.Micros, listing Listing) bool {
	isNewlyDraining := false
	listed := map[string]bool{}
	for _, engine := range listing.Engines {
		listed[engine.ID] = true
		record := EngineRecord{
			ID: engine.ID, Address: engine.Address, Zone: engine.Zone, Pool: engine.Pool, Start: engine.Start,
			IsDraining: engine.State == "leaving", ListRevision: listing.Revision, SeenAt: now, StartedAt: now - engine.Uptime,
		}
		// The list lags: it may still show a start that has been replaced.
		if old, isThere := d.engines.get(engine.ID); isThere && old.Start > record.Start {
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

// MergeNode merges a node's record in; it tells of a brief one of which the rest is not
// known here, say since the node was dropped while the two were cut off.
func (d *Directory) MergeNode(now kernel.Micros, received NodeRecord, isOwn bool) (isIncomplete bool) {
	if received.Address == "" || now-received.UpdatedAt > d.timing.NodeExpiryTimeout {
		return false
	}
	old, isThere := d.nodes.get(received.Address)
	if isThere && !received.supersedes(old, d.timing.NodeTimeout()) {
		return false
	}
	if received.isRefresh() {
		// It says no more than that the node still lives.
		if !isThere || received.Start != old.Start {
			return true
		}
		old.Seq, old.Applied, old.UpdatedAt = received.Seq, received.Applied, received.UpdatedAt
		received = old
	}
	d.rev++
	stableRev := d.rev
	if isThere && old.stableState() == received.stableState() {
		stableRev = d.nodes.version(received.Address).stableRev
	}
	d.nodes.set(received.Address, received, recordVersion{d.rev, stableRev, isOwn})
	if !isThere {
		d.note(decision.Node(received.Address), decision.Known, "in zone "+received.Zone)
	}
	return false
}

// supersedes tells whether a record takes the place of another one of its node. The larger
// start is the later life, unless the other spoke long after it had fallen silent: starts
// are taken from the time of day, and that may have jumped back in between.
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

// isRefresh tells of a record that brings only the freshness of a start that is known.
func (n NodeRecord) isRefresh() bool { return n.Zone == "" }

// stableState is a record without what changes all the time.
func (n NodeRecord) stableState() NodeRecord {
	n.Seq, n.Applied, n.Age, n.UpdatedAt = 0, 0, 0, 0
	return n
}

// Sweep drops what nobody has refreshed, and gives the nodes among it.
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
		// A listed engine stays, however silent: engines that send no reports still work.
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

// TouchNode has the next update of everyone bring a node's entire record, where some got none of it before.
func (d *Directory) TouchNode(address string) {
	record, isThere := d.nodes.get(address)
	if !isThere {
		return
	}
	d.rev++
	d.nodes.set(address, record, recordVersion{d.rev, d.rev, d.nodes.version(address).isLocal})
}

// Engine is the record of an engine by its id.
func (d *Directory) Engine(id string) (EngineRecord, bool) { return d.engines.get(id) }

// Node is the record of a node by its address between nodes.
func (d *Directory) Node(address string) (NodeRecord, bool) { return d.nodes.get(address) }

// NodeCount is how many nodes are known.
func (d *Directory) NodeCount() int { return len(d.nodes.sorted) }

// Incarnation names this directory among those of earlier starts of the same node.
func (d *Directory) Incarnation() string { return d.incarnation }

// Rev rises with each change of the directory.
func (d *Directory) Rev() uint64 { return d.rev }

// EngineRev rises with each change of an engine that routing sees.
func (d *Directory) EngineRev() uint64 { return d.engineRev }

// Engines gives a copy of all engines in order of their ids.
func (d *Directory) Engines() []EngineRecord {
	return slices.AppendSeq(make([]EngineRecord, 0, len(d.engines.sorted)), d.engines.all())
}

// Nodes gives a copy of all nodes in order of their addresses.
func (d *Directory) Nodes() []NodeRecord {
	return slices.AppendSeq(make([]NodeRecord, 0, len(d.nodes.sorted)), d.nodes.all())
}

// AllEngines goes through all engines in order of their ids. Records that are there may be merged meanwhile;
// none may be added, and Sweep may not run.
func (d *Directory) AllEngines() iter.Seq[EngineRecord] { return d.engines.all() }

// AllNodes goes through all nodes in order of their addresses, under the rule of AllEngines.
func (d *Directory) AllNodes() iter.Seq[NodeRecord] { return d.nodes.all() }

// UpdateSince gives what changed since a revision; isOwnOnly keeps to what this zone learned itself.
func (d *Directory) UpdateSince(now kernel.Micros, seenIncarnation string, seen uint64, isOwnOnly bool) *DirectoryUpdate {
	return d.updateSince(now, seenIncarnation, seen,
		func(engine *entry[EngineRecord]) bool { return engine.version.isLocal || !isOwnOnly },
		func(node *entry[NodeRecord]) bool { return node.version.isLocal || !isOwnOnly })
}

// UpdateWithin is UpdateSince with all engines, and of the nodes with those that are wanted. One that becomes
// wanted later is to be touched, see TouchNode.
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
		// Who has the rest of it needs only the new figures, which are most of the news.
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

// WithAges gives the record as it goes on the wire: its times as ages, in microseconds before now.
func (e EngineRecord) WithAges(now kernel.Micros) EngineRecord {
	e.Age, e.Uptime, e.Idle = max(now-e.ReportedAt, 0), max(now-e.StartedAt, 0), max(now-e.SeenAt, 0)
	if e.UnresponsiveSeq > 0 {
		e.ReachabilityAge = max(now-e.ReachabilityChangedAt, 0)
	}
	return e
}

// WithTimes gives a record from the wire with its ages as times of the own clock, none later than now.
func (e EngineRecord) WithTimes(now kernel.Micros) EngineRecord {
	e.ReportedAt, e.StartedAt, e.SeenAt = now-max(e.Age, 0), now-max(e.Uptime, 0), now-max(e.Idle, 0)
	if e.UnresponsiveSeq > 0 {
		e.ReachabilityChangedAt = now - max(e.ReachabilityAge, 0)
	}
	return e
}

// WithAges gives the record as it goes on the wire: its time as an age, in microseconds before now.
func (n NodeRecord) WithAges(now kernel.Micros) NodeRecord {
	n.Age = max(now-n.UpdatedAt, 0)
	return n
}

// WithTimes gives a record from the wire with its age as a time of the own clock, not later than now.
func (n NodeRecord) WithTimes(now kernel.Micros) NodeRecord {
	n.UpdatedAt = now - max(n.Age, 0)
	return n
}

// MergeUpdate merges news in; it tells whether there was a leaving mark among it, and
// whether it was brief on what is not known here.
func (d *Directory) MergeUpdate(now kernel.Micros, update *DirectoryUpdate, isOwn bool) (isNewlyDraining, isIncomplete bool) {
	for _, engine := range update.Engines {
		isNewlyDraining = d.MergeEngine(now, engine.WithTimes(now), isOwn) || isNewlyDraining
	}
	for _, node := range update.Nodes {
		isIncomplete = d.MergeNode(now, node.WithTimes(now), isOwn) || isIncomplete
	}
	return isNewlyDraining, isIncomplete
}
