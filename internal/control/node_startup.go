package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/serving"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

const (
	startupQueryInterval  = 100 * kernel.Millisecond
	startupQueryTimeout   = 2 * kernel.Second // for which one that has a document goes on, if nobody answers
	startupQueryFanout    = 6                 // asked besides the seeds, in turn
	startupAnswerInterval = 250 * kernel.Millisecond
	// A configuration up to this size is sent by everyone who is asked, a larger one only to who
	// asks this node alone for it.
	startupMaxConfigBytes = 64 << 10
	// documentBackoffDoublings is how often the pause before another node is asked for a large document doubles.
	documentBackoffDoublings = 4
)

// startupQueries is a node's part in being told by whoever knows.
type startupQueries struct {
	until             kernel.Micros
	timer             kernel.Micros
	isDone            bool
	nextIndex         int
	documentPeer      string        // it has a document that was too large to send to all
	documentRequestAt kernel.Micros // the next time at which one may be asked for such
	documentRequests  int           // so far
	answeredAt        map[string]kernel.Micros
}

func (n *Node) tickStartupQuery() {
	g := &n.startup
	if g.isDone || n.now < g.timer {
		return
	}
	hasDocument := n.lease.Received() > 0
	if hasDocument && n.now >= g.until {
		g.isDone = true
		return
	}
	g.timer = n.now + startupQueryInterval
	targets := slices.Clone(n.settings.Seeds)
	others := append(n.lease.Applied().VoterAddresses(), n.hints.others...)
	others = append(others, n.views.Neighbours()...)
	for range min(startupQueryFanout, len(others)) {
		g.nextIndex++
		targets = append(targets, others[g.nextIndex%len(others)])
	}
	documentPeer := ""
	if g.documentPeer != "" && n.now >= g.documentRequestAt {
		documentPeer, g.documentPeer = g.documentPeer, ""
		// Each copy takes the link from those before it, so the next one is asked for after twice as long.
		g.documentRequestAt = n.now + serving.DocumentRequestInterval<<min(g.documentRequests, documentBackoffDoublings)
		g.documentRequests++
		targets = append(targets, documentPeer)
	}
	slices.Sort(targets)
	record := n.record().WithAges(n.now)
	for _, target := range slices.Compact(targets) {
		if target != n.self() {
			n.send(target, wire.Message{StartupQuery: &wire.StartupQuery{Received: n.lease.BaseRevision(), WantsDocument: target == documentPeer, Node: record}})
		}
	}
}

func (n *Node) onStartupQuery(from string, m *wire.StartupQuery) {
	n.directory.TakeNode(n.now, m.Node.WithTimes(n.now), m.Node.Zone == n.settings.Identity.Zone)
	if n.lease.Applied() == nil || n.settings.ServeExtension < cluster.ServeWithoutLimit {
		return
	}
	// It asks again before the answer can be there; a large one need not go twice for that.
	key := fmt.Sprint(from, "/", m.Node.Start, m.WantsDocument, "/", n.lease.Revision())
	if at, isAnswered := n.startup.answeredAt[key]; isAnswered && n.now-at < startupAnswerInterval {
		return
	}
	maps.DeleteFunc(n.startup.answeredAt, func(_ string, at kernel.Micros) bool { return n.now-at >= startupAnswerInterval })
	n.startup.answeredAt[key] = n.now
	grant := &wire.LeaseGrant{Revision: n.lease.Revision(), Update: n.directory.UpdateSince(n.now, "", 0, false), KnownRouters: n.routersToTell()}
	if n.now-n.hints.seenAt < kernel.Second {
		grant.Leader = n.hints.leader
	}
	if m.Received < n.lease.Revision() {
		withoutConfig := n.lease.Applied().DeltaFor(m.Received)
		if m.WantsDocument || len(withoutConfig.Config) <= startupMaxConfigBytes {
			grant.Document = withoutConfig
		}
	}
	n.send(from, wire.Message{LeaseGrant: grant})
}

// onStartupAnswer follows a grant that came while this node was still asking round.
func (n *Node) onStartupAnswer(from string, m *wire.LeaseGrant) {
	g := &n.startup
	if g.isDone {
		return
	}
	if m.Revision > n.lease.Received() {
		// It was too large to send unasked, or its configuration is not held here after all.
		if m.Document == nil && g.documentPeer == "" && n.now >= g.documentRequestAt {
			g.documentPeer, g.timer = from, n.now
		}
		return
	}
	// Two that have just started may tell each other what both had before; one that is in
	// touch with a leader knows what there is.
	g.isDone = n.lease.Received() > 0 && m.Leader != ""
}
