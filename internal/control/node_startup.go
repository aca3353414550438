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
	// Under ServeWithoutLimit, a starting node queries other nodes in rounds for the newest document and the directory.
	// While it has no document, the first two pauses between rounds last about startupQueryInterval, and later ones
	// double up to startupQueryDoublings times. Once it has a document it queries random routers named there, so that
	// no router is queried often.
	startupQueryInterval     = 50 * kernel.Millisecond
	startupQueryDoublings    = 5
	startupDirectoryInterval = 100 * kernel.Millisecond // pause between two rounds of a node that has a document
	startupQueryTimeout      = 2 * kernel.Second        // how long a node that has a document continues without an answer
	startupQueryFanout       = 4                        // nodes queried in a round, besides the seeds in the first startupSeedRounds
	startupSeedRounds        = 3
	startupAnswerInterval    = 250 * kernel.Millisecond
	// Limits on all answers that a node sends to starting nodes, however many start at once. Part of the burst is
	// reserved for documents: a starting node can also get the directory from its zone's coordinator, but it knows the
	// coordinator only from its first document.
	startupAnswerRate        = 512 << 10 // bytes a second
	startupAnswerBurst       = 512 << 10 // bytes
	startupDocumentReserve   = 128 << 10 // bytes
	startupAnswerBytes       = 256       // approximate size of an answer without document and directory
	startupEngineRecordBytes = 256       // approximate size of an engine record on the wire
	startupNodeRecordBytes   = 192       // approximate size of a node record on the wire
	// A queried node sends a configuration of up to this size unrequested, so several copies may arrive. A larger one
	// is sent only on request, and a starting node requests it from one node at a time.
	startupMaxConfigBytes = 64 << 10
	// documentBackoffDoublings limits how often the pause between two requests for a large document doubles.
	documentBackoffDoublings = 4
)

// startupQueries is the state of a starting node's queries, and of the answers to others' queries.
type startupQueries struct {
	until             kernel.Micros // when the queries end; moved on while there is no document
	timer             kernel.Micros // when the next round is due
	isDone            bool
	rounds            int                      // number so far
	hasDirectory      bool                     // a complete directory was received
	documentPeer      string                   // node to request the newest document from in the next round; empty: none
	documentRequestAt kernel.Micros            // the earliest time at which a large document may be requested
	documentRequests  int                      // number so far
	answeredAt        map[string]kernel.Micros // when each query of others was answered; see onStartupQuery
	answers           flowcontrol.TokenBucket  // budget in bytes for answers to other nodes
}

func newStartupQueries(settings NodeSettings, now kernel.Micros) startupQueries {
	return startupQueries{
		until: now + startupQueryTimeout, isDone: settings.ServeExtension < cluster.ServeWithoutLimit, answeredAt: map[string]kernel.Micros{},
		answers: flowcontrol.TokenBucket{Rate: startupAnswerRate, Burst: startupAnswerBurst},
	}
}

func (n *Node) tickStartupQuery() {
	queries := &n.startup
	if queries.isDone || n.now < queries.timer {
		return
	}
	if n.lease.Received() == 0 {
		queries.until = n.now + startupQueryTimeout
	}
	if n.now >= queries.until {
		queries.isDone = true
		return
	}
	targets := n.startupTargets()
	queries.timer = n.now + n.startupQueryPause()
	queries.rounds++
	documentPeer := ""
	if queries.documentPeer != "" && n.now >= queries.documentRequestAt {
		documentPeer, queries.documentPeer = queries.documentPeer, ""
		// Copies of the document share the link, so the pause before requesting another copy doubles.
		queries.documentRequestAt = n.now + serving.DocumentRequestInterval<<min(queries.documentRequests, documentBackoffDoublings)
		queries.documentRequests++
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

// startupQueryPause returns the time to the next round. It is drawn at random around its mean, so that nodes that
// started together do not send their queries together.
func (n *Node) startupQueryPause() kernel.Micros {
	mean := startupQueryInterval << min(max(n.startup.rounds-1, 0), startupQueryDoublings)
	if n.lease.Received() > 0 {
		mean = startupDirectoryInterval
	}
	return mean/2 + kernel.Micros(n.random.Int64N(int64(mean)))
}

// startupTargets returns the nodes to query in this round. In the first startupSeedRounds these are all seeds and a few
// other nodes, later a few nodes chosen from the seeds and the others.
func (n *Node) startupTargets() []string {
	others := append(n.lease.Applied().VoterAddresses(), n.hints.others...)
	others = append(others, n.partialView.Neighbours()...)
	if applied := n.lease.Applied(); applied != nil {
		others = append(others, applied.Routers...)
	}
	if n.startup.rounds < startupSeedRounds {
		return append(n.sampleAddresses(others, startupQueryFanout), n.settings.Seeds...)
	}
	return n.sampleAddresses(append(others, n.settings.Seeds...), startupQueryFanout)
}

// hasDirectory reports whether a complete directory of another node was received, or this node has stopped querying.
func (n *Node) hasDirectory() bool {
	return n.startup.isDone || n.startup.hasDirectory
}

// sampleAddresses returns up to count distinct addresses in random order, without this node's own.
func (n *Node) sampleAddresses(addresses []string, count int) []string {
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
	// The sender repeats its query before the answer can arrive, and a large answer need not be sent twice.
	key := fmt.Sprint(from, "/", m.Node.Start, m.WantsDocument, "/", n.lease.Revision())
	if at, isAnswered := n.startup.answeredAt[key]; isAnswered && n.now-at < startupAnswerInterval {
		return
	}
	// If the budget is used up, the query is not answered. Its sender queries other nodes as well, among them nodes
	// that started at the same time and have already got their answers.
	if n.startup.answers.Available(n.now) <= 0 {
		return
	}
	maps.DeleteFunc(n.startup.answeredAt, func(_ string, at kernel.Micros) bool { return n.now-at >= startupAnswerInterval })
	n.startup.answeredAt[key] = n.now
	n.send(from, wire.Message{LeaseGrant: n.startupAnswer(m)})
}

// startupAnswer returns what the sender of a query lacks. The directory is left out if the budget for answers is too
// low.
func (n *Node) startupAnswer(m *wire.StartupQuery) *wire.LeaseGrant {
	grant, bytes := &wire.LeaseGrant{Revision: n.lease.Revision(), KnownRouters: n.routersToReport()}, startupAnswerBytes
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
	canSendDirectory := n.hasDirectory() || n.snapshots.isLoaded
	directoryBytes := startupEngineRecordBytes*len(n.directory.Engines()) + startupNodeRecordBytes*n.directory.NodeCount()
	// A directory that is larger than the whole budget is sent when the budget is full. The resulting debt has to be
	// paid off before the next answer.
	directoryShare := min(directoryBytes, startupAnswerBurst-startupDocumentReserve-bytes)
	if canSendDirectory && (isBehind || m.LacksDirectory) && n.startup.answers.Available(n.now)-bytes-directoryShare >= startupDocumentReserve {
		grant.Update = n.directory.UpdateSince(n.now, "", 0, false)
		bytes += directoryBytes
	}
	n.startup.answers.Consume(n.now, bytes)
	return grant
}

// onStartupAnswer handles a grant that may be the answer to a startup query.
func (n *Node) onStartupAnswer(from string, m *wire.LeaseGrant) {
	queries := &n.startup
	// A grant with a RequestSeq is a coordinator's answer to a lease request. It does not count as a startup answer,
	// because the coordinator's directory may still be almost empty.
	isStartupAnswer := m.RequestSeq == 0
	queries.hasDirectory = queries.hasDirectory || isStartupAnswer && m.Update != nil && m.Update.IsComplete
	if queries.isDone {
		return
	}
	if m.Revision > n.lease.Received() {
		// The document was too large to send unrequested, or the configuration that its delta needs is not available
		// here.
		if m.Document == nil && queries.documentPeer == "" && n.now >= queries.documentRequestAt {
			queries.documentPeer, queries.timer = from, n.now
		}
		return
	}
	// The queries go on until an answer names a leader, since two nodes that have just started may only tell each other
	// what both knew before. A node in contact with a leader has the current state.
	queries.isDone = n.lease.Received() > 0 && m.Leader != "" && n.hasDirectory()
}
