package control

import (
	"dunlinloom/internal/kernel"
)

// Which sets of acceptors are enough. That any two of them meet is argued in
// docs/control-safety/first-start.md.

// firstContactTimeout is how long a proposer waits for members that it has never heard before it takes
// them for lost.
const firstContactTimeout = 3 * kernel.Second

// areMembersAcceptors tells that so many may be lost that most of the seeds may be among them.
func (f *bootstrapper) areMembersAcceptors() bool { return f.tolerance > 1 }

// isQuorum tells whether any two sets of so many acceptors share one.
func (f *bootstrapper) isQuorum(now kernel.Micros, count int) bool {
	if !f.areMembersAcceptors() {
		return 2*count > len(f.seeds)
	}
	// Assumption Core-bound: a first start has at most 4*tolerance+1 members.
	isWide := count >= 2*f.tolerance+1 && 2*count > len(addressesOf(f.allMembers()))
	return isWide || f.isSmallCoreQuorum(now, count)
}

// isSmallCoreQuorum serves a core of so few members that, with the tolerated number lost, no
// wide quorum is left. All members that are heard have to accept, more than may be lost at once and a
// majority of all that are known. Assumption First-contact: whoever was not heard for so long is lost.
func (f *bootstrapper) isSmallCoreQuorum(now kernel.Micros, count int) bool {
	recent := len(recentMembers(f.members, now))
	isCoreSmall := recent <= 2*f.tolerance && len(recentMembers(f.allMembers(), now)) < f.minRecoveryMembers()
	if now-f.startedAt < firstContactTimeout || !isCoreSmall {
		return false
	}
	return count >= recent && count > f.tolerance && 2*count > len(f.addressesWith(f.members))
}

// isRecoveryQuorum tells whether so many acceptors, amnesiac ones among them, meet every quorum
// in an acceptor that has lost nothing, while no more folders are lost than are tolerated.
func (f *bootstrapper) isRecoveryQuorum(count int) bool {
	if f.areMembersAcceptors() {
		return count >= f.minRecoveryMembers()
	}
	majority := len(f.seeds)/2 + 1
	return count == len(f.seeds) && majority > f.tolerance
}

// minRecoveryMembers is how many members recover where members accept: of at most 4*tolerance+1, at
// most so many are missing as are tolerated.
func (f *bootstrapper) minRecoveryMembers() int { return 3*f.tolerance + 1 }

// isProposalDue tells whether enough members are there for a ballot to come to an end.
func (f *bootstrapper) isProposalDue(now kernel.Micros) bool {
	withState, all := len(recentMembers(f.members, now)), len(recentMembers(f.allMembers(), now))
	if !f.areMembersAcceptors() {
		return all > 0
	}
	return f.isQuorum(now, withState) || f.isRecoveryQuorum(all)
}
