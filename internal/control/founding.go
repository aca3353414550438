package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// The proposer's half of the founding. The safety argument stands in
// docs/control-safety/first-start.md.

// proposerPause is by how much each seed gives way to the one before it.
const proposerPause = 300 * kernel.Millisecond

// foundingProposal is one ballot of this node's own.
type foundingProposal struct {
	ballot FoundingBallot
	// incarnations are the amnesiac acceptors that the ballot names: all that were known when it was opened.
	incarnations []IncarnationID
	promised     map[MemberID]elector
	accepted     map[MemberID]bool
	adopted      FoundingBallot // under which the document was accepted before, if it was
	document     *Document      // what acceptors had accepted; then what is proposed
	isAsking     bool           // enough have promised, so acceptance is asked for
	isRecovery   bool           // amnesiac acceptors were needed for that, so they are asked as well
	isWitnessed  bool           // some node has said that this still is the first start
}

// elector is an acceptor that has promised a ballot.
type elector struct {
	address    string
	isAmnesiac bool
}

// remembering is how many have promised that know all they ever promised.
func (p *foundingProposal) remembering() int {
	count := 0
	for _, elector := range p.promised {
		if !elector.isAmnesiac {
			count++
		}
	}
	return count
}

// mayFound tells of an empty member that knows all it ever promised.
func (n *Node) mayFound() bool {
	return n.core != nil && n.settings.votesDurably() && n.core.doc == nil && n.founder.vote != nil && n.settings.Ballot.Term == 0
}

func (n *Node) onFounding(from string, m Message) {
	f := n.founder
	if f == nil {
		return
	}
	switch {
	case m.Announce != nil:
		f.hear(n.now, m.Announce.Member)
	case m.AnnounceAmnesiac != nil:
		n.onAnnounceAmnesiac(from, m.AnnounceAmnesiac)
	case m.FirstSeeds != nil:
		n.onFirstSeeds(m.FirstSeeds)
	case m.FoundWitnessAsk != nil:
		n.onWitnessAsk(from, m.FoundWitnessAsk)
	case m.FoundWitness != nil:
		n.onWitness(m.FoundWitness)
	case m.FoundPrepare != nil:
		n.onPrepare(from, m.FoundPrepare)
	case m.FoundPromise != nil:
		n.onPromise(from, m.FoundPromise)
	case m.FoundAccept != nil:
		n.onAccept(from, m.FoundAccept)
	case m.FoundAccepted != nil:
		n.onAccepted(m.FoundAccepted)
	case m.Found != nil:
		n.onFound(m.Found.Document)
	}
}

// onFound takes the document that was chosen.
func (n *Node) onFound(document *Document) {
	if document == nil || !n.mayFound() {
		return
	}
	if _, isIn := document.voter(n.settings.Member); isIn {
		n.core.begin(document)
	}
}

// begin takes the first document of a fleet; a member that holds any takes none.
func (c *Core) begin(first *Document) {
	if c.doc != nil || !c.settings.HasFolder {
		return
	}
	c.term = max(c.term, first.Term)
	c.note("core", "found", "among %d founders", len(first.Voters))
	c.doc = first
	c.save(first, func() {
		// One stands at once, so that they need not split their votes.
		if first.Voters[0].ID == c.settings.Self.ID && c.role == follower {
			c.startElection(true, false)
		}
	})
}

func (n *Node) tickFounding() {
	f := n.founder
	// Once a document is in force nothing is left to do; until then the founders may not
	// have heard.
	if f == nil || n.lease.applied != nil || n.now < f.timer {
		return
	}
	f.timer = n.now + announceEvery
	if n.mayFound() {
		n.announceMember()
	}
	switch {
	case f.rank < 0:
	case f.chosen != nil:
		n.sendFound()
	case f.proposal != nil:
		n.sendProposal()
	default:
		n.propose()
	}
}

// announceMember tells the seeds of this empty member.
func (n *Node) announceMember() {
	if n.founder.vote.IsAmnesiac {
		n.announceAmnesiac()
		return
	}
	for _, seed := range n.founder.seeds {
		n.send(seed, Message{Announce: &Announce{n.core.settings.Self}})
	}
}

// propose opens a ballot when the announcements have come to rest and no other seed is at it.
func (n *Node) propose() {
	f := n.founder
	quiet := announceQuiet + kernel.Micros(f.rank)*proposerPause
	if len(f.known()) < n.settings.leastVoters() {
		quiet += announceMissed
	}
	if n.now-max(f.grownAt, f.highestAt) < quiet || !f.isBallotDue(n.now) {
		return
	}
	life := fmt.Sprintf("%s/%d/%x", n.self(), n.settings.Start, n.random.Uint64())
	ballot := FoundingBallot{f.highest.Round + 1, life}
	f.proposal = &foundingProposal{
		ballot: ballot, incarnations: slices.Clone(f.incarnations), promised: map[MemberID]elector{}, accepted: map[MemberID]bool{},
	}
	f.sawBallot(n.now, ballot)
	n.note("core", "propose founding", fmt.Sprintf("ballot %d, %d announced, %d of them amnesiac", ballot.Round, len(f.known()), len(f.amnesiacs)))
	n.sendProposal()
}

// sendProposal asks whoever has not answered yet.
func (n *Node) sendProposal() {
	f := n.founder
	p := f.proposal
	if n.askAcceptance() && n.countAccepted() {
		return
	}
	prepare := &FoundPrepare{Ballot: p.ballot, Seeds: f.seeds, Incarnations: p.incarnations}
	if f.vote != nil {
		prepare.Acceptor, prepare.Incarnation = f.vote.Acceptor, f.vote.Incarnation
		f.isSameAcceptor(n.self(), prepare.Acceptor, prepare.Incarnation)
	}
	answered := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(p.promised)) {
		elector := p.promised[id]
		answered[elector.address] = true
		isAsked := p.isAsking && (p.isRecovery || !elector.isAmnesiac)
		if isAsked && !p.accepted[id] {
			n.send(elector.address, Message{FoundAccept: &FoundAccept{Ballot: p.ballot, Acceptor: id, Document: p.document}})
		}
	}
	for _, address := range f.targets() {
		if !answered[address] {
			n.send(address, Message{FoundPrepare: prepare})
		}
	}
	if !p.isAsking && !p.isWitnessed && f.isRecoveryQuorum(len(p.promised)) {
		n.askWitnesses()
	}
}

// giveWay drops the own ballot for a higher one.
func (n *Node) giveWay(higher FoundingBallot) {
	n.founder.sawBallot(n.now, higher)
	n.founder.proposal = nil
}

func (n *Node) onPromise(from string, m *FoundPromise) {
	f := n.founder
	p := f.proposal
	if p == nil || m.Ballot != p.ballot || f.chosen != nil {
		return
	}
	if m.IsRefused {
		f.learnIncarnations(m.Incarnations)
		n.giveWay(m.Promised)
		return
	}
	if !f.isElector(from, m) {
		return
	}
	p.promised[m.Acceptor] = elector{from, m.IsAmnesiac}
	p.isWitnessed = p.isWitnessed || m.IsFirstStart
	if !p.isAsking && m.Document != nil && p.adopted.before(m.Accepted) {
		// It may have been chosen already, so nothing else may be proposed.
		p.adopted, p.document = m.Accepted, m.Document
	}
	if n.askAcceptance() {
		n.sendProposal()
	}
}

// askAcceptance settles what is proposed once enough have promised, and tells whether they have.
func (n *Node) askAcceptance() bool {
	f := n.founder
	p := f.proposal
	if p.isAsking {
		return true
	}
	isOrdinary := f.isQuorum(n.now, p.remembering())
	if !isOrdinary && !n.mayRecover() {
		return false
	}
	p.isRecovery = !isOrdinary
	if p.document == nil {
		p.document = n.firstDocument()
	}
	p.isAsking = p.document != nil
	return p.isAsking
}

// isElector tells whether an acceptor's promise counts.
func (f *founder) isElector(address string, m *FoundPromise) bool {
	if f.areMembersAcceptors() {
		_, isKnown := f.known()[m.Acceptor]
		return isKnown
	}
	return slices.Contains(f.seeds, address) && f.isSameAcceptor(address, m.Acceptor, m.Incarnation)
}

// leastVoters is how many voters there should be at the least.
func (s NodeSettings) leastVoters() int {
	if s.Voters > 0 {
		return s.Voters
	}
	return voterCount
}

// firstDocument names the founders among the members that are there now; nil if none is.
func (n *Node) firstDocument() *Document {
	f := n.founder
	members := f.members
	if f.proposal != nil && f.proposal.isRecovery {
		members = f.known()
	}
	fresh := freshOf(members, n.now)
	if len(fresh) == 0 {
		return nil
	}
	founders := withSilent(members, fresh, n.settings.leastVoters())
	return &Document{
		Founding: digestOf([]byte(fmt.Sprint(n.random.Uint64(), n.random.Uint64(), n.settings.Start))),
		Revision: 1, Term: 1, Voters: chooseVoters(founders, wantedVoters(n.settings.leastVoters(), founders)),
		Homes: map[string]string{}, Drained: map[string]uint64{},
	}
}

func (n *Node) onAccepted(m *FoundAccepted) {
	f := n.founder
	p := f.proposal
	if p == nil || m.Ballot != p.ballot || f.chosen != nil {
		return
	}
	if m.IsRefused {
		n.giveWay(m.Promised)
		return
	}
	if _, isAsked := p.promised[m.Acceptor]; !isAsked {
		return
	}
	p.accepted[m.Acceptor] = true
	n.countAccepted()
}

// countAccepted tells whether the proposal is chosen by now, and tells its voters if it is. That
// may also come with time alone, see isSmallCoreQuorum.
func (n *Node) countAccepted() bool {
	f := n.founder
	p := f.proposal
	if !p.isAsking || !f.isQuorum(n.now, len(p.accepted)) {
		return false
	}
	f.chosen = p.document
	n.note("core", "name founders", fmt.Sprintf("%v, accepted by %d", f.chosen.voterAddresses(), len(p.accepted)))
	n.sendFound()
	return true
}

// sendFound brings the one first document to its voters until it is in force.
func (n *Node) sendFound() {
	for _, member := range n.founder.chosen.Voters {
		n.send(member.Address, Message{Found: &Found{n.founder.chosen}})
	}
}
