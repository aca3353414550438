package house

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// write has a diary take entries of a process and write them to its end.
func writeDiary(c *qt.C, path string, bound int64, start uint64, note func(*Journal)) *Diary {
	diary, err := OpenDiary(path, bound)
	c.Assert(err, qt.IsNil)
	journal := NewJournal(64)
	journal.Open(start, func() Micros { return Micros(start * 1000) })
	journal.Watch = diary.Take
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	note(journal)
	total := uint64(len(diary.inbox))
	go func() { diary.Run(ctx); close(ended) }()
	for diary.Written.Load()+diary.Dropped.Load() < total && len(diary.inbox) > 0 {
		continue // it takes what is in its inbox before it ends
	}
	end()
	<-ended
	return diary
}

func everything(Entry) bool { return true }

func TestADiaryOutlivesItsProcess(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	writeDiary(c, path, 1<<20, 1, func(j *Journal) {
		j.Note(5, "flyloft", "core", "lead", "term 3")
		j.NoteRequest(6, "auditorium", "r1", "round 1 to e1", "preferred")
	})
	// The power goes in the middle of a line.
	files, err := filepath.Glob(filepath.Join(path, "decisions-*"))
	c.Assert(err, qt.IsNil)
	file, err := os.OpenFile(files[0], os.O_APPEND|os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	_, err = file.WriteString(`{"seq":2,"start":1,"at_us":7,"wall_u`)
	c.Assert(err, qt.IsNil)
	c.Assert(file.Close(), qt.IsNil)
	second := writeDiary(c, path, 1<<20, 2, func(j *Journal) {
		j.SetEra(9)
		j.Note(1, "flyloft", "core", "follow", "term 3")
	})
	found := second.Read(0, everything)
	c.Assert(found, qt.HasLen, 3)
	for i, subject := range []string{"core", "r1", "core"} {
		c.Assert(found[i].Subject, qt.Equals, subject)
	}
	c.Assert(found[2].Era, qt.Equals, uint64(9))
	c.Assert(second.Read(1500, everything), qt.HasLen, 1)
	c.Assert(second.Read(0, func(e Entry) bool { return e.Subject == "r1" }), qt.HasLen, 1)
	c.Assert(Join(found, found[1:], nil), qt.HasLen, 3)
}

func TestADiaryIsBoundedAndRequestsPushOutNoDecisions(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	long := strings.Repeat("x", 300)
	for start := range uint64(30) {
		writeDiary(c, path, 64<<10, start+1, func(j *Journal) {
			j.Note(1, "flyloft", "core", "lead", "term")
			for range 60 {
				j.NoteRequest(2, "auditorium", "r", "round", long)
			}
		})
	}
	last, err := OpenDiary(path, 64<<10)
	c.Assert(err, qt.IsNil)
	total := int64(0)
	for _, name := range last.files("requests") {
		info, err := os.Stat(name)
		c.Assert(err, qt.IsNil)
		total += info.Size()
	}
	c.Assert(total <= 64<<10+32<<10, qt.IsTrue, qt.Commentf("%d bytes", total))
	c.Assert(last.Read(0, func(e Entry) bool { return e.Subject == "core" }), qt.HasLen, 30)
	c.Assert(len(last.Read(0, everything)) > 60, qt.IsTrue)
}

// A disk that takes nothing costs entries, which are counted, and never a wait.
func TestADiaryOnADeadDiskDropsAndCounts(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "journal")
	diary := writeDiary(c, path, 1<<20, 1, func(j *Journal) {
		j.Note(1, "flyloft", "core", "lead", "term 3")
		// The folder is gone before the first write.
		c.Assert(os.RemoveAll(path), qt.IsNil)
	})
	c.Assert(diary.Written.Load(), qt.Equals, uint64(0))
	c.Assert(diary.Dropped.Load(), qt.Equals, uint64(1))
	c.Assert(diary.Ailment(), qt.Not(qt.Equals), "")
	// A stalled one: nobody takes from the inbox, and nobody waits.
	stalled, err := OpenDiary(c.TempDir(), 1<<20)
	c.Assert(err, qt.IsNil)
	for range diaryInbox + 7 {
		stalled.Take(Entry{})
	}
	c.Assert(stalled.Dropped.Load(), qt.Equals, uint64(7))
}

// An operator may read while entries are written; -race finds what the two share.
func TestADiaryIsReadWhileItIsWritten(t *testing.T) {
	c := qt.New(t)
	diary, err := OpenDiary(c.TempDir(), 1<<20)
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { diary.Run(ctx); close(stopped) }()
	read := make(chan struct{})
	go func() {
		defer close(read)
		for range 100 {
			diary.Read(0, everything)
		}
	}()
	diary.Take(Entry{Subject: "s", Seq: 1})
	stop()
	<-stopped
	<-read
	c.Assert(diary.Read(0, everything), qt.HasLen, 1)
}

// Run with -race: the reader may look at nothing that the writer changes.
func TestADiaryIsReadInOrderWhileItIsWritten(t *testing.T) {
	c := qt.New(t)
	diary, err := OpenDiary(c.TempDir(), 1<<20)
	c.Assert(err, qt.IsNil)
	const lines = 50
	ended := make(chan error, 1)
	go func() {
		for i := range lines {
			if err := diary.write(&diary.parts[1], fmt.Appendf(nil, "{\"seq\":%d,\"start\":1}\n", i)); err != nil {
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
		for i, entry := range diary.Read(0, everything) {
			c.Assert(entry.Seq, qt.Equals, uint64(i))
		}
	}
	c.Assert(diary.Read(0, everything), qt.HasLen, lines)
}
