package registry

import (
	"iter"
	"slices"
	"strings"
)

// recordVersion has the directory revisions at which a record changed.
type recordVersion struct {
	rev       uint64 // the revision of the last change of any kind
	stableRev uint64 // the revision at which the record last changed in more than its load or its refreshed fields
	isLocal   bool   // learned in this zone, not from another zone's coordinator
}

// entry is a record of a table and its links in the list by revision.
type entry[R any] struct {
	key     string
	record  R
	version recordVersion
	older   *entry[R]
	newer   *entry[R]
}

// table stores records by key, and orders them both by key and by the revision of their last change. Like the
// directory, it belongs to one goroutine.
type table[R any] struct {
	byKey  map[string]*entry[R]
	sorted []*entry[R] // by key
	newest *entry[R]   // head of the list by revision
}

func newTable[R any]() *table[R] {
	return &table[R]{byKey: map[string]*entry[R]{}}
}

// find returns the index of a key among the sorted entries, or the index at which it would be inserted.
func (t *table[R]) find(key string) (index int, exists bool) {
	return slices.BinarySearchFunc(t.sorted, key, func(known *entry[R], key string) int { return strings.Compare(known.key, key) })
}

// get returns the record with the given key, or false if there is none.
func (t *table[R]) get(key string) (R, bool) {
	if known := t.byKey[key]; known != nil {
		return known.record, true
	}
	var none R
	return none, false
}

// version returns the version of the record with the given key, or zero if there is none.
func (t *table[R]) version(key string) recordVersion {
	if known := t.byKey[key]; known != nil {
		return known.version
	}
	return recordVersion{}
}

// refresh replaces an existing record without changing its version.
func (t *table[R]) refresh(key string, record R) { t.byKey[key].record = record }

// set adds or replaces a record. The revision of the version has to be larger than all earlier ones.
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

// remove removes the record with the given key, if there is one.
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

// unlink removes an entry from the list by revision.
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

// all iterates over the records in order of their keys. During the iteration records may be replaced, but none
// may be added or removed.
func (t *table[R]) all() iter.Seq[R] {
	return func(yield func(R) bool) {
		for _, known := range t.sorted {
			if !yield(known.record) {
				return
			}
		}
	}
}

// changedSince returns the wanted entries that changed after a revision, in order of their keys.
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
