package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Recovery of acceptors that were restarted before their state was on disk. They can't be told apart from
// acceptors whose folder was lost, so they count as having lost their state: their promises count only
// toward a recovery quorum, and only if some node confirms that this is still the first start. The safety
// argument is in docs/control-safety/first-start.md.

// witnessFanout is how many nodes are asked at once whether this is still the first start.
const witnessFanout = 8

// onAnnounceStateLoss records the announcement of a member that lost its state. A proposal that does not
// name it can't recover it, so such a proposal is dropped, and the next one names it.
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

// onAnnounceStateLoss records the announcement of a member that lost its state. If the member uses other seeds, and
// this node can confirm that this is still the first start, it sends the member the seeds of the first start.
func (n *Node) onAnnounceStateLoss(from string, m *wire.AnnounceStateLoss) {
	f := n.bootstrapper
	f.onAnnounceStateLoss(n.now, m)
	if n.isFirstStart() && !slices.Equal(m.Seeds, f.seeds) {
		n.send(from, wire.Message{FirstSeeds: &wire.FirstSeeds{Seeds: f.seeds}})
	}
}

// onFirstSeeds makes an acceptor that lost its state use the seeds of the first start. A promise that it
// gave for other seeds can't have mattered, because no node of the first start was configured with those.
func (n *Node) onFirstSeeds(m *wire.FirstSeeds) {
	f := n.bootstrapper
	if f.acceptor == nil || !f.acceptor.HasLostState || len(m.Seeds) == 0 {
		return
	}
	f.seeds, f.acceptor.Seeds = m.Seeds, m.Seeds
	f.rank = slices.Index(f.seeds, n.self())
	f.proposal = nil
}

// announceStateLoss announces to the seeds that this member lost its state. Each call also sends the announcement to
// one of the nodes from which messages have arrived, a different one each time. If this member's settings name other
// seeds than those of the first start, that node may know the right ones.
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

// learnIncarnations records incarnations of acceptors that lost their state. The next proposal names all recorded ones.
func (f *bootstrapper) learnIncarnations(incarnations []cluster.IncarnationID) {
	f.incarnations = append(f.incarnations, incarnations...)
	slices.Sort(f.incarnations)
	f.incarnations = slices.Compact(f.incarnations)
}

// knowsFleet reports whether this node has heard of a cluster that was bootstrapped.
func (n *Node) knowsFleet() bool {
	return n.bootstrapper.hasSeenFleet || n.clusterID() != "" || n.lease.Applied() != nil
}

// isFirstStart reports whether this node can confirm that this is still the first start: its settings say so, and it
// knows of no bootstrapped cluster.
func (n *Node) isFirstStart() bool { return n.settings.IsBootstrap && !n.knowsFleet() }

// mayRecover reports whether this node's proposal may count the promises of acceptors that lost their state. That takes
// a recovery quorum of promises and a confirmation that this is still the first start, and this node must not know of a
// bootstrapped cluster.
func (n *Node) mayRecover() bool {
	p := n.bootstrapper.proposal
	isWitnessed := p.isWitnessed || n.isFirstStart()
	return isWitnessed && !n.knowsFleet() && n.bootstrapper.isRecoveryQuorum(len(p.promised))
}

// requestWitnesses asks up to witnessFanout known nodes whether this is still the first start. Each call continues with
// the next nodes of the list.
func (n *Node) requestWitnesses() {
	f := n.bootstrapper
	nodes := slices.Concat(f.targets(), n.hints.others, n.partialView.Neighbours())
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
