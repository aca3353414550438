package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestTallyCountsAcrossChunkBoundaries(t *testing.T) {
	c := qt.New(t)
	body := []byte(stream(7))
	for first := 0; first <= len(body); first++ {
		var tally Tally
		count := tally.Take(body[:first]) + tally.Take(body[first:])
		c.Assert(count, qt.Equals, 7)
		c.Assert(tally.HasDoneMarker, qt.IsTrue)
		var short Tally
		short.Take(body[:len(body)-2])
		c.Assert(short.HasDoneMarker, qt.IsFalse)
	}
}
