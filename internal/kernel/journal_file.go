package kernel

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// JournalFile writes a journal's entries to disk, so that they outlive the process. It never
// delays a decision: what the disk does not take in time is dropped and counted.
type JournalFile struct {
	path  string
	bound int64 // bytes of each sort
	queue chan Entry
	parts [2]journalFilePart

	Written, Dropped atomic.Uint64

	lock    sync.Mutex // guards ailment alone
	ailment string
}

type journalFilePart struct {
	name string
	file *os.File
	size int64
}

const (
	journalFileQueue    = 4096
	journalFileSegments = 8 // a sort's bound is cut into so many files
	journalFileFormat   = "v1"
	journalFileLine     = 64 << 10
)

// OpenJournalFile makes the folder if need be. What earlier processes wrote stays as it is.
func OpenJournalFile(path string, bound int64) (*JournalFile, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, fmt.Errorf("open the journal: %w", DiskError{"make", path, err})
	}
	d := &JournalFile{path: path, bound: bound, queue: make(chan Entry, journalFileQueue)}
	d.parts[0].name, d.parts[1].name = "requests", "decisions"
	return d, nil
}

// Take hands an entry over; when the disk lags behind it is dropped.
func (d *JournalFile) Take(entry Entry) {
	select {
	case d.queue <- entry:
	default:
		d.Dropped.Add(1)
	}
}

// Ailment says why entries are not written now; empty when they are.
func (d *JournalFile) Ailment() string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.ailment
}

// Run writes what is taken, and syncs once a second, until the context ends.
func (d *JournalFile) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	batches := [2]bytes.Buffer{}
	counts := [2]uint64{}
	flush := func() {
		for i := range d.parts {
			if counts[i] == 0 {
				continue
			}
			err := d.write(&d.parts[i], batches[i].Bytes())
			if err != nil {
				d.Dropped.Add(counts[i])
			} else {
				d.Written.Add(counts[i])
			}
			d.lock.Lock()
			d.ailment = ""
			if err != nil {
				d.ailment = err.Error()
			}
			d.lock.Unlock()
			batches[i].Reset()
			counts[i] = 0
		}
	}
	add := func(entry Entry) {
		line, err := json.Marshal(entry)
		if err != nil || len(line) > journalFileLine {
			d.Dropped.Add(1)
			return
		}
		sort := sortOf(entry)
		batches[sort].Write(append(line, '\n'))
		counts[sort]++
		if batches[sort].Len() > journalFileLine {
			flush()
		}
	}
	for {
		select {
		case <-ctx.Done():
			// What was handed over before the end is written still.
			for len(d.queue) > 0 {
				add(<-d.queue)
			}
			flush()
			return
		case entry := <-d.queue:
			add(entry)
		case <-ticker.C:
			flush()
		}
	}
}

// write adds lines to the part's newest file and syncs it. After a failure the next
// write begins a new file, so that half a line never stands before a whole one.
func (d *JournalFile) write(part *journalFilePart, lines []byte) error {
	fail := func(step string, err error) error {
		if part.file != nil {
			part.file.Close()
			part.file = nil
		}
		return DiskError{step, part.name, err}
	}
	if part.file != nil && part.size+int64(len(lines)) > d.bound/journalFileSegments {
		if err := part.file.Close(); err != nil {
			return fail("close", err)
		}
		part.file = nil
	}
	if part.file == nil {
		if err := d.prune(part); err != nil {
			return err
		}
		name := filepath.Join(d.path, fmt.Sprintf("%s-%s-%020d.jsonl", part.name, journalFileFormat, time.Now().UnixNano()))
		file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
		if err != nil {
			return fail("create", err)
		}
		part.file, part.size = file, 0
	}
	if _, err := part.file.Write(lines); err != nil {
		return fail("write", err)
	}
	if err := part.file.Sync(); err != nil {
		return fail("sync", err)
	}
	part.size += int64(len(lines))
	return nil
}

func (d *JournalFile) files(part string) []string {
	found, err := filepath.Glob(filepath.Join(d.path, part+"-"+journalFileFormat+"-*.jsonl"))
	if err != nil {
		return nil // only a bad pattern fails, and this one is ours
	}
	sort.Strings(found)
	return found
}

// prune makes room for one more file under the part's bound; the oldest go.
func (d *JournalFile) prune(part *journalFilePart) error {
	files, total := d.files(part.name), int64(0)
	for i := len(files) - 1; i >= 0; i-- {
		info, err := os.Stat(files[i])
		if err != nil {
			continue // gone already
		}
		if total += info.Size(); total <= d.bound-d.bound/journalFileSegments {
			continue
		}
		if err := os.Remove(files[i]); err != nil {
			return DiskError{"remove", files[i], err}
		}
	}
	return nil
}

// Read gives what is on disk from a moment of the wall clock on, in the order it was
// written. Lines that a power cut left half written are passed over.
func (d *JournalFile) Read(since Micros, isWanted func(Entry) bool) []Entry {
	found := []Entry{}
	// Only the names: the rest of a part is its writer's alone.
	for i := range d.parts {
		for _, name := range d.files(d.parts[i].name) {
			file, err := os.Open(name)
			if err != nil {
				continue // pruned meanwhile
			}
			lines := bufio.NewScanner(file)
			lines.Buffer(nil, 2*journalFileLine)
			for lines.Scan() {
				var entry Entry
				if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Wall >= since && isWanted(entry) {
					found = append(found, entry)
				}
			}
			file.Close()
		}
	}
	slices.SortStableFunc(found, compareEntries)
	return found
}

// compareEntries orders one node's entries: by process, then by their number in it.
func compareEntries(a, b Entry) int {
	switch {
	case a.Start != b.Start:
		if a.Start < b.Start {
			return -1
		}
		return 1
	case a.Seq != b.Seq:
		if a.Seq < b.Seq {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Subject, b.Subject)
}

// Join puts a node's entries of disk and memory together, each once.
func Join(lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEntries)
	return slices.CompactFunc(all, func(a, b Entry) bool { return a.Start == b.Start && a.Seq == b.Seq })
}
