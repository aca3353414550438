package registry

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
)

// rangeCount is the number of ranges into which engines are divided by a hash of their ids. Nodes compare one
// digest per range.
const rangeCount = 16

func rangeOf(id string) int { return int(xxhash.Sum64String(id) % rangeCount) }

// digest returns a hash of the engine's id and of the state on which routing depends.
func (e EngineRecord) digest() uint64 { return xxhash.Sum64String(e.ID + "|" + e.RoutingState()) }

// Digests returns one digest per range, over the routing state of its engines. Load reports are not included:
// they change all the time, and the next report corrects a lost one.
func (d *Directory) Digests() []uint64 { return slices.Clone(d.digests[:]) }

// DifferingEngines returns all records of the ranges whose digests differ from those of another node. It returns
// none if the other node has a different number of ranges.
func (d *Directory) DifferingEngines(now kernel.Micros, theirs []uint64) []EngineRecord {
	if len(theirs) != rangeCount || slices.Equal(d.digests[:], theirs) {
		return nil
	}
	found := []EngineRecord{}
	for engine := range d.engines.all() {
		if index := rangeOf(engine.ID); d.digests[index] != theirs[index] {
			found = append(found, engine.WithAges(now))
		}
	}
	return found
}

// updateDigest replaces an engine's former record by the current one in the digest of its range. A nil record
// stands for none.
func (d *Directory) updateDigest(id string, former, current *EngineRecord) {
	digest := &d.digests[rangeOf(id)]
	if former != nil {
		*digest ^= former.digest()
	}
	if current != nil {
		*digest ^= current.digest()
	}
}
