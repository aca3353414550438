package control

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// Recovery of acceptors that were started again before their vote was on disk. Nobody can tell
// them from acceptors whose folder was lost, so they are amnesiac: their promises count only toward a
// recovery quorum, and only while some node vouches that this still is the first start. The safety
// argument stands in docs/control-safety/first-start.md.

// witnessesAsked is how many nodes are asked at once whether this still is the first start.
const witnessesAsked = 8

// IncarnationID names an acceptor that began in a restart, on a folder without a vote.
type IncarnationID string

// AnnounceAmnesiac tells the seeds of an empty member whose earlier lives may have voted.
type AnnounceAmnesiac struct {
	Member      Member        `json:"member"`
	Incarnation IncarnationID `json:"incarnation"`
	Seeds       []string      `json:"seeds"` // those that it goes by
}

// FirstSeeds tells an amnesiac member which seeds the first start has: the settings of a restart may
// name others.
type FirstSeeds struct {
	Seeds []string `json:"seeds"`
}

// FoundWitnessAsk asks any node whether this still is the first start of the fleet with these seeds.
type FoundWitnessAsk struct {
	Ballot FoundingBallot `json:"ballot"`
	Seeds  []string       `json:"seeds"`
}

// FoundWitness answers a FoundWitnessAsk.
type FoundWitness struct {
	Ballot FoundingBallot `json:"ballot"`
	// IsFirstStart: the sender is in its first life, of the first start with those seeds, and has heard
	// of no fleet.
	IsFirstStart bool `json:"first_start,omitempty"`
	KnowsFleet   bool `json:"knows_fleet,omitempty"`
}

// hearAmnesiac takes the word of an amnesiac member. A ballot that does not name it can't recover
// it, so the next one has to.
func (f *founder) hearAmnesiac(now kernel.Micros, m *AnnounceAmnesiac) {
	if _, isKnown := f.known()[m.Member.ID]; !isKnown {
		f.grownAt = now
	}
	f.amnesiacs[m.Member.ID] = announced{m.Member, now}
	isAcceptor := f.areMembersAcceptors() || slices.Contains(f.seeds, m.Member.Address)
	if !isAcceptor {
		return
	}
	f.learnIncarnations([]IncarnationID{m.Incarnation})
	if f.proposal != nil && !slices.Contains(f.proposal.incarnations, m.Incarnation) {
		f.grownAt, f.proposal = now, nil
	}
}

// onAnnounceAmnesiac takes the word of an amnesiac member, and sets its seeds right.
func (n *Node) onAnnounceAmnesiac(from string, m *AnnounceAmnesiac) {
	f := n.founder
	f.hearAmnesiac(n.now, m)
	if n.isFirstStart() && !slices.Equal(m.Seeds, f.seeds) {
		n.send(from, Message{FirstSeeds: &FirstSeeds{f.seeds}})
	}
}

// onFirstSeeds has an amnesiac acceptor go by the seeds of the first start. What it promised for
// other seeds can't have mattered, since no node in its first life was told those.
func (n *Node) onFirstSeeds(m *FirstSeeds) {
	f := n.founder
	if f.vote == nil || !f.vote.IsAmnesiac || len(m.Seeds) == 0 {
		return
	}
	f.seeds, f.vote.Seeds = m.Seeds, m.Seeds
	f.rank = slices.Index(f.seeds, n.self())
	f.proposal = nil
}

// announceAmnesiac tells the seeds, and one after another the nodes that have written to this one:
// some of them may know better which the seeds are.
func (n *Node) announceAmnesiac() {
	f := n.founder
	targets := f.seeds
	if len(n.otherHints) > 0 {
		f.announceTurn++
		targets = append(slices.Clone(targets), n.otherHints[f.announceTurn%len(n.otherHints)])
	}
	word := &AnnounceAmnesiac{n.core.settings.Self, f.vote.Incarnation, f.seeds}
	for _, target := range targets {
		n.send(target, Message{AnnounceAmnesiac: word})
	}
}

// learnIncarnations keeps them for the next ballot, which has to name all.
func (f *founder) learnIncarnations(incarnations []IncarnationID) {
	f.incarnations = append(f.incarnations, incarnations...)
	slices.Sort(f.incarnations)
	f.incarnations = slices.Compact(f.incarnations)
}

// knowsFleet tells whether this node has heard of any fleet that was founded.
func (n *Node) knowsFleet() bool {
	return n.founder.isFleetHeard || n.founding() != "" || n.lease.applied != nil
}

// isFirstStart tells whether this node can vouch for the first start.
func (n *Node) isFirstStart() bool { return n.settings.Bootstrap && !n.knowsFleet() }

// mayRecover tells whether the own ballot recovers the amnesiac acceptors that have promised it.
func (n *Node) mayRecover() bool {
	p := n.founder.proposal
	isWitnessed := p.isWitnessed || n.isFirstStart()
	return isWitnessed && !n.knowsFleet() && n.founder.isRecoveryQuorum(len(p.promised))
}

// askWitnesses asks a few of the nodes that are known, others at each time.
func (n *Node) askWitnesses() {
	f := n.founder
	nodes := slices.Concat(f.targets(), n.otherHints, n.views.Neighbours())
	nodes = slices.Compact(sorted(nodes))
	ask := &FoundWitnessAsk{Ballot: f.proposal.ballot, Seeds: f.seeds}
	for range min(witnessesAsked, len(nodes)) {
		f.witnessTurn++
		n.send(nodes[f.witnessTurn%len(nodes)], Message{FoundWitnessAsk: ask})
	}
}

func (n *Node) onWitnessAsk(from string, m *FoundWitnessAsk) {
	if !slices.Equal(m.Seeds, n.founder.seeds) {
		return
	}
	witness := &FoundWitness{Ballot: m.Ballot, IsFirstStart: n.isFirstStart(), KnowsFleet: n.knowsFleet()}
	if witness.IsFirstStart || witness.KnowsFleet {
		n.send(from, Message{FoundWitness: witness})
	}
}

func (n *Node) onWitness(m *FoundWitness) {
	f := n.founder
	f.isFleetHeard = f.isFleetHeard || m.KnowsFleet
	p := f.proposal
	if p == nil || m.Ballot != p.ballot || !m.IsFirstStart || f.chosen != nil {
		return
	}
	p.isWitnessed = true
	if n.askAcceptance() {
		n.sendProposal()
	}
}
