package storage

import (
	"errors"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// acceptorStateName is the file with the acceptor state. It is written before the first process of a member sends
// anything. If it is missing, either the member has never voted, or it voted with another folder.
const acceptorStateName = "founding.json"

// AcceptorState returns the stored acceptor state of the bootstrap. If there is none, and this is the first start of
// the fleet and the folder has no document, it writes a new state, which binds the member to the given seeds. In all
// other cases it returns nil: the member may not vote, since its folder does not show what it promised earlier.
func (s *Store) AcceptorState(isFirstStart bool, seeds []string) (*cluster.AcceptorState, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var acceptor cluster.AcceptorState
	_, err := s.get(acceptorStateName, &acceptor)
	switch {
	case err == nil && acceptor.Acceptor == s.member:
		return &acceptor, nil
	case errors.As(err, new(kernel.DiskError)):
		return nil, fmt.Errorf("read the acceptor state: %w", err)
	case !isFirstStart || !errors.As(err, new(kernel.MissingFileError)) || len(s.files) > 0:
		return nil, nil
	}
	acceptor = cluster.AcceptorState{Acceptor: s.member, Seeds: cluster.Sorted(slices.Clone(seeds))}
	if err := s.putAcceptorState(&acceptor); err != nil {
		return nil, fmt.Errorf("write the acceptor state: %w", err)
	}
	return &acceptor, nil
}

func (s *Store) putAcceptorState(acceptor *cluster.AcceptorState) error {
	_, err := s.put(acceptorStateName, acceptor)
	return err
}
