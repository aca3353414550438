package registry

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
)

// rangeCount is the number of ranges of engine ids that are compared by a digest each.
const rangeCount = 16

func rangeOf(id string) int { return int(xxhash.Sum64String(id) % rangeCount) }

// digest sums up the state of one engine on which routing depends.
func (e EngineRecord) digest() uint64 { return xxhash.Sum64String(e.ID + "|" + e.RoutingState()) }

// Digests sums up the state of the engines in each range. Reports are left
// out: they change all the time and repair themselves with the next one.
func (d *Directory) Digests() []uint64 { return slices.Clone(d.digests[:]) }

// DifferingEngines gives every record of the ranges whose digests differ.
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

// updateDigest takes an engine's record into the digest of its range in place of the former one; a nil
// record stands for none.
func (d *Directory) updateDigest(id string, former, current *EngineRecord) {
	digest := &d.digests[rangeOf(id)]
	if former != nil {
		*digest ^= former.digest()
	}
	if current != nil {
		*digest ^= current.digest()
	}
}
