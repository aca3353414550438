package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The proposer's part of the bootstrap. The bootstrap is a single instance of Paxos that chooses the first document of
// a cluster. The safety argument is in docs/control-safety/first-start.md.

// proposerBackoff staggers the proposals of the seeds. A seed waits this much longer for each seed that precedes it in
// the sorted list, so that the seeds do not keep outbidding each other's proposals (dueling proposers).
const proposerBackoff = 300 * kernel.Millisecond

// bootstrapProposal is a proposal that this node has opened, with the answers of the acceptors so far.
type bootstrapProposal struct {
	number cluster.ProposalNumber
	// incarnations identify the acceptors that lost their state. The proposal names all that were known when it was
	// opened, because an acceptor that lost its state promises only a proposal that names it.
	incarnations    []cluster.IncarnationID
	promised        map[cluster.MemberID]promisedAcceptor
	accepted        map[cluster.MemberID]bool
	adopted         cluster.ProposalNumber // highest number under which a document was accepted earlier; zero: none
	document        *cluster.Document      // the one accepted under that number, or else a new one; nil: none yet
	isInAcceptPhase bool                   // a quorum has promised, and the acceptors are asked to accept
	isRecovery      bool                   // the quorum includes acceptors that lost their state, so they are asked to accept too
	isWitnessed     bool                   // some node has confirmed that this is still the first start
}

// promisedAcceptor is an acceptor that has promised the current proposal, as described by its latest promise.
type promisedAcceptor struct {
	address      string
	hasLostState bool
}

// countWithState returns how many of the acceptors that promised have kept their state.
func (p *bootstrapProposal) countWithState() int {
	count := 0
	for _, acceptor := range p.promised {
		if !acceptor.hasLostState {
			count++
		}
	}
	return count
}

// canBootstrap reports whether this node is a member with durable votes that is an acceptor of the bootstrap
// and has neither a document nor a term yet.
func (n *Node) canBootstrap() bool {
	return n.core != nil && n.settings.hasDurableVotes() && n.core.doc == nil && n.bootstrapper.acceptor != nil && n.settings.HardState.Term == 0
}

func (n *Node) onBootstrap(from string, m wire.Message) {
	f := n.bootstrapper
	if f == nil {
		return
	}
	switch {
	case m.BootstrapAnnounce != nil:
		f.onAnnounce(n.now, m.BootstrapAnnounce.Member)
	case m.AnnounceStateLoss != nil:
		n.onAnnounceStateLoss(from, m.AnnounceStateLoss)
	case m.FirstSeeds != nil:
		n.onFirstSeeds(m.FirstSeeds)
	case m.WitnessRequest != nil:
		n.onWitnessRequest(from, m.WitnessRequest)
	case m.WitnessResponse != nil:
		n.onWitnessResponse(m.WitnessResponse)
	case m.BootstrapPrepare != nil:
		n.onPrepare(from, m.BootstrapPrepare)
	case m.BootstrapPromise != nil:
		n.onPromise(from, m.BootstrapPromise)
	case m.BootstrapAccept != nil:
		n.onAccept(from, m.BootstrapAccept)
	case m.BootstrapAccepted != nil:
		n.onAccepted(m.BootstrapAccepted)
	case m.BootstrapCommit != nil:
		n.onBootstrapCommit(m.BootstrapCommit.Document)
	}
}

// onBootstrapCommit installs the chosen document if this member is one of its voters and can still bootstrap.
func (n *Node) onBootstrapCommit(document *cluster.Document) {
	if document == nil || !n.canBootstrap() {
		return
	}
	if _, isIn := document.Voter(n.settings.Member); isIn {
		n.core.installBootstrapDocument(document)
	}
}

// installBootstrapDocument installs the first document of a cluster, unless this member already has a document.
func (c *Core) installBootstrapDocument(first *cluster.Document) {
	if c.doc != nil || !c.settings.HasFolder {
		return
	}
	c.term = max(c.term, first.Term)
	c.note(decision.Core, decision.Bootstrap, "from a document with %d voters", len(first.Voters))
	c.doc = first
	c.save(first, func() {
		// Only the first voter starts an election at once, so that the votes are not split.
		if first.Voters[0].ID == c.settings.Self.ID && c.role == follower {
			c.startElection(true, false)
		}
	})
}

func (n *Node) tickBootstrap() {
	f := n.bootstrapper
	// The bootstrap ends for this node when a document is in force. Until then other voters may not
	// have received the chosen document.
	if f == nil || n.lease.Applied() != nil || n.now < f.nextTickAt {
		return
	}
	f.nextTickAt = n.now + announceInterval
	if n.canBootstrap() {
		n.announceMember()
	}
	switch {
	case f.rank < 0:
	case f.chosen != nil:
		n.sendBootstrapCommit()
	case f.proposal != nil:
		n.sendProposal()
	default:
		n.openProposal()
	}
}

// announceMember announces this member, which has no document yet, to the seeds. A member that lost its state announces
// that loss instead.
func (n *Node) announceMember() {
	if n.bootstrapper.acceptor.HasLostState {
		n.announceStateLoss()
		return
	}
	for _, seed := range n.bootstrapper.seeds {
		n.send(seed, wire.Message{BootstrapAnnounce: &wire.BootstrapAnnounce{Member: n.core.settings.Self}})
	}
}

// openProposal opens a proposal if enough members are present, and if neither a new member nor a higher proposal number
// was seen for a quiet span. The span is longer for seeds that come later in the list, and while fewer members are
// known than voters are wanted.
func (n *Node) openProposal() {
	f := n.bootstrapper
	quietSpan := announceQuietSpan + kernel.Micros(f.rank)*proposerBackoff
	if len(f.allMembers()) < n.settings.minVoters() {
		quietSpan += missingVotersSpan
	}
	if n.now-max(f.lastJoinedAt, f.highestSeenAt) < quietSpan || !f.isProposalDue(n.now) {
		return
	}
	proposer := fmt.Sprintf("%s/%d/%x", n.self(), n.settings.Start, n.random.Uint64())
	number := cluster.ProposalNumber{Round: f.highestNumber.Round + 1, Proposer: proposer}
	f.proposal = &bootstrapProposal{
		number: number, incarnations: slices.Clone(f.incarnations), promised: map[cluster.MemberID]promisedAcceptor{}, accepted: map[cluster.MemberID]bool{},
	}
	f.observeNumber(n.now, number)
	n.note(decision.Core, decision.ProposeBootstrap, fmt.Sprintf("round %d, %d members announced, %d of them without their state", number.Round, len(f.allMembers()), len(f.stateLossMembers)))
	n.sendProposal()
}

// sendProposal sends a prepare request to every target that has not promised yet. In the accept phase it also sends an
// accept request to each acceptor that has promised but not accepted; acceptors that lost their state are included only
// in a recovery. If the promises suffice for a recovery that no node has confirmed yet, it requests witnesses.
func (n *Node) sendProposal() {
	f := n.bootstrapper
	p := f.proposal
	if n.beginAcceptPhase() && n.countAccepted() {
		return
	}
	prepare := &wire.BootstrapPrepare{Number: p.number, Seeds: f.seeds, Incarnations: p.incarnations}
	if f.acceptor != nil {
		prepare.Acceptor, prepare.Incarnation = f.acceptor.Acceptor, f.acceptor.Incarnation
		f.isSameAcceptor(n.self(), prepare.Acceptor, prepare.Incarnation)
	}
	answered := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(p.promised)) {
		acceptor := p.promised[id]
		answered[acceptor.address] = true
		isAsked := p.isInAcceptPhase && (p.isRecovery || !acceptor.hasLostState)
		if isAsked && !p.accepted[id] {
			n.send(acceptor.address, wire.Message{BootstrapAccept: &wire.BootstrapAccept{Number: p.number, Acceptor: id, Document: p.document}})
		}
	}
	for _, address := range f.targets() {
		if !answered[address] {
			n.send(address, wire.Message{BootstrapPrepare: prepare})
		}
	}
	if !p.isInAcceptPhase && !p.isWitnessed && f.isRecoveryQuorum(len(p.promised)) {
		n.requestWitnesses()
	}
}

// abandonProposal drops this node's proposal because a higher one was seen.
func (n *Node) abandonProposal(higher cluster.ProposalNumber) {
	n.bootstrapper.observeNumber(n.now, higher)
	n.bootstrapper.proposal = nil
}

func (n *Node) onPromise(from string, m *wire.BootstrapPromise) {
	f := n.bootstrapper
	p := f.proposal
	if p == nil || m.Number != p.number || f.chosen != nil {
		return
	}
	if m.IsRejected {
		f.learnIncarnations(m.Incarnations)
		n.abandonProposal(m.Promised)
		return
	}
	if !f.isCountedPromise(from, m) {
		return
	}
	p.promised[m.Acceptor] = promisedAcceptor{from, m.HasLostState}
	p.isWitnessed = p.isWitnessed || m.IsFirstStart
	if !p.isInAcceptPhase && m.Document != nil && p.adopted.Before(m.Accepted) {
		// This document may have been chosen already, so nothing else may be proposed.
		p.adopted, p.document = m.Accepted, m.Document
	}
	if n.beginAcceptPhase() {
		n.sendProposal()
	}
}

// beginAcceptPhase fixes the proposed document once a quorum has promised, and reports whether the
// proposal is in its accept phase.
func (n *Node) beginAcceptPhase() bool {
	f := n.bootstrapper
	p := f.proposal
	if p.isInAcceptPhase {
		return true
	}
	isOrdinary := f.isQuorum(n.now, p.countWithState())
	if !isOrdinary && !n.mayRecover() {
		return false
	}
	p.isRecovery = !isOrdinary
	if p.document == nil {
		p.document = n.bootstrapDocument()
	}
	p.isInAcceptPhase = p.document != nil
	return p.isInAcceptPhase
}

// isCountedPromise reports whether a promise from this address counts toward a quorum. If all members are acceptors, it
// has to come from a member that was announced to this node. Otherwise it has to come from a seed, and from the
// acceptor that was first seen at that seed's address.
func (f *bootstrapper) isCountedPromise(address string, m *wire.BootstrapPromise) bool {
	if f.areMembersAcceptors() {
		_, isKnown := f.allMembers()[m.Acceptor]
		return isKnown
	}
	return slices.Contains(f.seeds, address) && f.isSameAcceptor(address, m.Acceptor, m.Incarnation)
}

// minVoters returns the least number of voters wanted: the setting, or defaultVoterCount if that is zero.
func (s NodeSettings) minVoters() int {
	if s.Voters > 0 {
		return s.Voters
	}
	return defaultVoterCount
}

// bootstrapDocument returns a first document whose voters are chosen from the members announced recently, or nil if
// there are no such members. If they are too few, members announced earlier are added; see fillWithUnreachable. A
// recovery also chooses from the members that lost their state.
func (n *Node) bootstrapDocument() *cluster.Document {
	f := n.bootstrapper
	members := f.members
	if f.proposal != nil && f.proposal.isRecovery {
		members = f.allMembers()
	}
	recent := recentMembers(members, n.now)
	if len(recent) == 0 {
		return nil
	}
	candidates := fillWithUnreachable(members, recent, n.settings.minVoters())
	return &cluster.Document{
		ClusterID: cluster.DigestOf([]byte(fmt.Sprint(n.random.Uint64(), n.random.Uint64(), n.settings.Start))),
		Revision:  1, Term: 1, Voters: chooseVoters(candidates, wantedVoters(n.settings.minVoters(), candidates)),
		Coordinators: map[string]string{}, DrainedZones: map[string]uint64{},
	}
}

func (n *Node) onAccepted(m *wire.BootstrapAccepted) {
	f := n.bootstrapper
	p := f.proposal
	if p == nil || m.Number != p.number || f.chosen != nil {
		return
	}
	if m.IsRejected {
		n.abandonProposal(m.Promised)
		return
	}
	if _, isAsked := p.promised[m.Acceptor]; !isAsked {
		return
	}
	p.accepted[m.Acceptor] = true
	n.countAccepted()
}

// countAccepted reports whether the proposal has been chosen, and sends the commit to its voters if so. It is also
// called by each tick, because a quorum can become complete by the passing of time alone; see isSmallCoreQuorum.
func (n *Node) countAccepted() bool {
	f := n.bootstrapper
	p := f.proposal
	if !p.isInAcceptPhase || !f.isQuorum(n.now, len(p.accepted)) {
		return false
	}
	f.chosen = p.document
	n.note(decision.Core, decision.ChooseBootstrapMembers, fmt.Sprintf("%v, accepted by %d", f.chosen.VoterAddresses(), len(p.accepted)))
	n.sendBootstrapCommit()
	return true
}

// sendBootstrapCommit sends the chosen document to its voters. It is repeated until a document is in force on this
// node.
func (n *Node) sendBootstrapCommit() {
	for _, member := range n.bootstrapper.chosen.Voters {
		n.send(member.Address, wire.Message{BootstrapCommit: &wire.BootstrapCommit{Document: n.bootstrapper.chosen}})
	}
}
