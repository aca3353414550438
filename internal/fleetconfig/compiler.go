package fleetconfig

import (
	"crypto/sha256"
	"sync"
)

// What a process keeps: the compiled configurations in force, next, and checked meanwhile; and
// the check results of many more, since configurations of a burst wait in the leader's queue.
const (
	maxCompiled     = 4
	maxCheckResults = 1024
)

// Compiler compiles each configuration once for all parts of a process: a large one takes a good
// part of a second. The zero value is ready; any goroutine may use it.
type Compiler struct {
	// Form reads the documents; nil: the product's own. Not to be changed once in use.
	Form         Form
	lock         sync.Mutex
	compiled     boundedCache[*Config]
	checkResults boundedCache[checkResult]
}

// checkResult is what is kept of a document that is no longer cached compiled.
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

func (c *Compiler) form() Form {
	if c.Form == nil {
		return ownForm{}
	}
	return c.Form
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
	if _, isCached := b.values[key]; !isCached {
		b.order = append(b.order, key)
	}
	b.values[key] = value
	if len(b.order) > bound {
		delete(b.values, b.order[0])
		b.order = b.order[1:]
	}
}

// Read is the form's Read, from the cache where the document was compiled before.
func (c *Compiler) Read(document []byte) (*Config, error) {
	key := sha256.Sum256(document)
	c.lock.Lock()
	config, isCached := c.compiled.values[key]
	c.lock.Unlock()
	if isCached {
		return config, nil
	}
	// Not under the lock: nobody must wait for an operator's other configuration.
	config, err := c.form().Read(document)
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		c.checkResults.put(key, checkResult{0, err}, maxCheckResults)
		return nil, err
	}
	c.checkResults.put(key, checkResult{config.Version, nil}, maxCheckResults)
	c.compiled.put(key, config, maxCompiled)
	return config, nil
}

// Check gives what is wrong with a configuration as Read does, from the cache where it was read before.
func (c *Compiler) Check(document []byte) error {
	_, err := c.Version(document)
	return err
}

// Version gives the operator's own number of a configuration, or fails as Read does, from the cache where
// the document was read before; zero: it has none.
func (c *Compiler) Version(document []byte) (uint64, error) {
	key := sha256.Sum256(document)
	c.lock.Lock()
	known, isKnown := c.checkResults.values[key]
	c.lock.Unlock()
	if isKnown {
		return known.version, known.err
	}
	config, err := c.Read(document)
	if err != nil {
		return 0, err
	}
	return config.Version, nil
}

// Change applies a change of named items and gives the document that results, not yet
// checked: read it before it is used.
func (c *Compiler) Change(document, change []byte) ([]byte, error) {
	return c.form().Change(document, change)
}

// Has reports whether a compiled configuration is in the cache.
func (c *Compiler) Has(document []byte) bool {
	key := sha256.Sum256(document)
	c.lock.Lock()
	defer c.lock.Unlock()
	_, isCached := c.compiled.values[key]
	return isCached
}
