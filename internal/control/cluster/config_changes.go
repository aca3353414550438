package cluster

import (
	"slices"
)

// A configuration may take hundreds of kilobytes, but most changes to it take a few hundred bytes. A document
// therefore stores the newest changes next to the configuration that they produced. A receiver that already
// has an earlier configuration is sent the changes since then instead of the whole configuration. It applies
// them and compares the result with the digest in the chain.

// ConfigChange is a change of named items. Applied to the previous configuration in the chain, it produces
// the configuration of Revision.
type ConfigChange struct {
	Revision uint64 `json:"generation"`
	Change   []byte `json:"change"`
}

// ConfigPatcher applies a change of named items to a configuration. A nil patcher means that this process
// cannot apply changes.
type ConfigPatcher func(current, patch []byte) ([]byte, error)

// maxChangeBytes limits the total size of the changes in a document.
const maxChangeBytes = 24 << 10

// addChange records the change that produced the newest configuration. A nil change means that the
// configuration was submitted in full, so the earlier changes no longer lead to it and are dropped.
func (d *Document) addChange(change []byte) {
	if change == nil {
		d.Changes = nil
		return
	}
	d.Changes = newestChanges(append(slices.Clone(d.Changes), ConfigChange{d.ConfigRevision, change}))
}

// newestChanges drops the oldest changes until the rest fits within maxChangeBytes.
func newestChanges(changes []ConfigChange) []ConfigChange {
	for first := len(changes) - 1; first >= 0; first-- {
		if changeBytes(changes[first:]) > maxChangeBytes {
			return slices.Clone(changes[first+1:])
		}
	}
	return changes
}

// changeBytes returns the total size of the changes in bytes, without their revisions.
func changeBytes(changes []ConfigChange) int {
	size := 0
	for _, change := range changes {
		size += len(change.Change)
	}
	return size
}

// changesSince returns the changes that lead from the configuration that was in force at a revision to the
// newest configuration, or false if the document does not have all of them.
func (d *Document) changesSince(applied uint64) ([]ConfigChange, bool) {
	from, isKnown := d.ConfigAt(applied)
	if !isKnown {
		return nil, false
	}
	return d.changesAfter(from)
}

// changesAfter returns the changes that lead from a configuration of the chain to the newest one, or false
// if the document does not have all of them.
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

// withChanges returns a copy of the document without its configuration and with the given changes.
func (d *Document) withChanges(changes []ConfigChange) *Document {
	copied := *d
	copied.Config, copied.Changes = nil, changes
	return &copied
}

// withPatchedConfig returns a copy of the document whose configuration is made by applying the document's
// changes to the configuration of base. It returns false if a change is missing or fails, or if the result
// does not match the digest in the chain.
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
	// The earlier changes stay in the copy, so that this node can send them to nodes that are further behind.
	copied.Changes = newestChanges(append(slices.Clone(base.Changes), changes...))
	return &copied, true
}
