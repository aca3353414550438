package kernel

import (
	"slices"
	"sync"
)

// Entry is one decision with its reason.
type Entry struct {
	Seq       uint64 `json:"seq"`
	Start     uint64 `json:"start,omitempty"` // of the process
	At        Micros `json:"at_us"`           // by the node's own clock, which no other shares
	WallTime  Micros `json:"wall_us,omitempty"`
	Revision  uint64 `json:"era,omitempty"` // the revision in force at the node
	Component string `json:"part"`
	Subject   string `json:"subject"`
	Decision  string `json:"decision"`
	Reason    string `json:"why"`
	// IsRequest marks what is about one caller's request: such entries come by the
	// hundred, and must not push out those that tell what happened overnight.
	IsRequest bool `json:"request,omitempty"`
}

// Journal keeps the newest decisions of a node, and no more than its bound of each sort.
type Journal struct {
	lock      sync.Mutex
	rings     [2]ring // of requests, and of all else
	count     uint64
	start     uint64
	revision  uint64
	wallClock func() Micros
	// OnEntry, if set, hears of each entry as it is made; it may not call the journal.
	OnEntry func(Entry)
}

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

// NewJournal makes a journal that holds at most so many entries of each sort.
func NewJournal(bound int) *Journal {
	j := &Journal{}
	for i := range j.rings {
		j.rings[i].entries = make([]Entry, 0, max(bound, 1))
	}
	return j
}

// Open names the process and the wall clock that entries are to carry.
func (j *Journal) Open(start uint64, wallClock func() Micros) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.start, j.wallClock = start, wallClock
}

// SetRevision tells the revision in force here. By it the entries of several nodes can be
// put in order: what was done under a revision came after that was proposed.
func (j *Journal) SetRevision(revision uint64) {
	if j == nil {
		return
	}
	j.lock.Lock()
	defer j.lock.Unlock()
	j.revision = revision
}

// Record adds an entry; the oldest of its sort gives way. A nil journal takes nothing.
func (j *Journal) Record(at Micros, component, subject, decision, reason string) {
	j.add(Entry{At: at, Component: component, Subject: subject, Decision: decision, Reason: reason})
}

// RecordRequest adds an entry about one caller's request.
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
	j.rings[streamIndex(entry)].add(entry)
	if j.OnEntry != nil {
		j.OnEntry(entry)
	}
}

func streamIndex(entry Entry) int {
	if entry.IsRequest {
		return 0
	}
	return 1
}

// Read gives the entries in order; subject and part narrow them when not empty.
func (j *Journal) Read(component, subject string, limit int) []Entry {
	j.lock.Lock()
	defer j.lock.Unlock()
	entries := []Entry{}
	for _, ring := range j.rings {
		for _, entry := range ring.entries {
			if (component == "" || entry.Component == component) && (subject == "" || entry.Subject == subject) {
				entries = append(entries, entry)
			}
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Seq < b.Seq {
			return -1
		}
		return 1
	})
	if limit > 0 && len(entries) > limit {
		entries = entries[len(entries)-limit:]
	}
	return entries
}
