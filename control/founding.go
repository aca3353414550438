package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinloom/kernel"
)

// The proposer's half of the founding, and the announcements that it goes by. The safety
// argument stands in docs/control-safety/first-start.md.

// Spans of a founding.
const (
	announceEvery  = 100 * kernel.Millisecond
	announceFresh  = kernel.Second
	announceQuiet  = 400 * kernel.Millisecond // since the last newcomer, or another's ballot
	announceMissed = 800 * kernel.Millisecond // more, while fewer are known than are to vote
	proposerPause  = 300 * kernel.Millisecond // by which each seed gives way to the one before it
	// firstContact is how long a proposer waits for members that it has never heard before it takes
	// them for lost.
	firstContact = 3 * kernel.Second
)

type announced struct {
	member Member
	at     kernel.Micros
}

// founder is a node's part in founding a fleet whose seeds need no folder.
type founder struct {
	seeds []string // sorted: the proposers, in the order in which they come forward
	rank  int      // the own place among them, or -1
	// tolerance is how many members may be lost at once. Up to one, a majority of the seeds
	// accepts; beyond that seeds alone are too few, and the members do.
	tolerance int
	startedAt kernel.Micros
	vote      *FoundingVote // nil: no acceptor
	// firstLives pins each seed to the acceptor that was first seen there: a life that came
	// later has forgotten what the first one promised.
	firstLives map[string]MemberID

	timer     kernel.Micros
	members   map[MemberID]announced
	grownAt   kernel.Micros
	highest   FoundingBallot // of any that was seen
	highestAt kernel.Micros
	proposal  *foundingProposal
	chosen    *Document
}

// foundingProposal is one ballot of this node's own.
type foundingProposal struct {
	ballot   FoundingBallot
	promised map[MemberID]string // acceptors to their addresses
	accepted map[MemberID]bool
	adopted  FoundingBallot // under which the document was accepted before, if it was
	document *Document      // what acceptors had accepted; then what is proposed
	isAsking bool           // enough have promised, so acceptance is asked for
}

func newFounder(settings NodeSettings, random *rand.Rand, now kernel.Micros) *founder {
	self := settings.Identity.Address
	f := &founder{
		seeds: sorted(slices.Clone(settings.Seeds)), tolerance: (settings.Voters - 1) / 2, startedAt: now,
		firstLives: map[string]MemberID{}, members: map[MemberID]announced{},
	}
	if len(f.seeds) == 0 {
		f.seeds = []string{self}
	}
	f.rank = slices.Index(f.seeds, self)
	f.vote = settings.firstVote(MemberID(fmt.Sprintf("life-%d-%x", settings.Start, random.Uint64())))
	return f
}

// areMembersAcceptors tells that so many may be lost that most of the seeds may be among them.
func (f *founder) areMembersAcceptors() bool { return f.tolerance > 1 }

// isQuorum tells whether any two sets of so many acceptors share one.
func (f *founder) isQuorum(now kernel.Micros, count int) bool {
	if !f.areMembersAcceptors() {
		return 2*count > len(f.seeds)
	}
	// Assumption Core-bound: a first start has at most 4*tolerance+1 members.
	isWide := count >= 2*f.tolerance+1 && 2*count > len(f.members)
	return isWide || f.isSmallCoreQuorum(now, count)
}

// isSmallCoreQuorum serves a core of so few members that, with the tolerated number lost, no
// wide quorum is left. All members that are heard have to accept, more than may be lost at once and a
// majority of all that are known. Assumption First-contact: whoever was not heard for so long is lost.
func (f *founder) isSmallCoreQuorum(now kernel.Micros, count int) bool {
	heard := len(f.fresh(now))
	if now-f.startedAt < firstContact || heard > 2*f.tolerance {
		return false
	}
	return count >= heard && count > f.tolerance && 2*count > len(f.targets())
}

// isFirstLife tells whether a seed is the acceptor that was first seen at its address. Nodes
// that are no acceptors name none, and have nothing to forget.
func (f *founder) isFirstLife(address string, acceptor MemberID) bool {
	if acceptor == "" || !slices.Contains(f.seeds, address) {
		return true
	}
	known, isKnown := f.firstLives[address]
	if !isKnown {
		f.firstLives[address] = acceptor
		return true
	}
	return known == acceptor
}

func (f *founder) sawBallot(now kernel.Micros, ballot FoundingBallot) {
	if f.highest.before(ballot) {
		f.highest, f.highestAt = ballot, now
	}
}

// hear takes the word of an empty member.
func (f *founder) hear(now kernel.Micros, member Member) {
	if _, isKnown := f.members[member.ID]; !isKnown {
		f.grownAt = now
	}
	f.members[member.ID] = announced{member, now}
}

// fresh gives the members that were heard lately, in order of their ids.
func (f *founder) fresh(now kernel.Micros) []Member {
	found := []Member{}
	for _, id := range slices.Sorted(maps.Keys(f.members)) {
		if now-f.members[id].at <= announceFresh {
			found = append(found, f.members[id].member)
		}
	}
	return found
}

// targets are the addresses of acceptors, and of the other proposers, which give way then.
func (f *founder) targets() []string {
	found := slices.Clone(f.seeds)
	if f.areMembersAcceptors() {
		for _, known := range f.members {
			found = append(found, known.member.Address)
		}
	}
	return slices.Compact(sorted(found))
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
		for _, seed := range f.seeds {
			n.send(seed, Message{Announce: &Announce{n.core.settings.Self}})
		}
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

// propose opens a ballot when the announcements have come to rest and no other seed is at it.
func (n *Node) propose() {
	f := n.founder
	quiet := announceQuiet + kernel.Micros(f.rank)*proposerPause
	if len(f.members) < n.leastVoters() {
		quiet += announceMissed
	}
	if n.now-max(f.grownAt, f.highestAt) < quiet {
		return
	}
	fresh := f.fresh(n.now)
	if len(fresh) == 0 || f.areMembersAcceptors() && !f.isQuorum(n.now, len(fresh)) {
		return
	}
	life := fmt.Sprintf("%s/%d/%x", n.self(), n.settings.Start, n.random.Uint64())
	ballot := FoundingBallot{f.highest.Round + 1, life}
	f.proposal = &foundingProposal{ballot: ballot, promised: map[MemberID]string{}, accepted: map[MemberID]bool{}}
	f.sawBallot(n.now, ballot)
	n.note("core", "propose founding", fmt.Sprintf("ballot %d, %d announced", ballot.Round, len(fresh)))
	n.sendProposal()
}

// sendProposal asks whoever has not answered yet.
func (n *Node) sendProposal() {
	f := n.founder
	p := f.proposal
	if n.askAcceptance() && n.countAccepted() {
		return
	}
	acceptor := MemberID("")
	if f.vote != nil {
		acceptor = f.vote.Acceptor
		f.isFirstLife(n.self(), acceptor)
	}
	answered := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(p.promised)) {
		answered[p.promised[id]] = true
		if p.isAsking && !p.accepted[id] {
			n.send(p.promised[id], Message{FoundAccept: &FoundAccept{Ballot: p.ballot, Acceptor: id, Document: p.document}})
		}
	}
	for _, address := range f.targets() {
		if !answered[address] {
			n.send(address, Message{FoundPrepare: &FoundPrepare{Ballot: p.ballot, Acceptor: acceptor}})
		}
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
		n.giveWay(m.Promised)
		return
	}
	if !f.isElector(from, m.Acceptor) {
		return
	}
	p.promised[m.Acceptor] = from
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
	if p.isAsking || !f.isQuorum(n.now, len(p.promised)) {
		return p.isAsking
	}
	if p.document == nil {
		p.document = n.firstDocument()
	}
	p.isAsking = p.document != nil
	return p.isAsking
}

// isElector tells whether an acceptor's word counts.
func (f *founder) isElector(address string, acceptor MemberID) bool {
	if f.areMembersAcceptors() {
		_, isMember := f.members[acceptor]
		return isMember
	}
	return slices.Contains(f.seeds, address) && f.isFirstLife(address, acceptor)
}

// leastVoters is how many voters there should be at the least.
func (n *Node) leastVoters() int {
	if n.settings.Voters > 0 {
		return n.settings.Voters
	}
	return voterCount
}

// firstDocument names the founders among the members that are there now; nil if none is.
func (n *Node) firstDocument() *Document {
	fresh := n.founder.fresh(n.now)
	if len(fresh) == 0 {
		return nil
	}
	founders := n.founder.withSilent(fresh, n.leastVoters())
	return &Document{
		Founding: digestOf([]byte(fmt.Sprint(n.random.Uint64(), n.random.Uint64(), n.settings.Start))),
		Revision: 1, Term: 1, Voters: chooseVoters(founders, wantedVoters(n.leastVoters(), founders)),
		Homes: map[string]string{}, Drained: map[string]uint64{},
	}
}

// withSilent adds members that have fallen silent, as long as fewer are there than are to vote.
// One that comes back votes at once then, and the others are a majority without it.
func (f *founder) withSilent(fresh []Member, least int) []Member {
	found := slices.Clone(fresh)
	for _, id := range slices.Sorted(maps.Keys(f.members)) {
		member := f.members[id].member
		isThere := slices.ContainsFunc(found, func(other Member) bool { return other.Address == member.Address })
		if len(found) < least && len(found) < 2*len(fresh)-1 && !isThere {
			found = append(found, member)
		}
	}
	return found
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
