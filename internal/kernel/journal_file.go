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
	path    string
	bound   int64 // bytes of each sort
	queue   chan Entry
	streams [2]journalStream

	Written, Dropped atomic.Uint64

	lock  sync.Mutex // guards ailment alone
	fault string
}

type journalStream struct {
	name string
	file *os.File
	size int64
}

const (
	journalQueueSize = 4096
	journalSegments  = 8 // a sort's bound is cut into so many files
	journalFormat    = "v1"
	maxJournalLine   = 64 << 10
)

// OpenJournalFile makes the folder if need be. What earlier processes wrote stays as it is.
func OpenJournalFile(path string, bound int64) (*JournalFile, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, fmt.Errorf("open the journal: %w", DiskError{"make", path, err})
	}
	d := &JournalFile{path: path, bound: bound, queue: make(chan Entry, journalQueueSize)}
	d.streams[0].name, d.streams[1].name = "requests", "decisions"
	return d, nil
}

// Enqueue hands an entry over; when the disk lags behind it is dropped.
func (d *JournalFile) Enqueue(entry Entry) {
	select {
	case d.queue <- entry:
	default:
		d.Dropped.Add(1)
	}
}

// Fault says why entries are not written now; empty when they are.
func (d *JournalFile) Fault() string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.fault
}

// Run writes what is taken, and syncs once a second, until the context ends.
func (d *JournalFile) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	batches := [2]bytes.Buffer{}
	counts := [2]uint64{}
	flush := func() {
		for i := range d.streams {
			if counts[i] == 0 {
				continue
			}
			err := d.write(&d.streams[i], batches[i].Bytes())
			if err != nil {
				d.Dropped.Add(counts[i])
			} else {
				d.Written.Add(counts[i])
			}
			d.lock.Lock()
			d.fault = ""
			if err != nil {
				d.fault = err.Error()
			}
			d.lock.Unlock()
			batches[i].Reset()
			counts[i] = 0
		}
	}
	add := func(entry Entry) {
		line, err := json.Marshal(entry)
		if err != nil || len(line) > maxJournalLine {
			d.Dropped.Add(1)
			return
		}
		stream := streamIndex(entry)
		batches[stream].Write(append(line, '\n'))
		counts[stream]++
		if batches[stream].Len() > maxJournalLine {
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
func (d *JournalFile) write(stream *journalStream, lines []byte) error {
	fail := func(step string, err error) error {
		if stream.file != nil {
			stream.file.Close()
			stream.file = nil
		}
		return DiskError{step, stream.name, err}
	}
	if stream.file != nil && stream.size+int64(len(lines)) > d.bound/journalSegments {
		if err := stream.file.Close(); err != nil {
			return fail("close", err)
		}
		stream.file = nil
	}
	if stream.file == nil {
		if err := d.prune(stream); err != nil {
			return err
		}
		name := filepath.Join(d.path, fmt.Sprintf("%s-%s-%020d.jsonl", stream.name, journalFormat, time.Now().UnixNano()))
		file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
		if err != nil {
			return fail("create", err)
		}
		stream.file, stream.size = file, 0
	}
	if _, err := stream.file.Write(lines); err != nil {
		return fail("write", err)
	}
	if err := stream.file.Sync(); err != nil {
		return fail("sync", err)
	}
	stream.size += int64(len(lines))
	return nil
}

func (d *JournalFile) files(stream string) []string {
	files, err := filepath.Glob(filepath.Join(d.path, stream+"-"+journalFormat+"-*.jsonl"))
	if err != nil {
		return nil // only a bad pattern fails, and this one is ours
	}
	sort.Strings(files)
	return files
}

// prune makes room for one more file under the part's bound; the oldest go.
func (d *JournalFile) prune(stream *journalStream) error {
	files, total := d.files(stream.name), int64(0)
	for i := len(files) - 1; i >= 0; i-- {
		info, err := os.Stat(files[i])
		if err != nil {
			continue // gone already
		}
		if total += info.Size(); total <= d.bound-d.bound/journalSegments {
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
	entries := []Entry{}
	// Only the names: the rest of a part is its writer's alone.
	for i := range d.streams {
		for _, name := range d.files(d.streams[i].name) {
			file, err := os.Open(name)
			if err != nil {
				continue // pruned meanwhile
			}
			lines := bufio.NewScanner(file)
			lines.Buffer(nil, 2*maxJournalLine)
			for lines.Scan() {
				var entry Entry
				if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.WallTime >= since && isWanted(entry) {
					entries = append(entries, entry)
				}
			}
			file.Close()
		}
	}
	slices.SortStableFunc(entries, compareEntries)
	return entries
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

// MergeEntries puts a node's entries of disk and memory together, each once.
func MergeEntries(lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEntries)
	return slices.CompactFunc(all, func(a, b Entry) bool { return a.Start == b.Start && a.Seq == b.Seq })
}
