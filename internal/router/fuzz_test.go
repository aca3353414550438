package router

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Header values from callers and engines are either parsed completely or rejected with the name of the header.
func FuzzHeaders(f *testing.F) {
	for _, seed := range []string{"", "1460,80", "1", "-1,2", "1,", ",1", "99999999999,1", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "a:", ":1", "a:1,,b:2", "3,0,8", " 3 , 0 , 8 ", "a:1:2"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c := qt.New(t)
		prompt, output, err := ParseTokens("tokens", text)
		if err != nil {
			var badHeader BadHeaderError
			c.Assert(err, qt.ErrorAs, &badHeader)
			c.Assert(badHeader.Name, qt.Equals, "tokens")
		}
		c.Assert(prompt >= 0 && prompt <= maxTokens && output >= 0 && output <= maxTokens, qt.IsTrue)
		segments, err := ParseSegments("segments", text)
		if err != nil {
			c.Assert(err, qt.ErrorAs, new(BadHeaderError))
			c.Assert(segments, qt.HasLen, 0)
		}
		for _, segment := range segments {
			c.Assert(segment.ID != "" && segment.Tokens >= 0 && !strings.Contains(segment.ID, ","), qt.IsTrue)
		}
		// Equal segments have equal hashes.
		c.Assert(PrefixHash(segments, 64), qt.Equals, PrefixHash(append([]Segment(nil), segments...), 64))
		if load, isLoad := ParseLoad(text); isLoad {
			c.Assert(load.Running >= 0 && load.Waiting >= 0 && load.Slots >= 0, qt.IsTrue)
		}
	})
}

// However the bytes of a stream are divided into reads, the same complete events result in order. Nothing is lost:
// the returned bytes and the pending ones together are the bytes read.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint8(3))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n: note\r\n\r\ndata: x"), uint8(1))
	f.Add([]byte("\n\n\nid:\n\nid: 7"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		c := qt.New(t)
		split := func(size int) (given []byte, events int, s *eventSplitter) {
			s = &eventSplitter{}
			for rest := stream; len(rest) > 0; {
				count := min(size, len(rest))
				whole, found := s.feed(rest[:count])
				given, events = append(given, whole...), events+found
				s.discard(len(whole))
				rest = rest[count:]
			}
			return given, events, s
		}
		given, events, s := split(int(step)%7 + 1)
		once, eventsOnce, sOnce := split(max(len(stream), 1))
		c.Assert(bytes.Equal(given, once), qt.IsTrue)
		c.Assert(events, qt.Equals, eventsOnce)
		c.Assert(s.lastID, qt.Equals, sOnce.lastID)
		c.Assert(bytes.Equal(append(append([]byte(nil), given...), s.pending...), stream), qt.IsTrue)
	})
}
