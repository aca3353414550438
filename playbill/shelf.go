package playbill

import (
	"crypto/sha256"
	"sync"
)

// shelfBound is how many compiled specs a process keeps: the one in force, the
// next, and what an operator checks meanwhile.
const shelfBound = 4

// Shelf compiles each spec once for all parts of a process: a large one takes a
// good part of a second, and the owners of the control plane wait for it.
type Shelf struct {
	lock  sync.Mutex
	kept  map[[sha256.Size]byte]*Spec
	order [][sha256.Size]byte
}

// Read is Read with what was compiled before kept at hand; faults are not kept.
func (s *Shelf) Read(document []byte) (*Spec, error) {
	digest := sha256.Sum256(document)
	s.lock.Lock()
	spec, isKept := s.kept[digest]
	s.lock.Unlock()
	if isKept {
		return spec, nil
	}
	// Not under the lock: the owners must not wait for an operator's other spec.
	spec, err := Read(document)
	if err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.kept == nil {
		s.kept = map[[sha256.Size]byte]*Spec{}
	}
	if _, isKept := s.kept[digest]; !isKept {
		s.order = append(s.order, digest)
	}
	s.kept[digest] = spec
	if len(s.order) > shelfBound {
		delete(s.kept, s.order[0])
		s.order = s.order[1:]
	}
	return spec, nil
}
