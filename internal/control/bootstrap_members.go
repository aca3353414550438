package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// Members that announce themselves during the first start of a fleet.

// Timing of the announcements and of the proposals that follow them.
const (
	announceInterval  = 100 * kernel.Millisecond // between two announcements, and between two sends of a proposal
	announceFreshSpan = kernel.Second            // a member counts as present for this long after its last announcement
	announceQuietSpan = 400 * kernel.Millisecond // without a new member or a higher proposal before a proposal is opened
	missingVotersSpan = 800 * kernel.Millisecond // added to announceQuietSpan while too few members for the voters are known
)

type announcedMember struct {
	member cluster.Member
	seenAt kernel.Micros
}

// bootstrapper is a node's part in the bootstrap of a fleet by announced members. A seed may propose and accept even if
// it has no data folder.
type bootstrapper struct {
	// seeds are the proposers, sorted; they propose in this order. An acceptor keeps the seeds that are
	// in its stored state, even if a later incarnation is configured with others.
	seeds []string
	rank  int // index of this node in seeds, or -1
	// tolerance is the number of members that may be lost at once. If it is at most one, a majority of the
	// seeds accepts. If it is larger, the seeds alone are too few, and all members are acceptors.
	tolerance int
	startedAt kernel.Micros
	acceptor  *cluster.AcceptorState // nil: this node is no acceptor
	// firstAcceptors maps each seed to the acceptor that was first seen at its address: a later
	// incarnation has forgotten what the first one promised.
	firstAcceptors map[string]cluster.MemberID

	nextTickAt       kernel.Micros
	members          map[cluster.MemberID]announcedMember
	stateLossMembers map[cluster.MemberID]announcedMember // see node_bootstrap_recovery.go
	// incarnations are the known acceptors that lost their state, sorted.
	incarnations []cluster.IncarnationID
	// hasSeenFleet: another node has reported that a cluster exists.
	hasSeenFleet       bool
	nextWitness        int
	nextAnnounceTarget int
	lastJoinedAt       kernel.Micros
	highestNumber      cluster.ProposalNumber // the highest proposal number seen from any proposer
	highestSeenAt      kernel.Micros
	proposal           *bootstrapProposal
	chosen             *cluster.Document
}

func newBootstrapper(settings NodeSettings, random *rand.Rand, now kernel.Micros) *bootstrapper {
	f := &bootstrapper{
		tolerance: (settings.minVoters() - 1) / 2, startedAt: now,
		firstAcceptors: map[string]cluster.MemberID{}, members: map[cluster.MemberID]announcedMember{}, stateLossMembers: map[cluster.MemberID]announcedMember{},
	}
	f.attachFolder(settings, random)
	return f
}

// attachFolder makes the node the acceptor that the settings call for, and a proposer if it is one of the seeds. A
// proposal that was opened under other seeds is dropped.
func (f *bootstrapper) attachFolder(settings NodeSettings, random *rand.Rand) {
	seeds := firstSeeds(settings)
	if !slices.Equal(seeds, f.seeds) {
		f.proposal = nil
	}
	f.seeds, f.rank = seeds, slices.Index(seeds, settings.Identity.Address)
	f.acceptor = settings.initialAcceptorState(fmt.Sprintf("life-%d-%x", settings.Start, random.Uint64()))
	if f.acceptor != nil {
		f.acceptor.Seeds = f.seeds
		f.learnIncarnations(f.acceptor.Incarnations)
	}
}

// firstSeeds returns the seeds of the first start: those in the stored acceptor state, or else those in
// the settings.
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

// isSameAcceptor reports whether the acceptor at a seed's address is the one that was first seen there. It records the
// first one. There is nothing to compare, and the result is true, for an address that is no seed's, for a node that
// sends no id because it is no acceptor, and for an acceptor that sends an incarnation. The latter has a data folder,
// and reports a loss of state itself.
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

// onAnnounce records the announcement of an empty member.
func (f *bootstrapper) onAnnounce(now kernel.Micros, member cluster.Member) {
	if _, isKnown := f.members[member.ID]; !isKnown {
		f.lastJoinedAt = now
	}
	f.members[member.ID] = announcedMember{member, now}
}

// allMembers returns all announced members, including those that lost their state.
func (f *bootstrapper) allMembers() map[cluster.MemberID]announcedMember {
	members := maps.Clone(f.stateLossMembers)
	maps.Copy(members, f.members)
	return members
}

// recentMembers returns the members heard from within announceFreshSpan, sorted by id.
func recentMembers(members map[cluster.MemberID]announcedMember, now kernel.Micros) []cluster.Member {
	recent := []cluster.Member{}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		if now-members[id].seenAt <= announceFreshSpan {
			recent = append(recent, members[id].member)
		}
	}
	return recent
}

// addressesOf returns the addresses of members, without duplicates: a machine that lost its folder
// returns as another member at the same address.
func addressesOf(members map[cluster.MemberID]announcedMember) []string {
	addresses := []string{}
	for _, known := range members {
		addresses = append(addresses, known.member.Address)
	}
	return slices.Compact(cluster.Sorted(addresses))
}

// targets returns the addresses to which a proposal is sent: the acceptors, and the seeds, because the other proposers
// back off when they see a proposal.
func (f *bootstrapper) targets() []string { return f.addressesWith(f.allMembers()) }

// addressesWith returns the addresses of the seeds and, if members are acceptors, of the given members.
func (f *bootstrapper) addressesWith(members map[cluster.MemberID]announcedMember) []string {
	if !f.areMembersAcceptors() {
		return f.seeds
	}
	return slices.Compact(cluster.Sorted(append(addressesOf(members), f.seeds...)))
}

// fillWithUnreachable returns the recent members and, until there are minimum of them, members that were not heard from
// recently. An added member can vote as soon as it is back. The recent members always remain a majority, so fewer than
// minimum may be returned.
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
