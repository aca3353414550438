package router

import (
	"bytes"
	"fmt"
)

// maxEventBytes limits the size of an event that has not ended yet.
const maxEventBytes = 1 << 20

// eventTooLongError says that an event exceeds maxEventBytes.
type eventTooLongError struct{ size int }

func (e eventTooLongError) Error() string {
	return fmt.Sprintf("the event has %d bytes so far and no end, above the limit", e.size)
}

// eventSplitter splits the bytes of a stream into events. Only complete events are forwarded, so that an interrupted
// stream can be resumed at another engine after the last of them.
type eventSplitter struct {
	pending []byte // bytes of an event that has not ended yet
	lastID  string
	// hasEventWithoutID is set once an event with data but without an ID has ended. The stream can't be resumed after
	// such an event.
	hasEventWithoutID bool
	// hasEndMark is set if the latest event with data that has ended is the end mark.
	hasEndMark bool
	// hasEvents is set once an event with data has ended in the current response.
	hasEvents bool
}

// endMark is the data of the event by which many engines mark the end of a complete stream.
const endMark = "[DONE]"

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// feed adds bytes and returns the bytes of all complete events, and the number of these events. Comments count as
// events. The result is valid until the next call.
func (s *eventSplitter) feed(chunk []byte) (complete []byte, events int) {
	s.pending = append(s.pending, chunk...)
	end, start := 0, 0
	for start < len(s.pending) {
		next := bytes.IndexByte(s.pending[start:], '\n')
		if next < 0 {
			break
		}
		line := bytes.TrimSuffix(s.pending[start:start+next], []byte{'\r'})
		start += next + 1
		if len(line) == 0 {
			if start-end > 2 {
				events++
			}
			s.parseEvent(s.pending[end:start])
			end = start
		}
	}
	return s.pending[:end], events
}

// discard removes the first count bytes from pending. It is called with the length of what feed has returned.
func (s *eventSplitter) discard(count int) {
	s.pending = append(s.pending[:0], s.pending[count:]...)
}

// parseEvent updates the state from an event that has ended.
func (s *eventSplitter) parseEvent(event []byte) {
	hasData, hasID, isEndMark := false, false, false
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		switch {
		case bytes.HasPrefix(line, idField):
			s.lastID = string(bytes.TrimSpace(line[len(idField):]))
			hasID = true
		case bytes.HasPrefix(line, dataField):
			hasData = true
			isEndMark = isEndMarkLine(line)
		}
	}
	if hasData {
		s.hasEndMark, s.hasEvents = isEndMark, true
	}
	s.hasEventWithoutID = s.hasEventWithoutID || hasData && !hasID
}

// isEndMarkLine reports whether a data line holds nothing but the end mark.
func isEndMarkLine(line []byte) bool {
	_, value, _ := bytes.Cut(line, []byte{':'})
	return string(bytes.TrimSpace(value)) == endMark
}
