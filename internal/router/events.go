package router

import (
	"bytes"
	"fmt"
)

// maxEventBytes is the most bytes of one event.
const maxEventBytes = 1 << 20

// eventTooLongError says that an event has not ended within its bound.
type eventTooLongError struct{ size int }

func (e eventTooLongError) Error() string {
	return fmt.Sprintf("%d bytes came without the end of an event", e.size)
}

// eventSplitter finds the ends of events in a stream's bytes, so that a stream that breaks off can be resumed
// elsewhere after a complete event.
type eventSplitter struct {
	pending []byte // bytes of an event that has not ended yet
	lastID  string
	// hasEventWithoutID: an event with data but without an id ended. After it the stream can't be resumed.
	hasEventWithoutID bool
	// hasEndMark: the last event that ended is the mark with which a stream says that it is complete.
	hasEndMark bool
	// hasEvents: an event with data has ended, in the response under way.
	hasEvents bool
}

// endMark is the data of the event with which the streams of many engines say that they are complete.
const endMark = "[DONE]"

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// feed adds bytes and gives those of complete events, with how many events they are; comments count as
// events. What it gives is valid until the next call.
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

// discard drops what take gave.
func (s *eventSplitter) discard(count int) {
	s.pending = append(s.pending[:0], s.pending[count:]...)
}

// parseEvent notes the id of an event that has ended.
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

// isEndMarkLine tells whether a data line holds the end mark alone.
func isEndMarkLine(line []byte) bool {
	_, value, _ := bytes.Cut(line, []byte{':'})
	return string(bytes.TrimSpace(value)) == endMark
}
