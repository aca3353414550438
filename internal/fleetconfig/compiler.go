package fleetconfig

import (
	"crypto/sha256"
	"sync"
)

// What a process keeps: the compiled configurations in force, next, and checked meanwhile; and
// its word on many more, since a storm's configurations wait in the leader's queue.
const (
	maxCompiled     = 4
	maxCheckResults = 1024
)

// Compiler compiles each configuration once for all parts of a process: a large one takes a good
// part of a second.
type Compiler struct {
	// Form reads the documents; nil: the product's own. Not to be changed once in use.
	Form         Form
	lock         sync.Mutex
	compiled     boundedCache[*Config]
	checkResults boundedCache[checkResult]
}

// checkResult is what is remembered of a document that is no longer kept compiled.
type checkResult struct {
	version uint64
	err     error
}

// ownForm is the product's own form, protojson.
type ownForm struct{}

func (ownForm) Read(document []byte) (*Config, error) { return Read(document) }

func (ownForm) Change(document, change []byte) ([]byte, error) {
	return ChangeByName(document, change, OwnFieldNames())
}

func (s *Compiler) form() Form {
	if s.Form == nil {
		return ownForm{}
	}
	return s.Form
}

type digest = [sha256.Size]byte

// boundedCache keeps the newest entries.
type boundedCache[V any] struct {
	values map[digest]V
	order  []digest
}

func (b *boundedCache[V]) put(key digest, value V, bound int) {
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

// Read is the form's Read with what was compiled before kept at hand.
func (s *Compiler) Read(document []byte) (*Config, error) {
	key := sha256.Sum256(document)
	s.lock.Lock()
	config, isKept := s.compiled.values[key]
	s.lock.Unlock()
	if isKept {
		return config, nil
	}
	// Not under the lock: nobody must wait for an operator's other configuration.
	config, err := s.form().Read(document)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err != nil {
		s.checkResults.put(key, checkResult{0, err}, maxCheckResults)
		return nil, err
	}
	s.checkResults.put(key, checkResult{config.Version, nil}, maxCheckResults)
	s.compiled.put(key, config, maxCompiled)
	return config, nil
}

// Check tells what is wrong with a configuration, from memory where it was read before.
func (s *Compiler) Check(document []byte) error {
	_, err := s.Version(document)
	return err
}

// Version gives the operator's own number of a configuration, or what is wrong with the configuration, from
// memory where it was read before; zero: it has none.
func (s *Compiler) Version(document []byte) (uint64, error) {
	key := sha256.Sum256(document)
	s.lock.Lock()
	known, isKnown := s.checkResults.values[key]
	s.lock.Unlock()
	if isKnown {
		return known.version, known.err
	}
	config, err := s.Read(document)
	if err != nil {
		return 0, err
	}
	return config.Version, nil
}

// Change applies a change of named items and gives the document that follows, not yet
// judged: read it before it is used.
func (s *Compiler) Change(document, change []byte) ([]byte, error) {
	return s.form().Change(document, change)
}

// Has tells whether a configuration is compiled and at hand.
func (s *Compiler) Has(document []byte) bool {
	key := sha256.Sum256(document)
	s.lock.Lock()
	defer s.lock.Unlock()
	_, isKept := s.compiled.values[key]
	return isKept
}
