package kernel

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAJournalKeepsTheNewestInOrder(t *testing.T) {
	c := qt.New(t)
	journal := NewJournal(4)
	for i := range 10 {
		journal.Record(Micros(i), "part", []string{"odd", "even"}[(i+1)%2], "decide", "because")
	}
	all := journal.Read("", "", 0)
	c.Assert(all, qt.HasLen, 4)
	for i, entry := range all {
		c.Assert(entry.Seq, qt.Equals, uint64(6+i))
	}
	even := journal.Read("part", "even", 1)
	c.Assert(even, qt.HasLen, 1)
	c.Assert(even[0].At, qt.Equals, Micros(8))
	c.Assert(journal.Read("other", "", 0), qt.HasLen, 0)
	var none *Journal
	none.Record(0, "", "", "", "") // a nil journal records nothing
}
