package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/kernel"
	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// EngineRecord is what the fleet knows of one engine. Records merge to the same
// whatever order they arrive in: a later start replaces an earlier one, a
// leaving mark of a start never goes away, and counters only grow.
type EngineRecord struct {
	ID           string `json:"id"`
	Address      string `json:"address,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Pool         string `json:"pool,omitempty"`
	Start        uint64 `json:"start"` // the start identity; later starts are larger
	IsLeaving    bool   `json:"leaving,omitempty"`
	ListRevision uint64 `json:"list_revision,omitempty"`
	IsUnlisted   bool   `json:"unlisted,omitempty"`
	IsDark       bool   `json:"dark,omitempty"` // the zone's home can't reach it
	DarkSeq      uint64 `json:"dark_seq,omitempty"`
	Seq          uint64 `json:"seq,omitempty"` // of its reports; zero means it never reported
	Load         int64  `json:"burden,omitempty"`
	Streams      int64  `json:"streams,omitempty"`
	Slots        int    `json:"slots,omitempty"`   // requests worked on at once; zero: not said
	Release      string `json:"release,omitempty"` // of the engine's software
	// Word numbers what an engine that registers itself has said; zero: it does not. Such
	// an engine has another id in each life, so what its end says holds for ever.
	Word uint64 `json:"word,omitempty"`
	// IsRestored: it came from a disk after a stop, and nobody is known to have heard it since.
	IsRestored bool `json:"restored,omitempty"`
	// On the wire times are ages, since clocks differ between machines.
	Age  kernel.Micros `json:"age_us,omitempty"`  // of the report's figures
	Up   kernel.Micros `json:"up_us,omitempty"`   // since the start
	Idle kernel.Micros `json:"idle_us,omitempty"` // since anything was heard of it
	Back kernel.Micros `json:"back_us,omitempty"` // since it last came back from the dark
	// In memory they are points on the own clock.
	AsOf      kernel.Micros `json:"-"`
	StartedAt kernel.Micros `json:"-"`
	Seen      kernel.Micros `json:"-"`
	BackAt    kernel.Micros `json:"-"`
}

// IsUnsure tells that an engine came back and has not reported since. It may be
// another process at the same address, so it is to be treated as a fresh one.
func (e EngineRecord) IsUnsure() bool {
	return e.Word == 0 && e.DarkSeq > 0 && !e.IsDark && !(e.Seq > 0 && e.AsOf > e.BackAt)
}

// isBeating tells of an engine that registers itself and is not known to be gone.
func (e EngineRecord) isBeating() bool { return e.Word > 0 && !e.IsUnlisted && !e.IsDark }

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
	AsOf         kernel.Micros `json:"-"`
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
	Up          kernel.Micros `json:"up_us"`
	IsLeaving   bool          `json:"leaving,omitempty"`
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
	Up      kernel.Micros `json:"up_us"`
	State   string        `json:"state"` // "serving" or "leaving"
}

const (
	rangeCount = 16
	// A record nobody has refreshed for so long is dropped, and not taken back.
	engineGone = 120 * kernel.Second
)

type directoryMark struct {
	rev      uint64
	standing uint64 // the revision at which more than its load changed
	isOwn    bool   // learned in this zone, not from another home
}

// Directory keeps the engines and nodes that this node knows of.
type Directory struct {
	incarnation string
	timing      Timing
	engines     *immutable.SortedMap[string, EngineRecord]
	nodes       *immutable.SortedMap[string, NodeRecord]
	engineMarks map[string]directoryMark
	nodeMarks   map[string]directoryMark
	rev         uint64
	engineRev   uint64 // the last change that the data plane has to see
	note        func(subject, decision, why string)
}

// NewDirectory makes an empty directory; the incarnation tells its numbering from an earlier one's.
func NewDirectory(incarnation string, timing Timing, note func(subject, decision, why string)) *Directory {
	return &Directory{
		incarnation: incarnation, timing: timing, note: note,
		engines:     immutable.NewSortedMap[string, EngineRecord](nil),
		nodes:       immutable.NewSortedMap[string, NodeRecord](nil),
		engineMarks: map[string]directoryMark{}, nodeMarks: map[string]directoryMark{},
	}
}

// mergeEngine joins two records of one engine.
func mergeEngine(old, brought EngineRecord) EngineRecord {
	if brought.Start < old.Start {
		old, brought = brought, old
	}
	merged := old
	if brought.Start > old.Start {
		// Another process under the same name: nothing of the old one's state holds.
		merged = brought
		if old.ListRevision > brought.ListRevision {
			merged.ListRevision, merged.IsUnlisted = old.ListRevision, old.IsUnlisted
		}
		return merged
	}
	merged.IsLeaving = old.IsLeaving || brought.IsLeaving
	merged.IsRestored = old.IsRestored && brought.IsRestored
	if old.Word > 0 || brought.Word > 0 {
		newest := old
		if brought.Word > old.Word {
			newest = brought
		}
		// The word that it is gone brings nothing else.
		if newest.Address == "" {
			newest.Address, newest.Zone, newest.Pool, newest.Slots, newest.Release = old.Address, old.Zone, old.Pool, old.Slots, old.Release
			if newest.Address == "" {
				newest.Address, newest.Zone, newest.Pool, newest.Slots, newest.Release = brought.Address, brought.Zone, brought.Pool, brought.Slots, brought.Release
			}
		}
		merged.Word, merged.Address, merged.Zone, merged.Pool = newest.Word, newest.Address, newest.Zone, newest.Pool
		merged.Slots, merged.Release = newest.Slots, newest.Release
		merged.IsUnlisted = old.IsUnlisted || brought.IsUnlisted
	} else if brought.ListRevision > old.ListRevision {
		merged.ListRevision, merged.IsUnlisted = brought.ListRevision, brought.IsUnlisted
		merged.Address, merged.Zone, merged.Pool = brought.Address, brought.Zone, brought.Pool
	} else if old.ListRevision == 0 && brought.Address != "" && (old.Address == "" || old.Address < brought.Address) {
		// Reports alone can't say which address is newer; any fixed choice makes copies agree.
		merged.Address, merged.Zone, merged.Pool = brought.Address, brought.Zone, brought.Pool
	}
	if brought.DarkSeq > old.DarkSeq {
		merged.IsDark, merged.DarkSeq, merged.BackAt = brought.IsDark, brought.DarkSeq, brought.BackAt
	}
	if brought.Seq > old.Seq {
		merged.Seq, merged.Load, merged.Streams, merged.AsOf = brought.Seq, brought.Load, brought.Streams, brought.AsOf
	}
	merged.Seen = max(old.Seen, brought.Seen)
	merged.StartedAt = min(old.StartedAt, brought.StartedAt)
	return merged
}

// standing is the part of a record on which routing depends, apart from load.
func (e EngineRecord) standing() string {
	standing := fmt.Sprint(e.Address, "|", e.Zone, "|", e.Pool, "|", e.Start, e.IsLeaving, e.IsUnlisted, e.IsDark, e.IsRestored)
	if e.Word > 0 {
		standing += fmt.Sprint("|", e.Slots, "|", e.Release)
	}
	return standing
}

// TakeEngine merges a record in; it tells whether the leaving mark is news.
func (c *Directory) TakeEngine(now kernel.Micros, brought EngineRecord, isOwn bool) bool {
	isLeavingNews, _ := c.takeEngine(now, brought, isOwn)
	return isLeavingNews
}

// takeEngine tells besides whether anything is news on which routing depends.
func (c *Directory) takeEngine(now kernel.Micros, brought EngineRecord, isOwn bool) (isLeavingNews, isNews bool) {
	// Who beats is heard at its home alone; elsewhere its record may well be old.
	if brought.ID == "" || now-brought.Seen > engineGone && !brought.isBeating() {
		return false, false
	}
	old, isThere := c.engines.Get(brought.ID)
	// A record without an address brings only the load of a start that is known.
	// But that an engine is gone has to be known before a late word that it is up.
	if isEnd := brought.Word > 0 && brought.IsUnlisted; !isEnd && brought.Address == "" && (!isThere || old.Start != brought.Start) {
		return false, false
	}
	merged := brought
	if isThere {
		merged = mergeEngine(old, brought)
		isSame := merged.standing() == old.standing() && merged.Seq == old.Seq && merged.DarkSeq == old.DarkSeq && merged.ListRevision == old.ListRevision
		if isSame {
			// Only its freshness grew; that is no news worth carrying on.
			c.engines = c.engines.Set(merged.ID, merged)
			return false, false
		}
	}
	c.rev++
	c.engineRev = c.rev
	c.engines = c.engines.Set(merged.ID, merged)
	mark := c.engineMarks[merged.ID]
	next := directoryMark{c.rev, mark.standing, isOwn || mark.isOwn && isThere && old.Start == merged.Start}
	isNews = !isThere || merged.standing() != old.standing()
	if isNews || merged.ListRevision != old.ListRevision {
		next.standing = c.rev
	}
	c.engineMarks[merged.ID] = next
	isLeavingNews = merged.IsLeaving && !(isThere && old.IsLeaving && old.Start == merged.Start)
	switch {
	case isLeavingNews:
		c.note("engine "+merged.ID, "leaving", fmt.Sprintf("marked at start %d", merged.Start))
	case !isThere:
		c.note("engine "+merged.ID, "known", fmt.Sprintf("at %s in zone %s", merged.Address, merged.Zone))
	case merged.Start != old.Start:
		c.note("engine "+merged.ID, "restarted", fmt.Sprintf("start %d after %d", merged.Start, old.Start))
	case merged.IsUnlisted != old.IsUnlisted:
		c.note("engine "+merged.ID, "listing", fmt.Sprintf("unlisted: %v, at revision %d", merged.IsUnlisted, merged.ListRevision))
	case merged.IsDark != old.IsDark:
		c.note("engine "+merged.ID, "reach", fmt.Sprintf("dark: %v, by its home", merged.IsDark))
	}
	return isLeavingNews, isNews
}

// touchEngines has the data plane look at the engines anew.
func (c *Directory) touchEngines() {
	c.rev++
	c.engineRev = c.rev
}

// TakeListing merges the platform's list; engines that it no longer has are unlisted.
func (c *Directory) TakeListing(now kernel.Micros, listing Listing) bool {
	isLeavingNews := false
	listed := map[string]bool{}
	for _, engine := range listing.Engines {
		listed[engine.ID] = true
		record := EngineRecord{
			ID: engine.ID, Address: engine.Address, Zone: engine.Zone, Pool: engine.Pool, Start: engine.Start,
			IsLeaving: engine.State == "leaving", ListRevision: listing.Revision, Seen: now, StartedAt: now - engine.Up,
		}
		// The list lags: it may still show a start that has been replaced.
		if old, isThere := c.engines.Get(engine.ID); isThere && old.Start > record.Start {
			continue
		}
		isLeavingNews = c.TakeEngine(now, record, true) || isLeavingNews
	}
	for _, old := range c.Engines() {
		if !listed[old.ID] && old.ListRevision > 0 && old.ListRevision < listing.Revision && !old.IsUnlisted {
			gone := old
			gone.ListRevision, gone.IsUnlisted = listing.Revision, true
			c.TakeEngine(now, gone, true)
		}
	}
	return isLeavingNews
}

// TakeNode merges a node's record in; it tells of a brief one of which the rest is not
// known here, say since the node was dropped while the two were cut off.
func (c *Directory) TakeNode(now kernel.Micros, brought NodeRecord, isOwn bool) (isLacking bool) {
	if brought.Address == "" || now-brought.AsOf > c.timing.NodeGone {
		return false
	}
	old, isThere := c.nodes.Get(brought.Address)
	if isThere && !brought.follows(old, c.timing.nodeSilent()) {
		return false
	}
	if brought.isBrief() {
		// It says no more than that the node still lives.
		if !isThere || brought.Start != old.Start {
			return true
		}
		old.Seq, old.Applied, old.AsOf = brought.Seq, brought.Applied, brought.AsOf
		brought = old
	}
	c.rev++
	c.nodes = c.nodes.Set(brought.Address, brought)
	standing := c.rev
	if isThere && old.standing() == brought.standing() {
		standing = c.nodeMarks[brought.Address].standing
	}
	c.nodeMarks[brought.Address] = directoryMark{c.rev, standing, isOwn}
	if !isThere {
		c.note("node "+brought.Address, "known", "in zone "+brought.Zone)
	}
	return false
}

// follows tells whether a record takes the place of another one of its node. The larger
// start is the later life, unless the other spoke long after it had fallen silent: starts
// are taken from the time of day, and that may have jumped back in between.
func (n NodeRecord) follows(old NodeRecord, silent kernel.Micros) bool {
	switch {
	case n.Start == old.Start:
		return n.Seq > old.Seq
	case n.AsOf-old.AsOf > silent:
		return true
	case old.AsOf-n.AsOf > silent:
		return false
	}
	return n.Start > old.Start
}

// isBrief tells of a record that brings only the freshness of a start that is known.
func (n NodeRecord) isBrief() bool { return n.Zone == "" }

// standing is a record without what changes all the time.
func (n NodeRecord) standing() NodeRecord {
	n.Seq, n.Applied, n.Age, n.AsOf = 0, 0, 0, 0
	return n
}

// Sweep drops what nobody has refreshed.
func (c *Directory) Sweep(now kernel.Micros) {
	for _, node := range c.Nodes() {
		if now-node.AsOf > c.timing.NodeGone {
			c.nodes = c.nodes.Delete(node.Address)
			delete(c.nodeMarks, node.Address)
			c.rev++
			c.note("node "+node.Address, "dropped", "not heard of any more")
		}
	}
	for _, engine := range c.Engines() {
		// A listed engine stays, however silent: engines that send no reports still work.
		isListed := engine.ListRevision > 0 && !engine.IsUnlisted || engine.isBeating()
		if !isListed && now-engine.Seen > engineGone {
			c.engines = c.engines.Delete(engine.ID)
			delete(c.engineMarks, engine.ID)
			c.rev++
			c.engineRev = c.rev
		}
	}
}

// Engines gives all engines in order of their ids.
func (c *Directory) Engines() []EngineRecord { return values(c.engines) }

// Nodes gives all nodes in order of their addresses.
func (c *Directory) Nodes() []NodeRecord { return values(c.nodes) }

func values[V any](from *immutable.SortedMap[string, V]) []V {
	found := make([]V, 0, from.Len())
	for each := from.Iterator(); !each.Done(); {
		_, value, _ := each.Next()
		found = append(found, value)
	}
	return found
}

// NewsSince gives what changed since a revision; isOwnOnly keeps to what this zone learned itself.
func (c *Directory) NewsSince(now kernel.Micros, seenHome string, seen uint64, isOwnOnly bool) *News {
	news := &News{Home: c.incarnation, Upto: c.rev}
	if seenHome != c.incarnation {
		seen, news.IsAll = 0, true
	}
	for _, engine := range c.Engines() {
		if mark := c.engineMarks[engine.ID]; mark.rev > seen && (mark.isOwn || !isOwnOnly) {
			record := engine.aged(now)
			// Who has the rest of it needs only the new figures, which are most of the news.
			if mark.standing <= seen {
				record = EngineRecord{ID: record.ID, Start: record.Start, Seq: record.Seq, Load: record.Load, Streams: record.Streams, Age: record.Age}
			}
			news.Engines = append(news.Engines, record)
		}
	}
	for _, node := range c.Nodes() {
		if mark := c.nodeMarks[node.Address]; mark.rev > seen && (mark.isOwn || !isOwnOnly) {
			record := node.aged(now)
			if mark.standing <= seen {
				record = NodeRecord{Address: record.Address, Start: record.Start, Seq: record.Seq, Applied: record.Applied, Age: record.Age}
			}
			news.Nodes = append(news.Nodes, record)
		}
	}
	return news
}

func (e EngineRecord) aged(now kernel.Micros) EngineRecord {
	e.Age, e.Up, e.Idle = max(now-e.AsOf, 0), max(now-e.StartedAt, 0), max(now-e.Seen, 0)
	if e.DarkSeq > 0 {
		e.Back = max(now-e.BackAt, 0)
	}
	return e
}

func (e EngineRecord) placed(now kernel.Micros) EngineRecord {
	e.AsOf, e.StartedAt, e.Seen = now-max(e.Age, 0), now-max(e.Up, 0), now-max(e.Idle, 0)
	if e.DarkSeq > 0 {
		e.BackAt = now - max(e.Back, 0)
	}
	return e
}

func (n NodeRecord) aged(now kernel.Micros) NodeRecord {
	n.Age = max(now-n.AsOf, 0)
	return n
}

func (n NodeRecord) placed(now kernel.Micros) NodeRecord {
	n.AsOf = now - max(n.Age, 0)
	return n
}

// TakeNews merges news in; it tells whether there was a leaving mark among it, and
// whether it was brief on what is not known here.
func (c *Directory) TakeNews(now kernel.Micros, news *News, isOwn bool) (isLeavingNews, isLacking bool) {
	for _, engine := range news.Engines {
		isLeavingNews = c.TakeEngine(now, engine.placed(now), isOwn) || isLeavingNews
	}
	for _, node := range news.Nodes {
		isLacking = c.TakeNode(now, node.placed(now), isOwn) || isLacking
	}
	return isLeavingNews, isLacking
}

func rangeOf(id string) int { return int(xxhash.Sum64String(id) % rangeCount) }

// Digests sums up the standing of the engines in each range. Reports are left
// out: they change all the time and repair themselves with the next one.
func (c *Directory) Digests() []uint64 {
	digests := make([]uint64, rangeCount)
	for _, engine := range c.Engines() {
		digests[rangeOf(engine.ID)] ^= xxhash.Sum64String(engine.ID + "|" + engine.standing())
	}
	return digests
}

// Differing gives every record of the ranges whose digests differ.
func (c *Directory) Differing(now kernel.Micros, theirs []uint64) []EngineRecord {
	mine := c.Digests()
	if len(theirs) != rangeCount || slices.Equal(mine, theirs) {
		return nil
	}
	found := []EngineRecord{}
	for _, engine := range c.Engines() {
		if index := rangeOf(engine.ID); mine[index] != theirs[index] {
			found = append(found, engine.aged(now))
		}
	}
	return found
}
