package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/serving"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

const (
	// The first two pauses between rounds of queries are about startupQueryInterval, later ones double so often
	// while there is no document. One that has a document asks any of the routers in it, so that none is asked often.
	startupQueryInterval     = 50 * kernel.Millisecond
	startupQueryDoublings    = 5
	startupDirectoryInterval = 100 * kernel.Millisecond // between two rounds with a document
	startupQueryTimeout      = 2 * kernel.Second        // for which one that has a document goes on, if nobody answers
	startupQueryFanout       = 4                        // nodes asked in a round, besides the seeds in the first startupSeedRounds
	startupSeedRounds        = 3
	startupAnswerInterval    = 250 * kernel.Millisecond
	// What a node sends in answers is bounded, however many nodes start at once. A part of the burst is for
	// documents alone: the directory comes from the zone's coordinator as well, the first document does not.
	startupAnswerRate        = 512 << 10 // bytes a second
	startupAnswerBurst       = 512 << 10 // bytes
	startupDocumentReserve   = 128 << 10 // bytes
	startupAnswerBytes       = 256       // about what an answer takes without what it brings
	startupEngineRecordBytes = 256       // about what a record of an engine takes on the wire
	startupNodeRecordBytes   = 192       // about what a record of a node takes on the wire
	// A configuration up to this size is sent by everyone who is asked, a larger one only to who
	// asks this node alone for it.
	startupMaxConfigBytes = 64 << 10
	// documentBackoffDoublings is how often the pause before another node is asked for a large document doubles.
	documentBackoffDoublings = 4
)

// startupQueries is a node's part in being told by whoever knows.
type startupQueries struct {
	until             kernel.Micros // startupQueryTimeout after the first document
	timer             kernel.Micros // when the next round is due
	isDone            bool
	rounds            int           // so far
	hasDirectory      bool          // a whole one was received
	documentPeer      string        // it has a document that was too large to send to all
	documentRequestAt kernel.Micros // the next time at which one may be asked for such
	documentRequests  int           // so far
	answeredAt        map[string]kernel.Micros
	answers           flowcontrol.TokenBucket // of the bytes in answers to others
}

func newStartupQueries(settings NodeSettings, now kernel.Micros) startupQueries {
	return startupQueries{
		until: now + startupQueryTimeout, isDone: settings.ServeExtension < cluster.ServeWithoutLimit, answeredAt: map[string]kernel.Micros{},
		answers: flowcontrol.TokenBucket{Rate: startupAnswerRate, Burst: startupAnswerBurst},
	}
}

func (n *Node) tickStartupQuery() {
	g := &n.startup
	if g.isDone || n.now < g.timer {
		return
	}
	if n.lease.Received() == 0 {
		g.until = n.now + startupQueryTimeout
	}
	if n.now >= g.until {
		g.isDone = true
		return
	}
	targets := n.startupTargets()
	g.timer = n.now + n.startupQueryPause()
	g.rounds++
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
			n.send(target, wire.Message{StartupQuery: &wire.StartupQuery{
				Received: n.lease.BaseRevision(), WantsDocument: target == documentPeer, LacksDirectory: !n.hasDirectory(), Node: record,
			}})
		}
	}
}

// startupQueryPause is the time to the next round. It is drawn around its mean, so that nodes that started
// together do not ask together.
func (n *Node) startupQueryPause() kernel.Micros {
	mean := startupQueryInterval << min(max(n.startup.rounds-1, 0), startupQueryDoublings)
	if n.lease.Received() > 0 {
		mean = startupDirectoryInterval
	}
	return mean/2 + kernel.Micros(n.random.Int64N(int64(mean)))
}

// startupTargets gives whom to ask in this round: at first all seeds and a few others, later a few of all.
func (n *Node) startupTargets() []string {
	others := append(n.lease.Applied().VoterAddresses(), n.hints.others...)
	others = append(others, n.views.Neighbours()...)
	if applied := n.lease.Applied(); applied != nil {
		others = append(others, applied.Routers...)
	}
	if n.startup.rounds < startupSeedRounds {
		return append(n.drawn(others, startupQueryFanout), n.settings.Seeds...)
	}
	return n.drawn(append(others, n.settings.Seeds...), startupQueryFanout)
}

// hasDirectory tells that the whole directory of another node was received, or that this node asks no more.
func (n *Node) hasDirectory() bool {
	return n.startup.isDone || n.startup.hasDirectory
}

// drawn gives some of the addresses at random, each once, and never this node's own.
func (n *Node) drawn(addresses []string, count int) []string {
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == n.self() })
	n.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

func (n *Node) onStartupQuery(from string, m *wire.StartupQuery) {
	n.directory.MergeNode(n.now, m.Node.WithTimes(n.now), m.Node.Zone == n.settings.Identity.Zone)
	if n.lease.Applied() == nil || n.settings.ServeExtension < cluster.ServeWithoutLimit {
		return
	}
	// It asks again before the answer can be there; a large one need not go twice for that.
	key := fmt.Sprint(from, "/", m.Node.Start, m.WantsDocument, "/", n.lease.Revision())
	if at, isAnswered := n.startup.answeredAt[key]; isAnswered && n.now-at < startupAnswerInterval {
		return
	}
	// Others are asked as well, and who has been answered answers from then on.
	if n.startup.answers.Available(n.now) <= 0 {
		return
	}
	maps.DeleteFunc(n.startup.answeredAt, func(_ string, at kernel.Micros) bool { return n.now-at >= startupAnswerInterval })
	n.startup.answeredAt[key] = n.now
	n.send(from, wire.Message{LeaseGrant: n.startupAnswer(m)})
}

// startupAnswer tells what the asker lacks, as far as the budget of answers allows.
func (n *Node) startupAnswer(m *wire.StartupQuery) *wire.LeaseGrant {
	grant, bytes := &wire.LeaseGrant{Revision: n.lease.Revision(), KnownRouters: n.routersToTell()}, startupAnswerBytes
	if n.now-n.hints.seenAt < kernel.Second {
		grant.Leader = n.hints.leader
	}
	isBehind := m.Received < n.lease.Revision()
	if isBehind {
		withoutConfig := n.lease.Applied().DeltaFor(m.Received)
		if m.WantsDocument || len(withoutConfig.Config) <= startupMaxConfigBytes {
			grant.Document = withoutConfig
			bytes += withoutConfig.WireSize()
		}
	}
	canTell := n.hasDirectory() || n.snapshots.isLoaded
	directoryBytes := startupEngineRecordBytes*len(n.directory.Engines()) + startupNodeRecordBytes*n.directory.NodeCount()
	// A directory that is larger than all that may be saved up takes all of it, and the debt is paid before the next one.
	directoryShare := min(directoryBytes, startupAnswerBurst-startupDocumentReserve-bytes)
	if canTell && (isBehind || m.LacksDirectory) && n.startup.answers.Available(n.now)-bytes-directoryShare >= startupDocumentReserve {
		grant.Update = n.directory.UpdateSince(n.now, "", 0, false)
		bytes += directoryBytes
	}
	n.startup.answers.Consume(n.now, bytes)
	return grant
}

// onStartupAnswer follows a grant that came while this node was still asking round.
func (n *Node) onStartupAnswer(from string, m *wire.LeaseGrant) {
	g := &n.startup
	// A coordinator answers lease requests from a directory that it may only begin to fill.
	isStartupAnswer := m.RequestSeq == 0
	g.hasDirectory = g.hasDirectory || isStartupAnswer && m.Update != nil && m.Update.IsComplete
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
	g.isDone = n.lease.Received() > 0 && m.Leader != "" && n.hasDirectory()
}
