package control

import (
	"dunlinloom/internal/kernel"
)

// Quorums of the bootstrap. docs/control-safety/first-start.md explains why any two of them intersect.

// firstContactTimeout is counted from a proposer's start. After it, the proposer treats the members that it has never
// heard from as lost.
const firstContactTimeout = 3 * kernel.Second

// areMembersAcceptors reports whether all members accept, because a majority of the seeds may be lost.
func (f *bootstrapper) areMembersAcceptors() bool { return f.tolerance > 1 }

// isQuorum reports whether count acceptors are a quorum. Any two quorums have an acceptor in common.
func (f *bootstrapper) isQuorum(now kernel.Micros, count int) bool {
	if !f.areMembersAcceptors() {
		return 2*count > len(f.seeds)
	}
	// Assumption Core-bound: a first start has at most 4*tolerance+1 members.
	isWide := count >= 2*f.tolerance+1 && 2*count > len(addressesOf(f.allMembers()))
	return isWide || f.isSmallCoreQuorum(now, count)
}

// isSmallCoreQuorum reports whether count acceptors are a quorum of a small core. That is one with so few members that
// no wide quorum is left once f.tolerance of them are lost. All members that were heard from recently have to accept.
// They have to be more than f.tolerance, and a majority of the seeds and the members that kept their state.
// Assumption First-contact: a member that was not heard from for firstContactTimeout is lost.
func (f *bootstrapper) isSmallCoreQuorum(now kernel.Micros, count int) bool {
	recent := len(recentMembers(f.members, now))
	isCoreSmall := recent <= 2*f.tolerance && len(recentMembers(f.allMembers(), now)) < f.minRecoveryMembers()
	if now-f.startedAt < firstContactTimeout || !isCoreSmall {
		return false
	}
	return count >= recent && count > f.tolerance && 2*count > len(f.addressesWith(f.members))
}

// isRecoveryQuorum reports whether a set of count acceptors, some of which may have lost their state, shares with every
// quorum an acceptor that still has its state. This holds as long as at most f.tolerance data folders are lost.
func (f *bootstrapper) isRecoveryQuorum(count int) bool {
	if f.areMembersAcceptors() {
		return count >= f.minRecoveryMembers()
	}
	majority := len(f.seeds)/2 + 1
	return count == len(f.seeds) && majority > f.tolerance
}

// minRecoveryMembers returns the least number of acceptors in a recovery quorum if all members are acceptors. At most
// 4*tolerance+1 members exist, and at most tolerance of them are missing.
func (f *bootstrapper) minRecoveryMembers() int { return 3*f.tolerance + 1 }

// isProposalDue reports whether enough members are present to open a proposal. If only the seeds are acceptors, one
// member is enough, because a proposal needs members only as candidates for the voters.
func (f *bootstrapper) isProposalDue(now kernel.Micros) bool {
	withState, all := len(recentMembers(f.members, now)), len(recentMembers(f.allMembers(), now))
	if !f.areMembersAcceptors() {
		return all > 0
	}
	return f.isQuorum(now, withState) || f.isRecoveryQuorum(all)
}
