package cluster

import (
	"slices"
)

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

// ConfigPatcher applies a change of named items to a configuration; nil: there is none here.
type ConfigPatcher func(current, patch []byte) ([]byte, error)

// maxChangeBytes bounds the bytes of the changes that a document carries.
const maxChangeBytes = 24 << 10

// addChange notes how the newest configuration came of the one before; no change: it was put whole.
func (d *Document) addChange(change []byte) {
	if change == nil {
		d.Changes = nil
		return
	}
	d.Changes = newestChanges(append(slices.Clone(d.Changes), ConfigChange{d.ConfigRevision, change}))
}

// newestChanges drops the oldest changes beyond the bound.
func newestChanges(changes []ConfigChange) []ConfigChange {
	for first := len(changes) - 1; first >= 0; first-- {
		if changeBytes(changes[first:]) > maxChangeBytes {
			return slices.Clone(changes[first+1:])
		}
	}
	return changes
}

// changeBytes is the size of changes in bytes, without their revisions.
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
	from, isKnown := d.ConfigAt(applied)
	if !isKnown {
		return nil, false
	}
	return d.changesAfter(from)
}

// changesAfter gives the changes that lead from a configuration of the chain to the newest one.
func (d *Document) changesAfter(from ConfigRef) ([]ConfigChange, bool) {
	index := slices.Index(d.ConfigChain, from)
	if index < 0 {
		return nil, false
	}
	missing := d.ConfigChain[index+1:]
	if len(missing) > len(d.Changes) {
		return nil, false
	}
	changes := d.Changes[len(d.Changes)-len(missing):]
	for i, ref := range missing {
		if changes[i].Revision != ref.Revision {
			return nil, false
		}
	}
	return changes, true
}

// withChanges is the document with changes in the place of its configuration.
func (d *Document) withChanges(changes []ConfigChange) *Document {
	copied := *d
	copied.Config, copied.Changes = nil, changes
	return &copied
}

// withPatchedConfig puts a configuration together from one that is held here; false: that can't be done.
func (d *Document) withPatchedConfig(patch ConfigPatcher, base *Document) (*Document, bool) {
	if patch == nil || base == nil || len(base.ConfigChain) == 0 || len(base.Config) == 0 {
		return nil, false
	}
	changes, isComplete := d.changesAfter(base.ConfigChain[len(base.ConfigChain)-1])
	if !isComplete {
		return nil, false
	}
	config := base.Config
	for _, next := range changes {
		patched, err := patch(config, next.Change)
		if err != nil {
			return nil, false
		}
		config = patched
	}
	copied := *d
	copied.Config = config
	if ConfigRefOf(&copied) != d.ConfigChain[len(d.ConfigChain)-1] {
		return nil, false
	}
	// Who holds it can hand the earlier changes on as well.
	copied.Changes = newestChanges(append(slices.Clone(base.Changes), changes...))
	return &copied, true
}
