package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/kernel"
)

// What a node knows of the members of a first start, from their announcements.

// Spans of the announcements.
const (
	announceEvery  = 100 * kernel.Millisecond
	announceFresh  = kernel.Second
	announceQuiet  = 400 * kernel.Millisecond // since the last newcomer, or another's ballot
	announceMissed = 800 * kernel.Millisecond // more, while fewer are known than are to vote
)

type announced struct {
	member Member
	at     kernel.Micros
}

// founder is a node's part in founding a fleet whose seeds need no folder.
type founder struct {
	// seeds are the proposers, sorted: that is the order in which they come forward. An acceptor
	// goes by those of its vote, whatever a later life is told.
	seeds []string
	rank  int // the own place among them, or -1
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
	amnesiacs map[MemberID]announced // see founding_recovery.go
	// incarnations are the amnesiac acceptors that were heard of, sorted.
	incarnations []IncarnationID
	// isFleetHeard: some node has named a founding in a message.
	isFleetHeard bool
	witnessTurn  int
	announceTurn int
	grownAt      kernel.Micros
	highest      FoundingBallot // of any that was seen
	highestAt    kernel.Micros
	proposal     *foundingProposal
	chosen       *Document
}

func newFounder(settings NodeSettings, random *rand.Rand, now kernel.Micros) *founder {
	self := settings.Identity.Address
	f := &founder{
		seeds: firstSeeds(settings), tolerance: (settings.leastVoters() - 1) / 2, startedAt: now,
		firstLives: map[string]MemberID{}, members: map[MemberID]announced{}, amnesiacs: map[MemberID]announced{},
	}
	f.rank = slices.Index(f.seeds, self)
	f.vote = settings.firstVote(fmt.Sprintf("life-%d-%x", settings.Start, random.Uint64()))
	if f.vote != nil {
		f.vote.Seeds = f.seeds
		f.learnIncarnations(f.vote.Incarnations)
	}
	return f
}

// firstSeeds gives the seeds whose first start this is: those of the vote that the folder holds,
// or else those that this life is told.
func firstSeeds(settings NodeSettings) []string {
	seeds := settings.Seeds
	if settings.FoundingVote != nil && len(settings.FoundingVote.Seeds) > 0 {
		seeds = settings.FoundingVote.Seeds
	}
	if len(seeds) == 0 {
		seeds = []string{settings.Identity.Address}
	}
	return sorted(slices.Clone(seeds))
}

// isSameAcceptor tells whether a seed is the acceptor that was first seen at its address. Nodes
// that are no acceptors name none, and have nothing to forget. One that names an incarnation has a folder,
// and says itself what it forgot.
func (f *founder) isSameAcceptor(address string, acceptor MemberID, incarnation IncarnationID) bool {
	if acceptor == "" || incarnation != "" || !slices.Contains(f.seeds, address) {
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

// known are all members that were heard, the amnesiac ones too.
func (f *founder) known() map[MemberID]announced {
	found := maps.Clone(f.amnesiacs)
	maps.Copy(found, f.members)
	return found
}

// freshOf gives the members that were heard lately, in order of their ids.
func freshOf(members map[MemberID]announced, now kernel.Micros) []Member {
	found := []Member{}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		if now-members[id].at <= announceFresh {
			found = append(found, members[id].member)
		}
	}
	return found
}

// addressesOf gives the addresses of members. A machine whose folder was lost comes back as another
// member at the same one.
func addressesOf(members map[MemberID]announced) []string {
	found := []string{}
	for _, known := range members {
		found = append(found, known.member.Address)
	}
	return slices.Compact(sorted(found))
}

// targets are the addresses of acceptors, and of the other proposers, which give way then.
func (f *founder) targets() []string { return f.addressesWith(f.known()) }

// addressesWith gives the addresses of the seeds and, where they accept, of members.
func (f *founder) addressesWith(members map[MemberID]announced) []string {
	if !f.areMembersAcceptors() {
		return f.seeds
	}
	return slices.Compact(sorted(append(addressesOf(members), f.seeds...)))
}

// withSilent adds members that have fallen silent, as long as fewer are there than are to vote.
// One that comes back votes at once then, and the others are a majority without it.
func withSilent(members map[MemberID]announced, fresh []Member, least int) []Member {
	found := slices.Clone(fresh)
	for _, id := range slices.Sorted(maps.Keys(members)) {
		member := members[id].member
		isThere := slices.ContainsFunc(found, func(other Member) bool { return other.Address == member.Address })
		if len(found) < least && len(found) < 2*len(fresh)-1 && !isThere {
			found = append(found, member)
		}
	}
	return found
}
