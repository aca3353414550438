package fleetconfig

import (
	"encoding/json"
	"slices"
	"sync"
)

// ExtractLists removes lists from a JSON object: it gives the object without them, and their items as
// written. False: the document is not a JSON object, and a decoder says why. A member that is not a
// list stays where it is.
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
			// Of two the later one counts, as with a decoder.
			items[part.key] = elements(part.value)
			continue
		}
		remaining = append(remaining, part)
	}
	return writeObject(remaining), items, true
}

// ItemCache keeps what the items of a list were decoded to, by their text. A change concerns few items
// of a configuration, and the others need not be decoded again. The zero value is ready; any goroutine
// may use it.
type ItemCache[T any] struct {
	lock   sync.Mutex
	cached map[string]T // of the list that was read last; the map is replaced, never changed
}

// Read gives what each item was decoded to, and calls read for those that are new. An item that is not
// good is not kept. A nil cache keeps nothing.
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
