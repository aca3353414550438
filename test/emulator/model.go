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
	ID, Service          string
	Wire                 router.Wire
	HealthPath           string // served beside requests; empty: none
	InstanceHeader       string // in which a health answer names the engine
	Slots, Queue         int    // requests in the batch, and those that may wait for it
	PrefillChunk         int    // prompt tokens read in one step, between the tokens of others
	Step, StepPerRequest kernel.Micros
	PrefillTokensPerMs   float64 // prompt tokens read in a millisecond
	CacheTokens          int     // tokens that running requests and kept parts share
	TokensPerEvent       int     // tokens in an event of a stream
	IdleTimeout          kernel.Micros
	MaxConns             int
	CloseOneIn           int  // one answer in so many says that its connection closes; 0: none
	ReportsLoad          bool // in answers
	// OnEvent hears of what the engine saw and did; nil: nobody does.
	OnEvent func(checker.RoutedEvent)
}

// ModelFaults are what is wrong with a model engine. Shares are drawn of a request's id, so
// that a seed deals them the same way however goroutines are scheduled.
type ModelFaults struct {
	IsUnresponsive         bool    // takes connections and bytes and does nothing
	SlowFactor             float64 // times as slow; 0: as usual
	ErrorShare             float64 // answered with an error of its own, while the health answer is good
	LostAnswerShare        float64 // run, and the answer lost with the connection
	TruncatedShare         float64 // broken off midway
	MalformedShare         float64 // answered with bytes that are no answer
	DuplicateShare         float64 // answered a second time, after the whole answer
	LateDuplicateShare     float64 // the same, a while later
	AreDuplicatesAnonymous bool    // these further answers name no request
	// UnframedShare is answered without a length, up to the end of the connection; half of these are
	// reset before that.
	UnframedShare float64
	// EarlyRejectShare of the requests with a body is turned away before it is read; the connection goes on.
	EarlyRejectShare  float64
	OverloadShare     float64 // turned away though there is room
	HasInvertedHealth bool    // a health answer that is the wrong way round
	IgnoresResume     bool    // begins a stream anew that should go on
	// IdleDropTimeout forgets idle connections without a word after so long.
	IdleDropTimeout kernel.Micros
}

// Model is an engine that serves a language model: a batch with slots, prompts read piece
// by piece between the tokens of others, and parts of prompts kept for the next request.
type Model struct {
	settings     ModelSettings
	lock         sync.Mutex
	faults       ModelFaults
	responsive   chan struct{} // closed while the engine is not dark
	wake         chan struct{}
	closed       chan struct{}
	isClosed     bool
	isDraining   bool
	conns        map[*modelConn]bool
	queue        []*job
	batch        []*job
	prefixCache  map[uint64]*cachedSegment
	cachedTokens int
	uses         uint64
	runs         uint64
	arrivals     uint64
	stats        ModelStats
	group        sync.WaitGroup
}

// ModelStats are an engine's running figures.
type ModelStats struct {
	PrefillTokens, CachedTokens int // prompt tokens that were read, and that were kept
	OutputTokens                int // tokens put out
	Preempted                   int // requests put back for want of memory or for a more urgent one
	Busy                        kernel.Micros
}

type cachedSegment struct {
	tokens  int
	lastUse uint64
	refs    int
}

// job is a request in the engine.
type job struct {
	id             string
	digest         string
	priority       int
	arrival        uint64
	promptTokens   int
	maxTokens      int
	segments       []router.Segment
	prefixHashes   []uint64 // of each part and all before it
	resumeAfter    int      // the event that a resumed stream goes on after
	hasRestarted   bool     // it was asked to go on, and begins anew
	deadline       time.Time
	run            string // empty until it has begun
	prefillLeft    int
	outputTokens   int // tokens put out, also before it was put back
	reservedTokens int // tokens of memory that are its own
	pinned         []uint64
	events         int           // events that are ready to be sent
	changed        chan struct{} // one signal at a time
	isDone         bool
	isEmpty        bool   // a resumed stream of which nothing is left
	isCanceled     bool   // dropped
	refusal        string // why it is not run
}

func (j *job) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// NewModel starts an engine. Close ends it.
func NewModel(settings ModelSettings) *Model {
	m := &Model{
		settings: settings, responsive: make(chan struct{}), wake: make(chan struct{}, 1), closed: make(chan struct{}),
		conns: map[*modelConn]bool{}, prefixCache: map[uint64]*cachedSegment{},
	}
	close(m.responsive)
	m.group.Go(m.runScheduler)
	return m
}

// SetFaults puts troubles in force.
func (m *Model) SetFaults(faults ModelFaults) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if faults.IsUnresponsive && !m.faults.IsUnresponsive {
		m.responsive = make(chan struct{})
	} else if !faults.IsUnresponsive && m.faults.IsUnresponsive {
		close(m.responsive)
	}
	m.faults = faults
	m.wakeScheduler()
}

// Drain has the engine say so: health fails, and answers close their connections.
func (m *Model) Drain() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.isDraining = true
}

// Stats gives a copy of the figures.
func (m *Model) Stats() ModelStats {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.stats
}

// CachedTokens tells how many tokens of parts are kept.
func (m *Model) CachedTokens() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.cachedTokens
}

// Close ends the engine as a crash does: every connection is reset.
func (m *Model) Close() {
	m.lock.Lock()
	if m.isClosed {
		m.lock.Unlock()
		return
	}
	m.isClosed = true
	close(m.closed)
	for conn := range m.conns {
		conn.abort()
	}
	batch := slices.Clone(m.batch)
	m.lock.Unlock()
	for _, j := range batch {
		m.emit(checker.RoutedEvent{EventKind: checker.Aborted, ID: j.id, Run: j.run})
	}
	m.group.Wait()
}

func (m *Model) wakeScheduler() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// emit is called without the lock.
func (m *Model) emit(event checker.RoutedEvent) {
	if m.settings.OnEvent == nil {
		return
	}
	event.Engine, event.Service = m.settings.ID, m.settings.Service
	m.settings.OnEvent(event)
}

// injectsFault tells whether a trouble of such a share strikes a request.
func (m *Model) injectsFault(share float64, what, id string) bool {
	if share <= 0 {
		return false
	}
	digest := xxhash.Sum64String(what + "/" + m.settings.ID + "/" + id)
	return float64(digest>>11)/float64(1<<53) < share
}

// prefixHashes hashes each part together with all before it: a part counts only after those.
func prefixHashes(parts []router.Segment) []uint64 {
	chain := make([]uint64, len(parts))
	digest := xxhash.New()
	for i, part := range parts {
		digest.WriteString(part.ID)
		digest.Write([]byte{','})
		chain[i] = digest.Sum64()
	}
	return chain
}

// enqueue takes a request into the queue, or says why not.
func (m *Model) enqueue(j *job) string {
	m.lock.Lock()
	defer m.lock.Unlock()
	j.prefixHashes = prefixHashes(j.segments)
	switch {
	case j.promptTokens+j.maxTokens > m.settings.CacheTokens:
		return "it is larger than the memory"
	case m.injectsFault(m.faults.OverloadShare, "full", j.id), len(m.queue)+len(m.batch) >= m.settings.Slots+m.settings.Queue:
		return "full"
	}
	m.arrivals++
	j.arrival = m.arrivals
	m.queue = append(m.queue, j)
	m.wakeScheduler()
	return ""
}

// withdraw takes a request out that has not begun; false: it has.
func (m *Model) withdraw(j *job) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	if j.run != "" {
		return false
	}
	j.isCanceled = true
	m.queue = slices.DeleteFunc(m.queue, func(other *job) bool { return other == j })
	return true
}

// cancel takes a request out whose caller is gone.
func (m *Model) cancel(j *job) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if j.isDone || j.isCanceled {
		return
	}
	j.isCanceled = true
	m.release(j)
	isIt := func(other *job) bool { return other == j }
	m.queue = slices.DeleteFunc(m.queue, isIt)
	m.batch = slices.DeleteFunc(m.batch, isIt)
	m.wakeScheduler()
}

func (m *Model) release(j *job) {
	for _, key := range j.pinned {
		if part := m.prefixCache[key]; part != nil {
			part.refs--
		}
	}
	j.pinned, j.reservedTokens = nil, 0
}

func (m *Model) usedTokens() int {
	sum := m.cachedTokens
	for _, j := range m.batch {
		sum += j.reservedTokens
	}
	return sum
}

// makeRoom lets the parts go that were unused for longest until so much is free.
func (m *Model) makeRoom(need int) bool {
	for m.usedTokens()+need > m.settings.CacheTokens {
		oldest, found := uint64(0), (*cachedSegment)(nil)
		for key, part := range m.prefixCache {
			if part.refs == 0 && (found == nil || part.lastUse < found.lastUse) {
				oldest, found = key, part
			}
		}
		if found == nil {
			return false
		}
		delete(m.prefixCache, oldest)
		m.cachedTokens -= found.tokens
	}
	return true
}

// isBefore orders requests by urgency, then by arrival.
func isBefore(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}

// preemptionVictim is the newest among the least urgent of the batch.
func (m *Model) preemptionVictim() *job {
	var found *job
	for _, j := range m.batch {
		if found == nil || isBefore(found, j) {
			found = j
		}
	}
	return found
}

// preempt takes a request out of the batch to be read anew.
func (m *Model) preempt(j *job) {
	m.release(j)
	m.batch = slices.DeleteFunc(m.batch, func(other *job) bool { return other == j })
	m.queue = append(m.queue, j)
	m.stats.Preempted++
}

// admit fills the batch from the queue, the most urgent first. It gives those that begin.
func (m *Model) admit() (begun []*job) {
	now := time.Now()
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool {
		if j.run == "" && !now.Before(j.deadline) {
			j.refusal = "the deadline passed in the queue"
			j.isCanceled = true
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
			if last := m.preemptionVictim(); last.priority > next.priority {
				m.preempt(last)
			} else {
				break
			}
		}
		m.pinPrefix(next)
		if !m.makeRoom(next.reservedTokens) {
			last := m.preemptionVictim()
			if last == nil || last.priority <= next.priority {
				m.release(next)
				break
			}
			m.release(next)
			m.preempt(last)
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

// pinPrefix finds the kept parts at a prompt's beginning and holds them.
func (m *Model) pinPrefix(j *job) {
	found := 0
	for i, key := range j.prefixHashes {
		part := m.prefixCache[key]
		if part == nil {
			break
		}
		m.uses++
		part.lastUse = m.uses
		part.refs++
		j.pinned = append(j.pinned, key)
		found += j.segments[i].Tokens
	}
	// What was put out before a request was put back is read again with its prompt.
	j.prefillLeft = max(j.promptTokens-found, 0) + j.outputTokens
	j.reservedTokens = j.prefillLeft
	m.stats.CachedTokens += min(found, j.promptTokens)
}

// cachePrompt hands the parts of a prompt that was read over to the shared memory.
func (m *Model) cachePrompt(j *job) {
	for i := len(j.pinned); i < len(j.prefixHashes); i++ {
		part := m.prefixCache[j.prefixHashes[i]]
		if part == nil {
			part = &cachedSegment{tokens: j.segments[i].Tokens}
			m.prefixCache[j.prefixHashes[i]] = part
			m.cachedTokens += part.tokens
		}
		m.uses++
		part.lastUse = m.uses
		part.refs++
		j.pinned = append(j.pinned, j.prefixHashes[i])
		j.reservedTokens = max(j.reservedTokens-j.segments[i].Tokens, 0)
	}
}

// runScheduler is the engine's loop: one step after another while there is anything to do.
func (m *Model) runScheduler() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		m.lock.Lock()
		awake := m.responsive
		m.lock.Unlock()
		select {
		case <-awake:
		case <-m.closed:
			return
		}
		m.lock.Lock()
		begun := m.admit()
		span, reads := m.planStep()
		m.lock.Unlock()
		for _, j := range begun {
			m.emit(checker.RoutedEvent{EventKind: checker.Started, ID: j.id, Run: j.run, Digest: j.digest, From: j.resumeAfter, HasRestarted: j.hasRestarted})
		}
		if span == 0 {
			select {
			case <-m.wake:
				continue
			case <-m.closed:
				return
			}
		}
		timer.Reset(span.Duration())
		select {
		case <-timer.C:
		case <-m.closed:
			return
		}
		m.lock.Lock()
		m.stats.Busy += span
		m.applyStep(reads)
		m.lock.Unlock()
	}
}

// planStep shares one step's reading among the prompts, in order, and tells how long it takes.
func (m *Model) planStep() (kernel.Micros, map[*job]int) {
	if len(m.batch) == 0 {
		return 0, nil
	}
	left, sum := m.settings.PrefillChunk, 0
	reads := map[*job]int{}
	slices.SortFunc(m.batch, func(a, b *job) int {
		if isBefore(a, b) {
			return -1
		}
		return 1
	})
	for _, j := range m.batch {
		count := min(j.prefillLeft, left)
		if count > 0 {
			reads[j] = count
			left -= count
			sum += count
		}
	}
	span := float64(m.settings.Step) + float64(m.settings.StepPerRequest)*float64(len(m.batch)) + float64(sum)/m.settings.PrefillTokensPerMs*float64(kernel.Millisecond)
	if m.faults.SlowFactor > 0 {
		span *= m.faults.SlowFactor
	}
	return max(kernel.Micros(span), 1), reads
}

// applyStep carries out what a step did. Who was dropped meanwhile is no longer in the batch.
func (m *Model) applyStep(reads map[*job]int) {
	for _, j := range slices.Clone(m.batch) {
		if j.prefillLeft > 0 {
			count := reads[j]
			j.prefillLeft -= count
			m.stats.PrefillTokens += count
			if j.prefillLeft > 0 {
				continue
			}
			m.cachePrompt(j)
		}
		// A token needs a place, which the newest of the least urgent has to give up.
		for !m.makeRoom(1) {
			last := m.preemptionVictim()
			if last == j || last == nil {
				break
			}
			m.preempt(last)
		}
		if !slices.Contains(m.batch, j) {
			continue
		}
		j.reservedTokens++
		j.outputTokens++
		m.stats.OutputTokens++
		if j.outputTokens%max(m.settings.TokensPerEvent, 1) == 0 || j.outputTokens >= j.maxTokens {
			j.events++
			j.signal()
		}
		if j.outputTokens >= j.maxTokens {
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
