package kernel

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	journalQueueSize     = 4096 // entries
	journalFlushInterval = time.Second
	journalSegments      = 8 // the bound of a stream is divided into so many files
	journalFormat        = "v1"
	maxJournalLine       = 64 << 10 // bytes
)

// streamNames begin the names of the files of each stream.
var streamNames = [streamCount]string{requestStream: "requests", decisionStream: "decisions"}

// JournalFile writes the entries of a journal to disk, so that they outlive the process. It never delays
// a decision: entries that the disk is too slow for are dropped and counted. Run has one caller; the
// rest may be called from any goroutine.
type JournalFile struct {
	path    string
	bound   int64 // bytes of each stream
	queue   chan Entry
	streams [streamCount]journalStream

	// Written and Dropped count entries, those synced and those lost.
	Written, Dropped atomic.Uint64

	lock  sync.Mutex // guards fault
	fault string
}

// journalStream is the writer's state of one stream. Readers use nothing of it but the name.
type journalStream struct {
	name string
	file *os.File // nil: the next write begins a new file
	size int64    // bytes of the file
}

// OpenJournalFile makes the folder if need be; the files of earlier processes stay as they are. The
// bound is in bytes, for each stream. An error is a [DiskError].
func OpenJournalFile(path string, bound int64) (*JournalFile, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("open the journal: %w", DiskError{"make", path, err})
	}
	f := &JournalFile{path: path, bound: bound, queue: make(chan Entry, journalQueueSize)}
	for i, name := range streamNames {
		f.streams[i].name = name
	}
	return f, nil
}

// Enqueue queues an entry to be written, and never blocks; if the queue is full the entry is dropped.
func (f *JournalFile) Enqueue(entry Entry) {
	select {
	case f.queue <- entry:
	default:
		f.Dropped.Add(1)
	}
}

// Fault says why entries can't be written at present; empty if they can.
func (f *JournalFile) Fault() string {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.fault
}

func (f *JournalFile) setFault(err error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.fault = ""
	if err != nil {
		f.fault = err.Error()
	}
}

// Run writes queued entries, at least once a second, until the context ends; what was queued before
// that is written first. A failed write drops its entries, is shown by Fault, and does not end Run.
func (f *JournalFile) Run(ctx context.Context) {
	ticker := time.NewTicker(journalFlushInterval)
	defer ticker.Stop()
	batches := [streamCount]journalBatch{}
	for {
		select {
		case <-ctx.Done():
			for len(f.queue) > 0 {
				f.addToBatch(&batches, <-f.queue)
			}
			f.flush(&batches)
			f.closeStreams()
			return
		case entry := <-f.queue:
			f.addToBatch(&batches, entry)
		case <-ticker.C:
			f.flush(&batches)
		}
	}
}

// journalBatch has the lines of one stream that are not written yet.
type journalBatch struct {
	lines bytes.Buffer
	count uint64
}

// addToBatch encodes an entry, and flushes once a batch is large. An entry that is too long for a line
// is dropped.
func (f *JournalFile) addToBatch(batches *[streamCount]journalBatch, entry Entry) {
	line, err := json.Marshal(entry)
	if err != nil || len(line) > maxJournalLine {
		f.Dropped.Add(1)
		return
	}
	batch := &batches[entry.stream()]
	batch.lines.Write(append(line, '\n'))
	batch.count++
	if batch.lines.Len() > maxJournalLine {
		f.flush(batches)
	}
}

// flush writes all batches and counts their entries as written or dropped.
func (f *JournalFile) flush(batches *[streamCount]journalBatch) {
	for i := range batches {
		batch := &batches[i]
		if batch.count == 0 {
			continue
		}
		err := f.write(&f.streams[i], batch.lines.Bytes())
		if err != nil {
			f.Dropped.Add(batch.count)
		} else {
			f.Written.Add(batch.count)
		}
		f.setFault(err)
		batch.lines.Reset()
		batch.count = 0
	}
}

// closeStreams closes the files that are open. All of their lines are synced, so that an error loses
// nothing.
func (f *JournalFile) closeStreams() {
	for i := range f.streams {
		if file := f.streams[i].file; file != nil {
			_ = file.Close()
			f.streams[i].file = nil
		}
	}
}

// write appends lines to the stream's newest file and syncs it. After an error the next write begins a
// new file, so that a complete line never follows an incomplete one.
func (f *JournalFile) write(stream *journalStream, lines []byte) error {
	if stream.file != nil && stream.size+int64(len(lines)) > f.bound/journalSegments {
		file := stream.file
		stream.file = nil
		if err := file.Close(); err != nil {
			return DiskError{"close", stream.name, err}
		}
	}
	if stream.file == nil {
		if err := f.beginFile(stream); err != nil {
			return err
		}
	}
	if err := stream.append(lines); err != nil {
		return err
	}
	stream.size += int64(len(lines))
	return nil
}

// beginFile begins a new file of a stream, and removes old ones to make space for it.
func (f *JournalFile) beginFile(stream *journalStream) error {
	if err := f.prune(stream); err != nil {
		return err
	}
	name := filepath.Join(f.path, fmt.Sprintf("%s-%s-%020d.jsonl", stream.name, journalFormat, time.Now().UnixNano()))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return DiskError{"create", stream.name, err}
	}
	stream.file, stream.size = file, 0
	return nil
}

// append writes lines to the open file and syncs it; after an error the file is closed.
func (s *journalStream) append(lines []byte) error {
	step := "write"
	_, err := s.file.Write(lines)
	if err == nil {
		step = "sync"
		err = s.file.Sync()
	}
	if err == nil {
		return nil
	}
	err = errors.Join(err, s.file.Close())
	s.file = nil
	return DiskError{step, s.name, err}
}

// files returns the paths of a stream's files, the oldest first.
func (f *JournalFile) files(stream string) []string {
	names, err := ListFiles(f.path, stream+"-"+journalFormat+"-", ".jsonl")
	if err != nil {
		return nil // a folder that can't be read has no files that can be
	}
	for i := range names {
		names[i] = filepath.Join(f.path, names[i])
	}
	return names
}

// prune removes the oldest files of a stream, until one more file fits within the bound.
func (f *JournalFile) prune(stream *journalStream) error {
	total := int64(0)
	for _, name := range slices.Backward(f.files(stream.name)) {
		info, err := os.Stat(name)
		if err != nil {
			continue // removed meanwhile
		}
		if total += info.Size(); total <= f.bound-f.bound/journalSegments {
			continue
		}
		if err := os.Remove(name); err != nil {
			return DiskError{"remove", name, err}
		}
	}
	return nil
}

// Read returns the entries on disk from a time of the wall clock on that isWanted selects, in order.
// It skips lines that are incomplete after a power failure, and files that can't be read.
func (f *JournalFile) Read(since Micros, isWanted func(Entry) bool) []Entry {
	entries := []Entry{}
	for _, stream := range streamNames {
		for _, name := range f.files(stream) {
			entries = append(entries, readEntries(name, func(entry Entry) bool {
				return entry.WallTime >= since && isWanted(entry)
			})...)
		}
	}
	slices.SortStableFunc(entries, compareEntries)
	return entries
}

// readEntries reads one file. Run writes no line that the buffer is too small for; after such a line,
// which is damage, the rest of the file is skipped.
func readEntries(name string, isWanted func(Entry) bool) []Entry {
	file, err := os.Open(name)
	if err != nil {
		return nil // pruned meanwhile
	}
	// It is open for reading alone: closing it can lose nothing.
	defer func() { _ = file.Close() }()
	entries := []Entry{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 2*maxJournalLine)
	for lines.Scan() {
		var entry Entry
		if json.Unmarshal(lines.Bytes(), &entry) == nil && isWanted(entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}
