package registry

import (
	"iter"
	"slices"
	"strings"
)

// recordVersion tells when a record changed, in revisions of its directory.
type recordVersion struct {
	rev       uint64
	stableRev uint64 // the revision at which more than its load changed
	isLocal   bool   // learned in this zone, not from another coordinator
}

// entry is one record of a table, with its place in the list by revision.
type entry[R any] struct {
	key     string
	record  R
	version recordVersion
	older   *entry[R]
	newer   *entry[R]
}

// table keeps records by key, in order of their keys and in order of the revisions at which they changed.
// Like the directory, it belongs to one goroutine.
type table[R any] struct {
	byKey  map[string]*entry[R]
	sorted []*entry[R] // by key
	newest *entry[R]   // of the list by revision
}

func newTable[R any]() *table[R] {
	return &table[R]{byKey: map[string]*entry[R]{}}
}

// find gives the place of a key among the sorted entries, or where it would be.
func (t *table[R]) find(key string) (index int, isThere bool) {
	return slices.BinarySearchFunc(t.sorted, key, func(known *entry[R], key string) int { return strings.Compare(known.key, key) })
}

// get gives the record of a key.
func (t *table[R]) get(key string) (R, bool) {
	if known := t.byKey[key]; known != nil {
		return known.record, true
	}
	var none R
	return none, false
}

// version gives the version of a key's record, zero if there is none.
func (t *table[R]) version(key string) recordVersion {
	if known := t.byKey[key]; known != nil {
		return known.version
	}
	return recordVersion{}
}

// refresh replaces a record that is there, without a new version.
func (t *table[R]) refresh(key string, record R) { t.byKey[key].record = record }

// set puts a record in under a version whose revision is larger than all before it.
func (t *table[R]) set(key string, record R, version recordVersion) {
	changed := t.byKey[key]
	if changed == nil {
		changed = &entry[R]{key: key}
		t.byKey[key] = changed
		index, _ := t.find(key)
		t.sorted = slices.Insert(t.sorted, index, changed)
	} else {
		t.unlink(changed)
	}
	changed.record, changed.version = record, version
	changed.older = t.newest
	if t.newest != nil {
		t.newest.newer = changed
	}
	t.newest = changed
}

// remove takes a key's record out, if there is one.
func (t *table[R]) remove(key string) {
	removed := t.byKey[key]
	if removed == nil {
		return
	}
	t.unlink(removed)
	delete(t.byKey, key)
	index, _ := t.find(key)
	t.sorted = slices.Delete(t.sorted, index, index+1)
}

// unlink takes an entry out of the list by revision.
func (t *table[R]) unlink(removed *entry[R]) {
	if removed.older != nil {
		removed.older.newer = removed.newer
	}
	if removed.newer != nil {
		removed.newer.older = removed.older
	} else {
		t.newest = removed.older
	}
	removed.older, removed.newer = nil, nil
}

// all gives the records in order of their keys. Records that are there may be replaced meanwhile; none may
// be added or removed.
func (t *table[R]) all() iter.Seq[R] {
	return func(yield func(R) bool) {
		for _, known := range t.sorted {
			if !yield(known.record) {
				return
			}
		}
	}
}

// changedSince gives the entries that changed after a revision and are wanted, in order of their keys.
func (t *table[R]) changedSince(revision uint64, isWanted func(*entry[R]) bool) []*entry[R] {
	changed := []*entry[R]{}
	for each := t.newest; each != nil && each.version.rev > revision; each = each.older {
		if isWanted(each) {
			changed = append(changed, each)
		}
	}
	slices.SortFunc(changed, func(left, right *entry[R]) int { return strings.Compare(left.key, right.key) })
	return changed
}
