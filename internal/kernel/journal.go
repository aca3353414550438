package kernel

import (
	"cmp"
	"slices"
	"sync"
)

// Journal has the newest decisions of a node in memory, up to a maximum number for each stream. All methods
// except Open may be called from any goroutine. Recording to a nil journal does nothing; Open and Read need
// a journal that is not nil.
type Journal struct {
	lock      sync.Mutex
	rings     [streamCount]ring
	count     uint64 // of all entries recorded so far
	start     uint64
	revision  uint64
	wallClock func() Micros
	onEntry   func(Entry) // see Observe; nil: nobody observes
}

// ring is a ring buffer of the newest entries of a stream. Its size is the capacity of entries.
type ring struct {
	entries []Entry
	count   uint64
}

func (r *ring) add(entry Entry) {
	if len(r.entries) < cap(r.entries) {
		r.entries = append(r.entries, entry)
	} else {
		r.entries[r.count%uint64(cap(r.entries))] = entry
	}
	r.count++
}

// NewJournal returns a journal that has up to bound entries of each stream; a bound below one counts as one.
func NewJournal(bound int) *Journal {
	j := &Journal{}
	for i := range j.rings {
		j.rings[i].entries = make([]Entry, 0, max(bound, 1))
	}
	return j
}

// Open sets the start identity of the process and the wall clock that entries are stamped with. It is called
// once, before the first entry is recorded.
func (j *Journal) Open(start uint64, wallClock func() Micros) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.start, j.wallClock = start, wallClock
}

// SetRevision sets the revision in force at the node, which later entries are stamped with. Revisions order
// the entries of several nodes: an entry with a revision was recorded after that revision was proposed.
func (j *Journal) SetRevision(revision uint64) {
	if j == nil {
		return
	}
	j.lock.Lock()
	defer j.lock.Unlock()
	j.revision = revision
}

// Record adds an entry. If its stream is full, the entry replaces the oldest one.
func (j *Journal) Record(at Micros, component, subject, decision, reason string) {
	j.add(Entry{At: at, Component: component, Subject: subject, Decision: decision, Reason: reason})
}

// RecordRequest adds an entry about one caller's request, which goes to a stream of its own.
func (j *Journal) RecordRequest(at Micros, component, subject, decision, reason string) {
	j.add(Entry{At: at, Component: component, Subject: subject, Decision: decision, Reason: reason, IsRequest: true})
}

func (j *Journal) add(entry Entry) {
	if j == nil {
		return
	}
	j.lock.Lock()
	defer j.lock.Unlock()
	entry.Seq, entry.Start, entry.Revision = j.count, j.start, j.revision
	if j.wallClock != nil {
		entry.WallTime = j.wallClock()
	}
	j.count++
	j.rings[entry.stream()].add(entry)
	if j.onEntry != nil {
		j.onEntry(entry)
	}
}

// Observe calls onEntry with each entry that the journal has, and from then on with each entry as it is recorded, in
// order. The journal's lock is held meanwhile, so onEntry must neither call the journal nor block. It takes the place of
// an earlier observer.
func (j *Journal) Observe(onEntry func(Entry)) {
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, entry := range j.read(func(Entry) bool { return true }) {
		onEntry(entry)
	}
	j.onEntry = onEntry
}

// Read returns the newest entries in order, at most limit of them; a limit of zero or less means no limit.
// A component or subject that is not empty selects the entries that have it.
func (j *Journal) Read(component, subject string, limit int) []Entry {
	j.lock.Lock()
	defer j.lock.Unlock()
	entries := j.read(func(entry Entry) bool {
		return (component == "" || entry.Component == component) && (subject == "" || entry.Subject == subject)
	})
	if limit > 0 && len(entries) > limit {
		entries = entries[len(entries)-limit:]
	}
	return entries
}

// read returns the entries that are wanted, in order. The lock is held.
func (j *Journal) read(isWanted func(Entry) bool) []Entry {
	entries := []Entry{}
	for _, ring := range j.rings {
		for _, entry := range ring.entries {
			if isWanted(entry) {
				entries = append(entries, entry)
			}
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return entries
}
