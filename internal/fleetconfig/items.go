package fleetconfig

import (
	"encoding/json"
	"slices"
	"sync"
)

// ExtractLists splits the named lists off a JSON object. It returns the object without them, and the items
// of each list as written. A named member that is not a list stays in the object. If isObject is false, the
// document is not a JSON object, and decoding it returns the error.
func ExtractLists(document []byte, lists ...string) (rest []byte, items map[string][]json.RawMessage, isObject bool) {
	if !json.Valid(document) {
		return nil, nil, false
	}
	raw := document[skipSpace(document, 0):]
	if raw[0] != '{' {
		return nil, nil, false
	}
	remaining := []member{}
	items = map[string][]json.RawMessage{}
	for _, part := range members(raw) {
		if part.value[0] == '[' && slices.Contains(lists, part.key) {
			// Of two lists with the same key the later one counts, as in encoding/json.
			items[part.key] = elements(part.value)
			continue
		}
		remaining = append(remaining, part)
	}
	return writeObject(remaining), items, true
}

// ItemCache caches the decoded items of a list by their raw JSON. A change of a configuration usually
// modifies few items, and the others need not be decoded again. The zero value is ready to use, by any
// goroutine.
type ItemCache[T any] struct {
	lock   sync.Mutex
	cached map[string]T // items of the list that was read last; the map is replaced, never modified
}

// Read returns the decoded items, and calls read for those that are not cached. Items for which read
// reports false are not cached. A nil cache decodes all items.
func (c *ItemCache[T]) Read(items []json.RawMessage, read func(index int, item json.RawMessage) (value T, isValid bool)) []T {
	if c == nil {
		c = &ItemCache[T]{}
	}
	c.lock.Lock()
	known := c.cached
	c.lock.Unlock()
	next := make(map[string]T, len(items))
	values := make([]T, 0, len(items))
	for index, item := range items {
		value, isKnown := known[string(item)]
		if !isKnown {
			isValid := false
			if value, isValid = read(index, item); !isValid {
				values = append(values, value)
				continue
			}
		}
		next[string(item)] = value
		values = append(values, value)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.cached = next
	return values
}
