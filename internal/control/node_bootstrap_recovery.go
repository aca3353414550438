package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Recovery of acceptors that were started again before their vote was on disk. Nobody can tell
// them from acceptors whose folder was lost, so they are amnesiac: their promises count only toward a
// recovery quorum, and only while some node vouches that this still is the first start. The safety
// argument stands in docs/control-safety/first-start.md.

// witnessFanout is how many nodes are asked at once whether this still is the first start.
const witnessFanout = 8

// onAnnounceStateLoss takes the word of an amnesiac member. A ballot that does not name it can't recover
// it, so the next one has to.
func (f *bootstrapper) onAnnounceStateLoss(now kernel.Micros, m *wire.AnnounceStateLoss) {
	if _, isKnown := f.allMembers()[m.Member.ID]; !isKnown {
		f.lastJoinedAt = now
	}
	f.stateLossMembers[m.Member.ID] = announcedMember{m.Member, now}
	isAcceptor := f.areMembersAcceptors() || slices.Contains(f.seeds, m.Member.Address)
	if !isAcceptor {
		return
	}
	f.learnIncarnations([]cluster.IncarnationID{m.Incarnation})
	if f.proposal != nil && !slices.Contains(f.proposal.incarnations, m.Incarnation) {
		f.lastJoinedAt, f.proposal = now, nil
	}
}

// onAnnounceStateLoss takes the word of an amnesiac member, and sets its seeds right.
func (n *Node) onAnnounceStateLoss(from string, m *wire.AnnounceStateLoss) {
	f := n.bootstrapper
	f.onAnnounceStateLoss(n.now, m)
	if n.isFirstStart() && !slices.Equal(m.Seeds, f.seeds) {
		n.send(from, wire.Message{FirstSeeds: &wire.FirstSeeds{Seeds: f.seeds}})
	}
}

// onFirstSeeds has an amnesiac acceptor go by the seeds of the first start. What it promised for
// other seeds can't have mattered, since no node in its first life was told those.
func (n *Node) onFirstSeeds(m *wire.FirstSeeds) {
	f := n.bootstrapper
	if f.acceptor == nil || !f.acceptor.HasLostState || len(m.Seeds) == 0 {
		return
	}
	f.seeds, f.acceptor.Seeds = m.Seeds, m.Seeds
	f.rank = slices.Index(f.seeds, n.self())
	f.proposal = nil
}

// announceStateLoss tells the seeds, and one after another the nodes that have written to this one:
// some of them may know better which the seeds are.
func (n *Node) announceStateLoss() {
	f := n.bootstrapper
	targets := f.seeds
	if len(n.hints.others) > 0 {
		f.nextAnnounceTarget++
		targets = append(slices.Clone(targets), n.hints.others[f.nextAnnounceTarget%len(n.hints.others)])
	}
	announcement := &wire.AnnounceStateLoss{Member: n.core.settings.Self, Incarnation: f.acceptor.Incarnation, Seeds: f.seeds}
	for _, target := range targets {
		n.send(target, wire.Message{AnnounceStateLoss: announcement})
	}
}

// learnIncarnations keeps them for the next ballot, which has to name all.
func (f *bootstrapper) learnIncarnations(incarnations []cluster.IncarnationID) {
	f.incarnations = append(f.incarnations, incarnations...)
	slices.Sort(f.incarnations)
	f.incarnations = slices.Compact(f.incarnations)
}

// knowsFleet tells whether this node has heard of any fleet that was founded.
func (n *Node) knowsFleet() bool {
	return n.bootstrapper.hasSeenFleet || n.clusterID() != "" || n.lease.Applied() != nil
}

// isFirstStart tells whether this node can vouch for the first start.
func (n *Node) isFirstStart() bool { return n.settings.IsBootstrap && !n.knowsFleet() }

// mayRecover tells whether the own ballot recovers the amnesiac acceptors that have promised it.
func (n *Node) mayRecover() bool {
	p := n.bootstrapper.proposal
	isWitnessed := p.isWitnessed || n.isFirstStart()
	return isWitnessed && !n.knowsFleet() && n.bootstrapper.isRecoveryQuorum(len(p.promised))
}

// requestWitnesses asks a few of the nodes that are known, others at each time.
func (n *Node) requestWitnesses() {
	f := n.bootstrapper
	nodes := slices.Concat(f.targets(), n.hints.others, n.views.Neighbours())
	nodes = slices.Compact(cluster.Sorted(nodes))
	request := &wire.WitnessRequest{Number: f.proposal.number, Seeds: f.seeds}
	for range min(witnessFanout, len(nodes)) {
		f.nextWitness++
		n.send(nodes[f.nextWitness%len(nodes)], wire.Message{WitnessRequest: request})
	}
}

func (n *Node) onWitnessRequest(from string, m *wire.WitnessRequest) {
	if !slices.Equal(m.Seeds, n.bootstrapper.seeds) {
		return
	}
	response := &wire.WitnessResponse{Number: m.Number, IsFirstStart: n.isFirstStart(), KnowsFleet: n.knowsFleet()}
	if response.IsFirstStart || response.KnowsFleet {
		n.send(from, wire.Message{WitnessResponse: response})
	}
}

func (n *Node) onWitnessResponse(m *wire.WitnessResponse) {
	f := n.bootstrapper
	f.hasSeenFleet = f.hasSeenFleet || m.KnowsFleet
	p := f.proposal
	if p == nil || m.Number != p.number || !m.IsFirstStart || f.chosen != nil {
		return
	}
	p.isWitnessed = true
	if n.beginAcceptPhase() {
		n.sendProposal()
	}
}
