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
	journalSegments      = 8 // number of files that the size limit of a stream is divided into
	journalFormat        = "v1"
	maxJournalLine       = 64 << 10 // bytes
)

// streamNames are the prefixes of the file names of each stream.
var streamNames = [streamCount]string{requestStream: "requests", decisionStream: "decisions"}

// JournalFile writes the entries of a journal to disk, so that they survive a restart. It never delays a
// decision: if the disk is too slow, entries are dropped and counted. Run is called once; the other methods
// may be called from any goroutine.
type JournalFile struct {
	path    string
	bound   int64 // maximum bytes of each stream
	queue   chan Entry
	streams [streamCount]journalStream

	// Written counts the entries that were written and synced, Dropped those that were lost.
	Written, Dropped atomic.Uint64

	lock  sync.Mutex // guards fault
	fault string
}

// journalStream is the writer's state of one stream. Readers use only its name.
type journalStream struct {
	name string
	file *os.File // nil: the next write creates a new file
	size int64    // bytes written to the file
}

// OpenJournalFile creates the folder if it does not exist. Files of earlier processes stay unchanged. The
// bound is the maximum size of each stream in bytes. An error is a [DiskError].
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

// Enqueue queues an entry for writing. It never blocks; if the queue is full, the entry is dropped.
func (f *JournalFile) Enqueue(entry Entry) {
	select {
	case f.queue <- entry:
	default:
		f.Dropped.Add(1)
	}
}

// Fault returns the error of the most recent write, or the empty string if that write succeeded.
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

// Run writes queued entries, at least once a second, until the context ends. Before it returns, it writes
// the entries that are still queued. If a write fails, its entries are dropped, Fault returns the error, and
// Run continues.
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

// journalBatch has the encoded lines of one stream that are not written yet.
type journalBatch struct {
	lines bytes.Buffer
	count uint64
}

// addToBatch encodes an entry and adds it to the batch of its stream. Once a batch exceeds maxJournalLine,
// all batches are flushed. An entry whose line would be longer than maxJournalLine is dropped.
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

// closeStreams closes the open files. All lines in them are synced, so an error of Close loses no data.
func (f *JournalFile) closeStreams() {
	for i := range f.streams {
		if file := f.streams[i].file; file != nil {
			_ = file.Close()
			f.streams[i].file = nil
		}
	}
}

// write appends lines to the stream's newest file and syncs it. If the file would become too large, a new
// one is created first. After an error the next write creates a new file, because the failed write may have
// left an incomplete line.
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

// beginFile creates a new file of a stream, after removing old ones to stay within the size limit.
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

// append writes lines to the open file and syncs it. After an error it closes the file.
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
		return nil // if the folder can't be listed, its files can't be read either
	}
	for i := range names {
		names[i] = filepath.Join(f.path, names[i])
	}
	return names
}

// prune removes the oldest files of a stream until a new file fits within the size limit.
func (f *JournalFile) prune(stream *journalStream) error {
	total := int64(0)
	for _, name := range slices.Backward(f.files(stream.name)) {
		info, err := os.Stat(name)
		if err != nil {
			continue // the file was removed concurrently
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

// Read returns, in order, the entries on disk that isWanted selects and whose wall-clock time is not before
// since. It skips files that can't be read and lines that a power failure left incomplete.
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

// readEntries returns the selected entries of one file. Run never writes a line longer than the read buffer.
// If the file has one, it is corrupted, and its remaining lines are skipped.
func readEntries(name string, isWanted func(Entry) bool) []Entry {
	file, err := os.Open(name)
	if err != nil {
		return nil // the file was pruned concurrently
	}
	// The file is open for reading only, so an error of Close loses no data.
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
