package control

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// What a node learns of engines, and how it brings that to others.

// urgentNews is sent again a few times: a single loss must not cost the seconds
// in which a leaving mark has to be everywhere.
type urgentNews struct {
	records []EngineRecord
	at      kernel.Micros
	left    int
}

// Hear takes engine records that this node learned first-hand.
func (n *Node) Hear(now kernel.Micros, records []EngineRecord) []any {
	n.now = now
	for i := range records {
		records[i] = records[i].placed(now)
	}
	n.hear(records)
	return n.finish()
}

// TakeListing takes the platform's list as this node polled it.
func (n *Node) TakeListing(now kernel.Micros, listing Listing) []any {
	n.now = now
	if n.directory.TakeListing(now, listing) {
		n.announce(n.leavingRecords())
	}
	return n.finish()
}

// Probed takes what this node found when it tried to reach an engine.
func (n *Node) Probed(now kernel.Micros, id string, start uint64, isDark bool) []any {
	n.now = now
	if engine, isThere := n.directory.engines.Get(id); isThere && engine.Start == start && engine.IsDark != isDark {
		engine.IsDark, engine.BackAt = isDark, now
		engine.DarkSeq++
		n.hear([]EngineRecord{engine})
		// Dark engines swallow requests that can't be tried again, so routers hear at once.
		n.spread([]EngineRecord{engine.aged(now)}, true)
	}
	return n.finish()
}

// Restarted takes that an engine answered a router here under a later start than
// was known: its own word comes before any report or list.
func (n *Node) Restarted(now kernel.Micros, id string, start uint64) []any {
	n.now = now
	if engine, isThere := n.directory.engines.Get(id); isThere && engine.Start < start {
		n.hear([]EngineRecord{{ID: id, Address: engine.Address, Zone: engine.Zone, Pool: engine.Pool, Start: start, StartedAt: now, Seen: now, AsOf: now}})
	}
	return n.finish()
}

// Suspect takes that a router here could not reach an engine. One failure may be
// the router's own, so the home of the engine's zone looks before it tells all.
func (n *Node) Suspect(now kernel.Micros, id string, start uint64) []any {
	n.now = now
	n.suspect(&Suspect{id, start})
	return n.finish()
}

func (n *Node) suspect(m *Suspect) {
	engine, isThere := n.directory.engines.Get(m.Engine)
	// Of one that registers itself its beats tell.
	if !isThere || engine.Word > 0 || engine.Start != m.Start || engine.IsDark || n.lease.applied == nil {
		return
	}
	home := n.lease.applied.Homes[engine.Zone]
	if home != n.self() {
		n.send(home, Message{Suspect: m})
		return
	}
	if at, isProbed := n.probedAt[m.Engine]; isProbed && n.now-at < 200*kernel.Millisecond {
		return
	}
	n.probedAt[m.Engine] = n.now
	n.out = append(n.out, Probe{engine})
}

func (n *Node) leavingRecords() []EngineRecord {
	found := []EngineRecord{}
	for _, engine := range n.directory.Engines() {
		if engine.IsLeaving {
			found = append(found, engine.aged(n.now))
		}
	}
	return found
}

// learnedMarks names the engines that are leaving and still there.
func (n *Node) learnedMarks() []LearnedMark {
	marks := []LearnedMark{}
	for _, engine := range n.directory.Engines() {
		// No more than half of what is kept, or two marks could push each other out for ever.
		// Who registers itself says it again with its next beat.
		if engine.IsLeaving && engine.Word == 0 && !engine.IsUnlisted && len(marks) < keptLeaving/2 {
			marks = append(marks, LearnedMark{engine.ID, engine.Start})
		}
	}
	return marks
}

func (n *Node) hear(records []EngineRecord) {
	n.takeHeard(records)
	if n.isHome() {
		return
	}
	aged := make([]EngineRecord, 0, len(records))
	for _, record := range records {
		aged = append(aged, record.aged(n.now))
	}
	n.send(n.home(), Message{Heard: &Heard{aged}})
}

// takeHeard takes records that were learned in this zone and announces the
// leaving marks among them.
func (n *Node) takeHeard(records []EngineRecord) {
	fresh := []EngineRecord{}
	for _, record := range records {
		if n.directory.TakeEngine(n.now, record, true) {
			fresh = append(fresh, record.aged(n.now))
		}
	}
	n.announce(fresh)
}

// announce spreads leaving marks at once and twice again. It does not lean on
// the home alone: that one may have died a moment ago and nobody know it yet.
func (n *Node) announce(records []EngineRecord) {
	if len(records) == 0 {
		return
	}
	n.spread(records, true)
	n.urgent = append(n.urgent, urgentNews{records, n.now + 300*kernel.Millisecond, 2})
}

func (n *Node) tickUrgent() {
	kept := n.urgent[:0]
	for _, news := range n.urgent {
		if n.now >= news.at {
			n.spread(news.records, true)
			news.at, news.left = n.now+600*kernel.Millisecond, news.left-1
		}
		if news.left > 0 {
			kept = append(kept, news)
		}
	}
	n.urgent = kept
}

// spread pushes urgent records to the zone, and from a home or a homeless node beyond it.
func (n *Node) spread(records []EngineRecord, isBeyond bool) {
	if len(records) == 0 {
		return
	}
	targets := n.zoneNodes()
	if isBeyond {
		targets = append(targets, n.otherHomes()...)
		if n.isHomeless() {
			for _, node := range n.directory.Nodes() {
				targets = append(targets, node.Address)
			}
		}
	}
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if target != n.self() {
			n.send(target, Message{News: &News{Home: n.directory.incarnation, Engines: records}})
		}
	}
}
