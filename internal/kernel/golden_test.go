package kernel

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// updateGolden rewrites the golden files. They have the format that running nodes have on disk, so a golden
// file may change only if the format is changed on purpose.
var updateGolden = flag.Bool("update", false, "rewrite the golden files")

const goldenJournal = "testdata/golden/journal"

// journalFileName matches the name of a journal file. The number is the time at which the file was created.
var journalFileName = regexp.MustCompile(`^(requests|decisions)-v1-\d{20}\.jsonl$`)

// fillEntry sets each field of an entry by its type and position, so that the result does not depend on the
// names of the fields in Go.
func fillEntry(c *qt.C) Entry {
	c.Helper()
	var entry Entry
	for i := range reflect.TypeFor[Entry]().NumField() {
		switch field := reflect.ValueOf(&entry).Elem().Field(i); field.Kind() {
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Int64:
			field.SetInt(int64(i + 1))
		case reflect.Uint64:
			field.SetUint(uint64(i + 1))
		case reflect.String:
			field.SetString(fmt.Sprintf("text <%d>", i+1))
		default:
			c.Fatalf("fillEntry does not support fields of type %s", field.Type())
		}
	}
	return entry
}

// goldenEntries returns an empty entry, and one entry of each stream with every field set except that
// IsRequest is false in the stream of decisions.
func goldenEntries(c *qt.C) []Entry {
	request, decision := fillEntry(c), fillEntry(c)
	decision.IsRequest = false
	decision.Seq++
	return []Entry{{}, request, decision}
}

// writeJournalFolder writes entries to journal files and returns their folder. In the file names it replaces
// the time of creation by a constant.
func writeJournalFolder(c *qt.C, entries []Entry) string {
	c.Helper()
	written, named := c.TempDir(), c.TempDir()
	journalFile, err := OpenJournalFile(written, 1<<20)
	c.Assert(err, qt.IsNil)
	for _, entry := range entries {
		journalFile.Enqueue(entry)
	}
	// Run writes the entries that were queued before the context ended.
	ctx, end := context.WithCancel(context.Background())
	end()
	journalFile.Run(ctx)
	c.Assert(journalFile.Written.Load(), qt.Equals, uint64(len(entries)))
	files, err := os.ReadDir(written)
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		match := journalFileName.FindStringSubmatch(file.Name())
		c.Assert(match, qt.HasLen, 2, qt.Commentf("file %s", file.Name()))
		name := fmt.Sprintf("%s-v1-%020d.jsonl", match[1], 1)
		c.Assert(os.Rename(filepath.Join(written, file.Name()), filepath.Join(named, name)), qt.IsNil)
	}
	return named
}

func filesIn(c *qt.C, path string) map[string]string {
	c.Helper()
	entries, err := os.ReadDir(path)
	c.Assert(err, qt.IsNil)
	files := map[string]string{}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(path, entry.Name()))
		c.Assert(err, qt.IsNil)
		files[entry.Name()] = string(content)
	}
	return files
}

// The journal files are written byte for byte as in the golden files, and the golden files can be read. Only
// the time in the file names differs.
func TestJournalFileFormatIsUnchanged(t *testing.T) {
	c := qt.New(t)
	entries := goldenEntries(c)
	written := writeJournalFolder(c, entries)
	if *updateGolden {
		c.Assert(os.RemoveAll(goldenJournal), qt.IsNil)
		c.Assert(os.CopyFS(goldenJournal, os.DirFS(written)), qt.IsNil)
	}
	c.Assert(filesIn(c, written), qt.DeepEquals, filesIn(c, goldenJournal))
	path := c.TempDir()
	c.Assert(os.CopyFS(path, os.DirFS(goldenJournal)), qt.IsNil)
	journalFile, err := OpenJournalFile(path, 1<<20)
	c.Assert(err, qt.IsNil)
	found := journalFile.Read(0, func(Entry) bool { return true })
	slices.SortStableFunc(entries, compareEntries)
	c.Assert(found, qt.DeepEquals, entries)
}
