package playbill

import (
	"crypto/sha256"
	"sync"
)

// What a process keeps: the compiled specs in force, next, and checked meanwhile; and
// its word on many more, since a storm's specs wait in the leader's inbox.
const (
	shelfBound   = 4
	verdictBound = 1024
)

// Shelf compiles each spec once for all parts of a process: a large one takes a good
// part of a second.
type Shelf struct {
	lock     sync.Mutex
	kept     bounded[*Spec]
	verdicts bounded[error]
}

type digest = [sha256.Size]byte

// bounded keeps the newest entries.
type bounded[V any] struct {
	values map[digest]V
	order  []digest
}

func (b *bounded[V]) put(key digest, value V, bound int) {
	if b.values == nil {
		b.values = map[digest]V{}
	}
	if _, isKept := b.values[key]; !isKept {
		b.order = append(b.order, key)
	}
	b.values[key] = value
	if len(b.order) > bound {
		delete(b.values, b.order[0])
		b.order = b.order[1:]
	}
}

// Read is Read with what was compiled before kept at hand.
func (s *Shelf) Read(document []byte) (*Spec, error) {
	key := sha256.Sum256(document)
	s.lock.Lock()
	spec, isKept := s.kept.values[key]
	s.lock.Unlock()
	if isKept {
		return spec, nil
	}
	// Not under the lock: nobody must wait for an operator's other spec.
	spec, err := Read(document)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.verdicts.put(key, err, verdictBound)
	if err != nil {
		return nil, err
	}
	s.kept.put(key, spec, shelfBound)
	return spec, nil
}

// Check tells what is wrong with a spec, from memory where it was read before.
func (s *Shelf) Check(document []byte) error {
	key := sha256.Sum256(document)
	s.lock.Lock()
	verdict, isKnown := s.verdicts.values[key]
	s.lock.Unlock()
	if isKnown {
		return verdict
	}
	_, err := s.Read(document)
	return err
}

// Has tells whether a spec is compiled and at hand.
func (s *Shelf) Has(document []byte) bool {
	key := sha256.Sum256(document)
	s.lock.Lock()
	defer s.lock.Unlock()
	_, isKept := s.kept.values[key]
	return isKept
}
