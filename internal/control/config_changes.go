package control

import "slices"

// A configuration may take hundreds of kilobytes, and most changes of it a few hundred bytes. A document
// carries the newest changes beside the configuration that came of them; to a receiver that holds an
// earlier configuration it is sent with those changes in the place of the whole. The receiver puts the
// configuration together and holds it against the digest in the chain.

// ConfigChange is the change of named items by which the configuration of a revision came of the one
// before it in the chain.
type ConfigChange struct {
	Revision uint64 `json:"generation"`
	Change   []byte `json:"change"`
}

// changer applies a change of named items to a configuration; nil: there is none here.
type changer func(current, change []byte) ([]byte, error)

// keptChanges bounds the bytes of the changes that a document carries.
const keptChanges = 24 << 10

// keepChange notes how the newest configuration came of the one before; no change: it was put whole.
func (d *Document) keepChange(change []byte) {
	if change == nil {
		d.Changes = nil
		return
	}
	d.Changes = newestChanges(append(slices.Clone(d.Changes), ConfigChange{d.ConfigRevision, change}))
}

// newestChanges drops the oldest changes beyond the bound.
func newestChanges(changes []ConfigChange) []ConfigChange {
	for first := len(changes) - 1; first >= 0; first-- {
		if changeBytes(changes[first:]) > keptChanges {
			return slices.Clone(changes[first+1:])
		}
	}
	return changes
}

func changeBytes(changes []ConfigChange) int {
	size := 0
	for _, change := range changes {
		size += len(change.Change)
	}
	return size
}

// changesSince gives the changes that lead from the configuration in force at an applied revision to
// the newest one; false: not all of them are known.
func (d *Document) changesSince(applied uint64) ([]ConfigChange, bool) {
	from, isThere := d.ConfigAt(applied)
	if !isThere {
		return nil, false
	}
	return d.changesAfter(from)
}

// changesAfter gives the changes that lead from a configuration of the chain to the newest one.
func (d *Document) changesAfter(from ConfigMark) ([]ConfigChange, bool) {
	place := slices.Index(d.Chain, from)
	if place < 0 {
		return nil, false
	}
	missing := d.Chain[place+1:]
	if len(missing) > len(d.Changes) {
		return nil, false
	}
	changes := d.Changes[len(d.Changes)-len(missing):]
	for i, mark := range missing {
		if changes[i].Revision != mark.Revision {
			return nil, false
		}
	}
	return changes, true
}

// changed is the document with changes in the place of its configuration.
func (d *Document) changed(changes []ConfigChange) *Document {
	copied := *d
	copied.Config, copied.Changes = nil, changes
	return &copied
}

// rebuilt puts a configuration together from one that is held here; false: that can't be done.
func (d *Document) rebuilt(change changer, held *Document) (*Document, bool) {
	if change == nil || held == nil || len(held.Chain) == 0 || len(held.Config) == 0 {
		return nil, false
	}
	changes, isWhole := d.changesAfter(held.Chain[len(held.Chain)-1])
	if !isWhole {
		return nil, false
	}
	config := held.Config
	for _, next := range changes {
		made, err := change(config, next.Change)
		if err != nil {
			return nil, false
		}
		config = made
	}
	copied := *d
	copied.Config = config
	if MarkOf(&copied) != d.Chain[len(d.Chain)-1] {
		return nil, false
	}
	// Who holds it can hand the earlier changes on as well.
	copied.Changes = newestChanges(append(slices.Clone(held.Changes), changes...))
	return &copied, true
}
