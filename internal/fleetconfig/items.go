package fleetconfig

import (
	"encoding/json"
	"slices"
	"sync"
)

// ExtractLists takes lists out of a JSON object: it gives the object without them, and their items as they
// stand. False: the document is no whole JSON object, of which a decoder tells more. A member of another
// kind than a list stays where it is.
func ExtractLists(document []byte, lists ...string) (rest []byte, items map[string][]json.RawMessage, isObject bool) {
	if !json.Valid(document) {
		return nil, nil, false
	}
	raw := document[skipSpace(document, 0):]
	if raw[0] != '{' {
		return nil, nil, false
	}
	kept := []member{}
	items = map[string][]json.RawMessage{}
	for _, part := range members(raw) {
		if part.value[0] == '[' && slices.Contains(lists, part.key) {
			// Of two the later one counts, as with a decoder.
			items[part.key] = elements(part.value)
			continue
		}
		kept = append(kept, part)
	}
	return writeObject(kept), items, true
}

// ItemCache keeps what items of a list were read as, by how they are written. A change touches few items
// of a configuration, and the others need not be read again. Safe for use by several at once.
type ItemCache[T any] struct {
	lock   sync.Mutex
	cached map[string]T // of the list that was read last; never changed once it is here
}

// Read gives what each item was read as, and reads those that are new. What was read last is kept.
func (c *ItemCache[T]) Read(items []json.RawMessage, read func(index int, item json.RawMessage) (value T, isGood bool)) []T {
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
			isGood := false
			if value, isGood = read(index, item); !isGood {
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
