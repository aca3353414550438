package fleetconfig

import (
	"crypto/sha256"
	"sync"
)

// Sizes of the caches of a Compiler. The compiled configurations are the active one, the next one and
// those that are checked meanwhile. Check results are kept for many more, because the configurations of
// a burst wait in the leader's queue.
const (
	maxCompiled     = 4
	maxCheckResults = 1024
)

// Compiler compiles each configuration once for all parts of a process and caches the result, since
// compiling a large one takes a good part of a second. The zero value is ready to use, by any goroutine.
type Compiler struct {
	// Format reads the documents; nil: the native format. It must not be changed after the first use.
	Format       Format
	lock         sync.Mutex
	compiled     boundedCache[*Config]
	checkResults boundedCache[checkResult]
}

// checkResult is the outcome of checking a document. It is cached for longer than the compiled document.
type checkResult struct {
	version uint64
	err     error
}

// nativeFormat is the product's own format: the protojson encoding of config.proto.
type nativeFormat struct{}

func (nativeFormat) Read(document []byte) (*Config, error) { return Read(document) }

func (nativeFormat) Change(document, change []byte) ([]byte, error) {
	return ChangeByName(document, change, NativeFieldNames())
}

func (c *Compiler) format() Format {
	if c.Format == nil {
		return nativeFormat{}
	}
	return c.Format
}

type digest = [sha256.Size]byte

// boundedCache is a map that drops its oldest entry when it exceeds a bound.
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

// Read compiles a document as the format's Read does, or returns the cached result.
func (c *Compiler) Read(document []byte) (*Config, error) {
	key := sha256.Sum256(document)
	c.lock.Lock()
	config, isCached := c.compiled.values[key]
	c.lock.Unlock()
	if isCached {
		return config, nil
	}
	// The lock is not held here, so that other calls need not wait while a configuration is compiled.
	config, err := c.format().Read(document)
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

// Check returns the error that Read returns for a document, from the cache if it was read before.
func (c *Compiler) Check(document []byte) error {
	_, err := c.Version(document)
	return err
}

// Version returns the operator's version number of a configuration, from the cache if it was read before;
// zero: it has none. It fails as Read does.
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

// Change applies a change of named items to a document and returns the resulting document. The result
// is not checked: it has to be passed to Read before it is used.
func (c *Compiler) Change(document, change []byte) ([]byte, error) {
	return c.format().Change(document, change)
}

// Has reports whether the compiled configuration of a document is in the cache.
func (c *Compiler) Has(document []byte) bool {
	key := sha256.Sum256(document)
	c.lock.Lock()
	defer c.lock.Unlock()
	_, isCached := c.compiled.values[key]
	return isCached
}
