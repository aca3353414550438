package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// What a node knows of the members of a first start, from their announcements.

// Spans of the announcements.
const (
	announceInterval  = 100 * kernel.Millisecond
	announceFreshSpan = kernel.Second
	announceQuietSpan = 400 * kernel.Millisecond // since the last newcomer, or another's ballot
	missingVotersSpan = 800 * kernel.Millisecond // more, while fewer are known than are to vote
)

type announcedMember struct {
	member cluster.Member
	seenAt kernel.Micros
}

// bootstrapper is a node's part in founding a fleet whose seeds need no folder.
type bootstrapper struct {
	// seeds are the proposers, sorted: that is the order in which they come forward. An acceptor
	// goes by those of its vote, whatever a later life is told.
	seeds []string
	rank  int // the own place among them, or -1
	// tolerance is how many members may be lost at once. Up to one, a majority of the seeds
	// accepts; beyond that seeds alone are too few, and the members do.
	tolerance int
	startedAt kernel.Micros
	acceptor  *cluster.AcceptorState // nil: no acceptor
	// firstAcceptors pins each seed to the acceptor that was first seen there: a life that came
	// later has forgotten what the first one promised.
	firstAcceptors map[string]cluster.MemberID

	nextTickAt       kernel.Micros
	members          map[cluster.MemberID]announcedMember
	stateLossMembers map[cluster.MemberID]announcedMember // see founding_recovery.go
	// incarnations are the amnesiac acceptors that were heard of, sorted.
	incarnations []cluster.IncarnationID
	// hasSeenFleet: some node has named a founding in a message.
	hasSeenFleet       bool
	nextWitness        int
	nextAnnounceTarget int
	lastJoinedAt       kernel.Micros
	highestNumber      cluster.ProposalNumber // of any that was seen
	highestSeenAt      kernel.Micros
	proposal           *bootstrapProposal
	chosen             *cluster.Document
}

func newBootstrapper(settings NodeSettings, random *rand.Rand, now kernel.Micros) *bootstrapper {
	self := settings.Identity.Address
	f := &bootstrapper{
		seeds: firstSeeds(settings), tolerance: (settings.minVoters() - 1) / 2, startedAt: now,
		firstAcceptors: map[string]cluster.MemberID{}, members: map[cluster.MemberID]announcedMember{}, stateLossMembers: map[cluster.MemberID]announcedMember{},
	}
	f.rank = slices.Index(f.seeds, self)
	f.acceptor = settings.initialAcceptorState(fmt.Sprintf("life-%d-%x", settings.Start, random.Uint64()))
	if f.acceptor != nil {
		f.acceptor.Seeds = f.seeds
		f.learnIncarnations(f.acceptor.Incarnations)
	}
	return f
}

// firstSeeds gives the seeds whose first start this is: those of the vote that the folder holds,
// or else those that this life is told.
func firstSeeds(settings NodeSettings) []string {
	seeds := settings.Seeds
	if settings.AcceptorState != nil && len(settings.AcceptorState.Seeds) > 0 {
		seeds = settings.AcceptorState.Seeds
	}
	if len(seeds) == 0 {
		seeds = []string{settings.Identity.Address}
	}
	return cluster.Sorted(slices.Clone(seeds))
}

// isSameAcceptor tells whether a seed is the acceptor that was first seen at its address. Nodes
// that are no acceptors name none, and have nothing to forget. One that names an incarnation has a folder,
// and says itself what it forgot.
func (f *bootstrapper) isSameAcceptor(address string, acceptor cluster.MemberID, incarnation cluster.IncarnationID) bool {
	if acceptor == "" || incarnation != "" || !slices.Contains(f.seeds, address) {
		return true
	}
	known, isKnown := f.firstAcceptors[address]
	if !isKnown {
		f.firstAcceptors[address] = acceptor
		return true
	}
	return known == acceptor
}

func (f *bootstrapper) observeNumber(now kernel.Micros, number cluster.ProposalNumber) {
	if f.highestNumber.Before(number) {
		f.highestNumber, f.highestSeenAt = number, now
	}
}

// onAnnounce takes the word of an empty member.
func (f *bootstrapper) onAnnounce(now kernel.Micros, member cluster.Member) {
	if _, isKnown := f.members[member.ID]; !isKnown {
		f.lastJoinedAt = now
	}
	f.members[member.ID] = announcedMember{member, now}
}

// allMembers are all members that were heard, the amnesiac ones too.
func (f *bootstrapper) allMembers() map[cluster.MemberID]announcedMember {
	members := maps.Clone(f.stateLossMembers)
	maps.Copy(members, f.members)
	return members
}

// recentMembers gives the members that were heard lately, in order of their ids.
func recentMembers(members map[cluster.MemberID]announcedMember, now kernel.Micros) []cluster.Member {
	recent := []cluster.Member{}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		if now-members[id].seenAt <= announceFreshSpan {
			recent = append(recent, members[id].member)
		}
	}
	return recent
}

// addressesOf gives the addresses of members. A machine whose folder was lost comes back as another
// member at the same one.
func addressesOf(members map[cluster.MemberID]announcedMember) []string {
	addresses := []string{}
	for _, known := range members {
		addresses = append(addresses, known.member.Address)
	}
	return slices.Compact(cluster.Sorted(addresses))
}

// targets are the addresses of acceptors, and of the other proposers, which give way then.
func (f *bootstrapper) targets() []string { return f.addressesWith(f.allMembers()) }

// addressesWith gives the addresses of the seeds and, where they accept, of members.
func (f *bootstrapper) addressesWith(members map[cluster.MemberID]announcedMember) []string {
	if !f.areMembersAcceptors() {
		return f.seeds
	}
	return slices.Compact(cluster.Sorted(append(addressesOf(members), f.seeds...)))
}

// fillWithUnreachable adds members that have fallen silent, as long as fewer are there than are to vote.
// One that comes back votes at once then, and the others are a majority without it.
func fillWithUnreachable(members map[cluster.MemberID]announcedMember, recent []cluster.Member, minimum int) []cluster.Member {
	filled := slices.Clone(recent)
	for _, id := range slices.Sorted(maps.Keys(members)) {
		member := members[id].member
		isIncluded := slices.ContainsFunc(filled, func(other cluster.Member) bool { return other.Address == member.Address })
		if len(filled) < minimum && len(filled) < 2*len(recent)-1 && !isIncluded {
			filled = append(filled, member)
		}
	}
	return filled
}
