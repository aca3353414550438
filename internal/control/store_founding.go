package control

import (
	"errors"
	"fmt"
	"slices"

	"dunlinloom/internal/kernel"
)

// foundingVoteName is written before the first life of a member says anything, so a folder
// without it never voted, or is not the one that did.
const foundingVoteName = "founding.json"

// FoundingVote gives the vote on the founding that this folder holds. On the first start of
// the whole fleet an empty one is synced first, which binds the member to the seeds that it is
// told. Nil: this folder's member has no vote, since nothing shows what it may have promised before.
func (s *Store) FoundingVote(isFirstStart bool, seeds []string) (*FoundingVote, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var vote FoundingVote
	_, err := s.get(foundingVoteName, &vote)
	switch {
	case err == nil && vote.Acceptor == s.member:
		return &vote, nil
	case errors.As(err, new(kernel.DiskError)):
		return nil, fmt.Errorf("read the founding vote: %w", err)
	case !isFirstStart || !errors.As(err, new(kernel.MissingFile)) || len(s.files) > 0:
		return nil, nil
	}
	vote = FoundingVote{Acceptor: s.member, Seeds: sorted(slices.Clone(seeds))}
	if err := s.putFoundingVote(&vote); err != nil {
		return nil, fmt.Errorf("write the founding vote: %w", err)
	}
	return &vote, nil
}

func (s *Store) putFoundingVote(vote *FoundingVote) error {
	_, err := s.put(foundingVoteName, vote)
	return err
}
