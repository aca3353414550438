package house

import "sync"

// Entry is one decision with its reason.
type Entry struct {
	Seq      uint64 `json:"seq"`
	At       Micros `json:"at_us"`
	Part     string `json:"part"`
	Subject  string `json:"subject"`
	Decision string `json:"decision"`
	Why      string `json:"why"`
}

// Journal keeps the newest decisions of a node, and no more than its bound.
type Journal struct {
	lock  sync.Mutex
	ring  []Entry
	count uint64
	// Watch, if set, hears of each entry as it is made; it may not call the journal.
	Watch func(Entry)
}

// NewJournal makes a journal that holds at most so many entries.
func NewJournal(bound int) *Journal { return &Journal{ring: make([]Entry, 0, max(bound, 1))} }

// Note adds an entry; the oldest gives way. A nil journal takes nothing.
func (j *Journal) Note(at Micros, part, subject, decision, why string) {
	if j == nil {
		return
	}
	j.lock.Lock()
	defer j.lock.Unlock()
	entry := Entry{j.count, at, part, subject, decision, why}
	if len(j.ring) < cap(j.ring) {
		j.ring = append(j.ring, entry)
	} else {
		j.ring[j.count%uint64(cap(j.ring))] = entry
	}
	j.count++
	if j.Watch != nil {
		j.Watch(entry)
	}
}

// Read gives the entries in order; subject and part narrow them when not empty.
func (j *Journal) Read(part, subject string, most int) []Entry {
	j.lock.Lock()
	defer j.lock.Unlock()
	start := uint64(0)
	if j.count > uint64(len(j.ring)) {
		start = j.count - uint64(len(j.ring))
	}
	found := []Entry{}
	for seq := start; seq < j.count; seq++ {
		entry := j.ring[seq%uint64(cap(j.ring))]
		if (part == "" || entry.Part == part) && (subject == "" || entry.Subject == subject) {
			found = append(found, entry)
		}
	}
	if most > 0 && len(found) > most {
		found = found[len(found)-most:]
	}
	return found
}
