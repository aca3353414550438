package emulator

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
)

// ModelSettings say how a model engine behaves while nothing is wrong with it.
type ModelSettings struct {
	ID, Service    string
	Wire           router.Wire
	HealthPath     string // served beside requests; empty: none
	InstanceHeader string // in which a health answer names the engine
	Slots, Queue   int    // requests in the batch, and those that may wait for it
	Chunk          int    // prompt tokens read in one step, between the tokens of others
	Step, StepEach kernel.Micros
	ReadPerMs      float64 // prompt tokens read in a millisecond
	Memory         int     // tokens that running requests and kept parts share
	Stride         int     // tokens in an event of a stream
	Idle           kernel.Micros
	MaxConns       int
	CloseOneIn     int  // one answer in so many says that its connection closes; 0: none
	TellsLoad      bool // in answers
	// Note hears of what the engine saw and did; nil: nobody does.
	Note func(checker.RoutedEvent)
}

// Troubles are what is wrong with a model engine. Shares are drawn of a request's id, so
// that a seed deals them the same way however goroutines are scheduled.
type Troubles struct {
	Dark       bool    // takes connections and bytes and does nothing
	Slow       float64 // times as slow; 0: as usual
	GreyShare  float64 // answered with an error of its own, while the health answer is good
	LoseShare  float64 // run, and the answer lost with the connection
	CutShare   float64 // broken off midway
	JunkShare  float64 // answered with bytes that are no answer
	TwiceShare float64 // answered a second time, after the whole answer
	LateShare  float64 // the same, a while later
	IsNameless bool    // these further answers name no request
	// UnframedShare is answered without a length, up to the end of the connection; half of these are
	// reset before that.
	UnframedShare float64
	// EarlyShare of the requests with a body is turned away before it is read; the connection goes on.
	EarlyShare float64
	FullShare  float64 // turned away though there is room
	IsLying    bool    // a health answer that is the wrong way round
	IsDeaf     bool    // begins a stream anew that should go on
	// DropIdle forgets idle connections without a word after so long.
	DropIdle kernel.Micros
}

// Model is an engine that serves a language model: a batch with slots, prompts read piece
// by piece between the tokens of others, and parts of prompts kept for the next request.
type Model struct {
	settings ModelSettings
	lock     sync.Mutex
	troubles Troubles
	awake    chan struct{} // closed while the engine is not dark
	wake     chan struct{}
	over     chan struct{}
	isOver   bool
	leaving  bool
	conns    map[*modelConn]bool
	queue    []*job
	batch    []*job
	kept     map[uint64]*keptPart
	keptSum  int
	uses     uint64
	runs     uint64
	arrivals uint64
	figures  ModelFigures
	group    sync.WaitGroup
}

// ModelFigures are an engine's running figures.
type ModelFigures struct {
	Read, Found int // prompt tokens that were read, and that were kept
	Put         int // tokens put out
	Displaced   int // requests put back for want of memory or for a more urgent one
	Busy        kernel.Micros
}

type keptPart struct {
	tokens int
	used   uint64
	users  int
}

// job is a request in the engine.
type job struct {
	id       string
	digest   string
	priority int
	number   uint64
	prompt   int
	most     int
	parts    []router.Part
	chain    []uint64 // of each part and all before it
	from     int      // the event that a resumed stream goes on after
	isAnew   bool     // it was asked to go on, and begins anew
	until    time.Time
	run      string // empty until it has begun
	toRead   int
	put      int // tokens put out, also before it was put back
	holds    int // tokens of memory that are its own
	pinned   []uint64
	events   int           // events that are ready to be sent
	grown    chan struct{} // one signal at a time
	isDone   bool
	isEmpty  bool   // a resumed stream of which nothing is left
	isGone   bool   // dropped
	refusal  string // why it is not run
}

func (j *job) signal() {
	select {
	case j.grown <- struct{}{}:
	default:
	}
}

// NewModel starts an engine. Close ends it.
func NewModel(settings ModelSettings) *Model {
	m := &Model{
		settings: settings, awake: make(chan struct{}), wake: make(chan struct{}, 1), over: make(chan struct{}),
		conns: map[*modelConn]bool{}, kept: map[uint64]*keptPart{},
	}
	close(m.awake)
	m.group.Go(m.work)
	return m
}

// Set puts troubles in force.
func (m *Model) Set(troubles Troubles) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if troubles.Dark && !m.troubles.Dark {
		m.awake = make(chan struct{})
	} else if !troubles.Dark && m.troubles.Dark {
		close(m.awake)
	}
	m.troubles = troubles
	m.nudge()
}

// Leave has the engine say so: health fails, and answers close their connections.
func (m *Model) Leave() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.leaving = true
}

// Figures gives a copy of the figures.
func (m *Model) Figures() ModelFigures {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.figures
}

// Kept tells how many tokens of parts are kept.
func (m *Model) Kept() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.keptSum
}

// Close ends the engine as a crash does: every connection is reset.
func (m *Model) Close() {
	m.lock.Lock()
	if m.isOver {
		m.lock.Unlock()
		return
	}
	m.isOver = true
	close(m.over)
	for conn := range m.conns {
		conn.abort()
	}
	batch := slices.Clone(m.batch)
	m.lock.Unlock()
	for _, j := range batch {
		m.note(checker.RoutedEvent{What: checker.BrokeOff, ID: j.id, Run: j.run})
	}
	m.group.Wait()
}

func (m *Model) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// note is called without the lock.
func (m *Model) note(event checker.RoutedEvent) {
	if m.settings.Note == nil {
		return
	}
	event.Engine, event.Service = m.settings.ID, m.settings.Service
	m.settings.Note(event)
}

// draws tells whether a trouble of such a share strikes a request.
func (m *Model) draws(share float64, what, id string) bool {
	if share <= 0 {
		return false
	}
	digest := xxhash.Sum64String(what + "/" + m.settings.ID + "/" + id)
	return float64(digest>>11)/float64(1<<53) < share
}

// chainOf hashes each part together with all before it: a part counts only after those.
func chainOf(parts []router.Part) []uint64 {
	chain := make([]uint64, len(parts))
	digest := xxhash.New()
	for i, part := range parts {
		digest.WriteString(part.ID)
		digest.Write([]byte{','})
		chain[i] = digest.Sum64()
	}
	return chain
}

// enter takes a request into the queue, or says why not.
func (m *Model) enter(j *job) string {
	m.lock.Lock()
	defer m.lock.Unlock()
	j.chain = chainOf(j.parts)
	switch {
	case j.prompt+j.most > m.settings.Memory:
		return "it is larger than the memory"
	case m.draws(m.troubles.FullShare, "full", j.id), len(m.queue)+len(m.batch) >= m.settings.Slots+m.settings.Queue:
		return "full"
	}
	m.arrivals++
	j.number = m.arrivals
	m.queue = append(m.queue, j)
	m.nudge()
	return ""
}

// withdraw takes a request out that has not begun; false: it has.
func (m *Model) withdraw(j *job) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	if j.run != "" {
		return false
	}
	j.isGone = true
	m.queue = slices.DeleteFunc(m.queue, func(other *job) bool { return other == j })
	return true
}

// drop takes a request out whose caller is gone.
func (m *Model) drop(j *job) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if j.isDone || j.isGone {
		return
	}
	j.isGone = true
	m.release(j)
	isIt := func(other *job) bool { return other == j }
	m.queue = slices.DeleteFunc(m.queue, isIt)
	m.batch = slices.DeleteFunc(m.batch, isIt)
	m.nudge()
}

func (m *Model) release(j *job) {
	for _, key := range j.pinned {
		if part := m.kept[key]; part != nil {
			part.users--
		}
	}
	j.pinned, j.holds = nil, 0
}

func (m *Model) used() int {
	sum := m.keptSum
	for _, j := range m.batch {
		sum += j.holds
	}
	return sum
}

// makeRoom lets the parts go that were unused for longest until so much is free.
func (m *Model) makeRoom(need int) bool {
	for m.used()+need > m.settings.Memory {
		oldest, found := uint64(0), (*keptPart)(nil)
		for key, part := range m.kept {
			if part.users == 0 && (found == nil || part.used < found.used) {
				oldest, found = key, part
			}
		}
		if found == nil {
			return false
		}
		delete(m.kept, oldest)
		m.keptSum -= found.tokens
	}
	return true
}

// isBefore orders requests by urgency, then by arrival.
func isBefore(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.number < b.number
}

// least is the newest among the least urgent of the batch.
func (m *Model) least() *job {
	var found *job
	for _, j := range m.batch {
		if found == nil || isBefore(found, j) {
			found = j
		}
	}
	return found
}

// putBack takes a request out of the batch to be read anew.
func (m *Model) putBack(j *job) {
	m.release(j)
	m.batch = slices.DeleteFunc(m.batch, func(other *job) bool { return other == j })
	m.queue = append(m.queue, j)
	m.figures.Displaced++
}

// admit fills the batch from the queue, the most urgent first. It gives those that begin.
func (m *Model) admit() (begun []*job) {
	now := time.Now()
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool {
		if j.run == "" && !now.Before(j.until) {
			j.refusal = "the deadline passed in the queue"
			j.isGone = true
			j.signal()
			return true
		}
		return false
	})
	slices.SortFunc(m.queue, func(a, b *job) int {
		if isBefore(a, b) {
			return -1
		}
		return 1
	})
	for len(m.queue) > 0 {
		next := m.queue[0]
		if len(m.batch) >= m.settings.Slots {
			if last := m.least(); last.priority > next.priority {
				m.putBack(last)
			} else {
				break
			}
		}
		m.pin(next)
		if !m.makeRoom(next.holds) {
			last := m.least()
			if last == nil || last.priority <= next.priority {
				m.release(next)
				break
			}
			m.release(next)
			m.putBack(last)
			continue
		}
		m.queue = slices.DeleteFunc(m.queue, func(j *job) bool { return j == next })
		m.batch = append(m.batch, next)
		if next.run == "" {
			m.runs++
			next.run = m.settings.ID + "." + strconv.FormatUint(m.runs, 10)
			begun = append(begun, next)
		}
	}
	return begun
}

// pin finds the kept parts at a prompt's beginning and holds them.
func (m *Model) pin(j *job) {
	found := 0
	for i, key := range j.chain {
		part := m.kept[key]
		if part == nil {
			break
		}
		m.uses++
		part.used = m.uses
		part.users++
		j.pinned = append(j.pinned, key)
		found += j.parts[i].Tokens
	}
	// What was put out before a request was put back is read again with its prompt.
	j.toRead = max(j.prompt-found, 0) + j.put
	j.holds = j.toRead
	m.figures.Found += min(found, j.prompt)
}

// keep hands the parts of a prompt that was read over to the shared memory.
func (m *Model) keep(j *job) {
	for i := len(j.pinned); i < len(j.chain); i++ {
		part := m.kept[j.chain[i]]
		if part == nil {
			part = &keptPart{tokens: j.parts[i].Tokens}
			m.kept[j.chain[i]] = part
			m.keptSum += part.tokens
		}
		m.uses++
		part.used = m.uses
		part.users++
		j.pinned = append(j.pinned, j.chain[i])
		j.holds = max(j.holds-j.parts[i].Tokens, 0)
	}
}

// work is the engine's loop: one step after another while there is anything to do.
func (m *Model) work() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		m.lock.Lock()
		awake := m.awake
		m.lock.Unlock()
		select {
		case <-awake:
		case <-m.over:
			return
		}
		m.lock.Lock()
		begun := m.admit()
		span, reads := m.plan()
		m.lock.Unlock()
		for _, j := range begun {
			m.note(checker.RoutedEvent{What: checker.Began, ID: j.id, Run: j.run, Digest: j.digest, From: j.from, IsAnew: j.isAnew})
		}
		if span == 0 {
			select {
			case <-m.wake:
				continue
			case <-m.over:
				return
			}
		}
		timer.Reset(span.Duration())
		select {
		case <-timer.C:
		case <-m.over:
			return
		}
		m.lock.Lock()
		m.figures.Busy += span
		m.advance(reads)
		m.lock.Unlock()
	}
}

// plan shares one step's reading among the prompts, in order, and tells how long it takes.
func (m *Model) plan() (kernel.Micros, map[*job]int) {
	if len(m.batch) == 0 {
		return 0, nil
	}
	left, sum := m.settings.Chunk, 0
	reads := map[*job]int{}
	slices.SortFunc(m.batch, func(a, b *job) int {
		if isBefore(a, b) {
			return -1
		}
		return 1
	})
	for _, j := range m.batch {
		count := min(j.toRead, left)
		if count > 0 {
			reads[j] = count
			left -= count
			sum += count
		}
	}
	span := float64(m.settings.Step) + float64(m.settings.StepEach)*float64(len(m.batch)) + float64(sum)/m.settings.ReadPerMs*float64(kernel.Millisecond)
	if m.troubles.Slow > 0 {
		span *= m.troubles.Slow
	}
	return max(kernel.Micros(span), 1), reads
}

// advance carries out what a step did. Who was dropped meanwhile is no longer in the batch.
func (m *Model) advance(reads map[*job]int) {
	for _, j := range slices.Clone(m.batch) {
		if j.toRead > 0 {
			count := reads[j]
			j.toRead -= count
			m.figures.Read += count
			if j.toRead > 0 {
				continue
			}
			m.keep(j)
		}
		// A token needs a place, which the newest of the least urgent has to give up.
		for !m.makeRoom(1) {
			last := m.least()
			if last == j || last == nil {
				break
			}
			m.putBack(last)
		}
		if !slices.Contains(m.batch, j) {
			continue
		}
		j.holds++
		j.put++
		m.figures.Put++
		if j.put%max(m.settings.Stride, 1) == 0 || j.put >= j.most {
			j.events++
			j.signal()
		}
		if j.put >= j.most {
			j.isDone = true
			m.release(j)
			m.batch = slices.DeleteFunc(m.batch, func(other *job) bool { return other == j })
			j.signal()
		}
	}
}

// progress is how far a request has come.
type progress struct {
	run     string
	events  int
	isDone  bool
	refusal string
}

func (m *Model) progressOf(j *job) progress {
	m.lock.Lock()
	defer m.lock.Unlock()
	return progress{j.run, j.events, j.isDone, j.refusal}
}

func (m *Model) load() router.Load {
	m.lock.Lock()
	defer m.lock.Unlock()
	return router.Load{Running: len(m.batch), Waiting: len(m.queue), Slots: m.settings.Slots}
}
