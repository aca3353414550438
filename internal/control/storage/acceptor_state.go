package storage

import (
	"errors"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// acceptorStateName is written before the first life of a member says anything, so a folder
// without it never voted, or is not the one that did.
const acceptorStateName = "founding.json"

// AcceptorState gives the vote on the founding that this folder holds. On the first start of
// the whole fleet an empty one is synced first, which binds the member to the seeds that it is
// told. Nil: this folder's member has no vote, since nothing shows what it may have promised before.
func (s *Store) AcceptorState(isFirstStart bool, seeds []string) (*cluster.AcceptorState, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var acceptor cluster.AcceptorState
	_, err := s.get(acceptorStateName, &acceptor)
	switch {
	case err == nil && acceptor.Acceptor == s.member:
		return &acceptor, nil
	case errors.As(err, new(kernel.DiskError)):
		return nil, fmt.Errorf("read the founding vote: %w", err)
	case !isFirstStart || !errors.As(err, new(kernel.MissingFileError)) || len(s.files) > 0:
		return nil, nil
	}
	acceptor = cluster.AcceptorState{Acceptor: s.member, Seeds: cluster.Sorted(slices.Clone(seeds))}
	if err := s.putAcceptorState(&acceptor); err != nil {
		return nil, fmt.Errorf("write the founding vote: %w", err)
	}
	return &acceptor, nil
}

func (s *Store) putAcceptorState(acceptor *cluster.AcceptorState) error {
	_, err := s.put(acceptorStateName, acceptor)
	return err
}
