package kernel

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

type stepFailedError struct{ step int }

func (stepFailedError) Error() string { return "a step failed" }

func TestCleanUpRunsInReverseAndJoinsFailures(t *testing.T) {
	c := qt.New(t)
	var cleanup Cleanup
	order := []int{}
	for i := range 3 {
		cleanup.Defer(func() error {
			order = append(order, i)
			if i == 1 {
				return stepFailedError{i}
			}
			return nil
		})
	}
	err := cleanup.Run()
	c.Assert(order, qt.DeepEquals, []int{2, 1, 0})
	c.Assert(errors.Is(err, stepFailedError{1}), qt.IsTrue)
	// Steps are taken once.
	c.Assert(cleanup.Run(), qt.IsNil)
	c.Assert(order, qt.HasLen, 3)
}

func TestServicesAreFoundByNameAndType(t *testing.T) {
	c := qt.New(t)
	kernel := Open()
	journal := NewJournal(4)
	c.Assert(kernel.Register("journal", journal), qt.IsNil)
	found, err := Find[*Journal](kernel, "journal")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.Equals, journal)
	for _, failed := range []error{
		kernel.Register("journal", journal),
		func() error { _, err := Find[*Cleanup](kernel, "journal"); return err }(),
		func() error { _, err := Find[*Journal](kernel, "none"); return err }(),
	} {
		c.Assert(errors.As(failed, new(ServiceError)), qt.IsTrue)
	}
}

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
	none.Record(0, "", "", "", "") // a nil journal takes nothing and harms nobody
}

func TestHalfWrittenFilesAreClearedAtTheStart(t *testing.T) {
	c := qt.New(t)
	path := t.TempDir()
	folder, err := OpenFolder(path)
	c.Assert(err, qt.IsNil)
	c.Assert(folder.Put("whole", []byte("kept")), qt.IsNil)
	// What a crash leaves between the first byte and the rename.
	c.Assert(os.WriteFile(filepath.Join(path, "half.aside"), []byte("ha"), 0o600), qt.IsNil)
	names, err := folder.List("")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"whole"})
	_, err = OpenFolder(path)
	c.Assert(err, qt.IsNil)
	_, err = os.Stat(filepath.Join(path, "half.aside"))
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
	// A failure says which step on which file, and gives its room back.
	c.Assert(os.Mkdir(filepath.Join(path, "taken"), 0o755), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(path, "taken", "x"), nil, 0o600), qt.IsNil)
	err = folder.Put("taken", []byte("y"))
	var error DiskError
	c.Assert(errors.As(err, &error), qt.IsTrue)
	c.Assert(error.Step, qt.Equals, "rename")
	_, err = os.Stat(filepath.Join(path, "taken.aside"))
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
}

func TestTheBootClockNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	last := BootClock{}.Now()
	for range 1000 {
		next := BootClock{}.Now()
		c.Assert(next >= last, qt.IsTrue)
		last = next
	}
}
