package kernel

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// writeJournalFile simulates one process: it writes the entries that record makes to a journal file and stops.
func writeJournalFile(c *qt.C, path string, bound int64, start uint64, record func(*Journal)) *JournalFile {
	c.Helper()
	journalFile, err := OpenJournalFile(path, bound)
	c.Assert(err, qt.IsNil)
	journal := NewJournal(64)
	journal.Open(start, func() Micros { return Micros(start * 1000) })
	journal.Observe(journalFile.Enqueue)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	record(journal)
	total := uint64(len(journalFile.queue))
	go func() { journalFile.Run(ctx); close(ended) }()
	for journalFile.Written.Load()+journalFile.Dropped.Load() < total && len(journalFile.queue) > 0 {
		runtime.Gosched() // so that entries are written both before and after the context ends
	}
	end()
	<-ended
	return journalFile
}

func allEntries(Entry) bool { return true }

func TestJournalEntriesSurviveARestart(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	writeJournalFile(c, path, 1<<20, 1, func(j *Journal) {
		j.Record(5, "control", "core", "lead", "term 3")
		j.RecordRequest(6, "relay", "r1", "round 1 to e1", "preferred")
	})
	// A power failure leaves an incomplete line.
	files, err := filepath.Glob(filepath.Join(path, "decisions-*"))
	c.Assert(err, qt.IsNil)
	file, err := os.OpenFile(files[0], os.O_APPEND|os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	_, err = file.WriteString(`{"seq":2,"start":1,"at_us":7,"wall_u`)
	c.Assert(err, qt.IsNil)
	c.Assert(file.Close(), qt.IsNil)
	second := writeJournalFile(c, path, 1<<20, 2, func(j *Journal) {
		j.SetRevision(9)
		j.Record(1, "control", "core", "follow", "term 3")
	})
	found := second.Read(0, allEntries)
	c.Assert(found, qt.HasLen, 3)
	for i, subject := range []string{"core", "r1", "core"} {
		c.Assert(found[i].Subject, qt.Equals, subject)
	}
	c.Assert(found[2].Revision, qt.Equals, uint64(9))
	c.Assert(second.Read(1500, allEntries), qt.HasLen, 1)
	c.Assert(second.Read(0, func(e Entry) bool { return e.Subject == "r1" }), qt.HasLen, 1)
	c.Assert(MergeEntries(found, found[1:], nil), qt.HasLen, 3)
}

func TestAJournalIsBoundedAndRequestsDisplaceNoDecisions(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	long := strings.Repeat("x", 300)
	for start := range uint64(30) {
		writeJournalFile(c, path, 64<<10, start+1, func(j *Journal) {
			j.Record(1, "control", "core", "lead", "term")
			for range 60 {
				j.RecordRequest(2, "relay", "r", "round", long)
			}
		})
	}
	last, err := OpenJournalFile(path, 64<<10)
	c.Assert(err, qt.IsNil)
	total := int64(0)
	for _, name := range last.files(streamNames[requestStream]) {
		info, err := os.Stat(name)
		c.Assert(err, qt.IsNil)
		total += info.Size()
	}
	c.Assert(total <= 64<<10+32<<10, qt.IsTrue, qt.Commentf("%d bytes", total))
	c.Assert(last.Read(0, func(e Entry) bool { return e.Subject == "core" }), qt.HasLen, 30)
	c.Assert(len(last.Read(0, allEntries)) > 60, qt.IsTrue)
}

// If the disk fails, entries are dropped and counted, and Enqueue does not block.
func TestAJournalOnAFailingDiskDropsAndCounts(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "journal")
	journalFile := writeJournalFile(c, path, 1<<20, 1, func(j *Journal) {
		j.Record(1, "control", "core", "lead", "term 3")
		// The folder is removed before the first write.
		c.Assert(os.RemoveAll(path), qt.IsNil)
	})
	c.Assert(journalFile.Written.Load(), qt.Equals, uint64(0))
	c.Assert(journalFile.Dropped.Load(), qt.Equals, uint64(1))
	c.Assert(journalFile.Fault(), qt.Not(qt.Equals), "")
	// If the disk stalls, the queue fills up and Enqueue drops further entries.
	stalled, err := OpenJournalFile(c.TempDir(), 1<<20)
	c.Assert(err, qt.IsNil)
	for range journalQueueSize + 7 {
		stalled.Enqueue(Entry{})
	}
	c.Assert(stalled.Dropped.Load(), qt.Equals, uint64(7))
}

// An operator may read the journal while entries are written. This is checked under -race.
func TestAJournalIsReadWhileItIsWritten(t *testing.T) {
	c := qt.New(t)
	journalFile, err := OpenJournalFile(c.TempDir(), 1<<20)
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { journalFile.Run(ctx); close(stopped) }()
	read := make(chan struct{})
	go func() {
		defer close(read)
		for range 100 {
			journalFile.Read(0, allEntries)
		}
	}()
	journalFile.Enqueue(Entry{Subject: "s", Seq: 1})
	stop()
	<-stopped
	<-read
	c.Assert(journalFile.Read(0, allEntries), qt.HasLen, 1)
}

// The reader sees entries in order while they are written, and under -race shares no mutable state with the
// writer.
func TestAJournalIsReadInOrderWhileItIsWritten(t *testing.T) {
	c := qt.New(t)
	journalFile, err := OpenJournalFile(c.TempDir(), 1<<20)
	c.Assert(err, qt.IsNil)
	const lines = 50
	ended := make(chan error, 1)
	go func() {
		for i := range lines {
			if err := journalFile.write(&journalFile.streams[decisionStream], fmt.Appendf(nil, "{\"seq\":%d,\"start\":1}\n", i)); err != nil {
				ended <- err
				return
			}
		}
		ended <- nil
	}()
	for isOver := false; !isOver; {
		select {
		case err := <-ended:
			c.Assert(err, qt.IsNil)
			isOver = true
		default:
		}
		for i, entry := range journalFile.Read(0, allEntries) {
			c.Assert(entry.Seq, qt.Equals, uint64(i))
		}
	}
	c.Assert(journalFile.Read(0, allEntries), qt.HasLen, lines)
}
