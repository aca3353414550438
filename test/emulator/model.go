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

// ModelSettings configures a Model in the absence of faults.
type ModelSettings struct {
	ID, Service          string
	Wire                 router.Wire
	HealthPath           string // path of the health endpoint; empty: none
	InstanceHeader       string // response header of the health endpoint that carries the engine's ID
	Slots, Queue         int    // maximum number of requests in the batch, and of those waiting
	PrefillChunk         int    // maximum number of prompt tokens processed in one step, for all requests together
	Step, StepPerRequest kernel.Micros
	PrefillTokensPerMs   float64 // prompt tokens processed per millisecond
	CacheTokens          int     // capacity of the KV cache, which running requests and cached segments share
	TokensPerEvent       int     // output tokens in one event of a stream
	IdleTimeout          kernel.Micros
	MaxConns             int
	CloseOneIn           int  // one response in this many announces that its connection closes; 0: none
	ReportsLoad          bool // adds the load header to responses
	// OnEvent receives the events of the engine, if it is set.
	OnEvent func(checker.RoutedEvent)
}

// ModelFaults are the faults to inject into a Model. Each share is the fraction of requests that a
// fault affects. They are selected by a hash of the request ID, so that a seed selects the same
// requests however goroutines are scheduled.
type ModelFaults struct {
	IsUnresponsive         bool    // accepts connections and bytes but processes nothing
	SlowFactor             float64 // multiplies the duration of each step; 0: no change
	ErrorShare             float64 // answered with status 500 while the health check passes
	LostAnswerShare        float64 // run, but the connection closes before the response is sent
	TruncatedShare         float64 // response truncated halfway
	MalformedShare         float64 // answered with bytes that are not HTTP
	DuplicateShare         float64 // answered a second time, right after the complete response
	LateDuplicateShare     float64 // answered a second time, 30 ms after the complete response
	AreDuplicatesAnonymous bool    // duplicate responses carry no request ID
	// UnframedShare of the requests are answered without a length, so that the end of the connection ends the
	// response; half of these connections are reset before that.
	UnframedShare float64
	// EarlyRejectShare of the requests with a body are rejected before the body is read; the connection stays open.
	EarlyRejectShare  float64
	OverloadShare     float64 // rejected as if the queue were full
	HasInvertedHealth bool    // the health check passes only while the engine is draining
	IgnoresResume     bool    // starts a stream from its beginning though the request asks to resume it
	// IdleDropTimeout is how long a connection may be idle before it is dropped without notice to the peer; 0: forever.
	IdleDropTimeout kernel.Micros
}

// Model emulates an inference engine with continuous batching: chunked prefill that is interleaved
// with the decoding of other requests, priority preemption, and a prefix cache.
type Model struct {
	settings     ModelSettings
	lock         sync.Mutex
	faults       ModelFaults
	responsive   chan struct{} // closed while the engine is responsive
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

// ModelStats holds the counters of an engine since its start.
type ModelStats struct {
	PrefillTokens, CachedTokens int // prompt tokens that were processed, and that were found in the cache
	OutputTokens                int // tokens generated
	Preempted                   int // requests moved back to the queue for lack of memory or for one of higher priority
	Busy                        kernel.Micros
}

type cachedSegment struct {
	tokens  int
	lastUse uint64
	refs    int
}

// job is a request that the engine has accepted or is about to.
type job struct {
	id             string
	digest         string
	priority       int
	arrival        uint64
	promptTokens   int
	maxTokens      int
	segments       []router.Segment
	prefixHashes   []uint64 // hash of each segment together with all before it
	resumeAfter    int      // last event that the client of a resumed stream has received
	hasRestarted   bool     // the request asked to resume, but the stream starts from its beginning
	deadline       time.Time
	run            string // run ID; empty until the request starts
	prefillLeft    int
	outputTokens   int // tokens generated, including those before a preemption
	reservedTokens int // cache tokens reserved for this request alone
	pinned         []uint64
	events         int           // number of events that are ready to be sent
	changed        chan struct{} // holds at most one signal
	isDone         bool
	isEmpty        bool   // the client of a resumed stream has already received all events
	isCanceled     bool   // removed from the queue or the batch before its end
	rejectReason   string // why the request was rejected after it had been queued
}

func (j *job) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// NewModel starts an engine. Close stops it.
func NewModel(settings ModelSettings) *Model {
	m := &Model{
		settings: settings, responsive: make(chan struct{}), wake: make(chan struct{}, 1), closed: make(chan struct{}),
		conns: map[*modelConn]bool{}, prefixCache: map[uint64]*cachedSegment{},
	}
	close(m.responsive)
	m.group.Go(m.runScheduler)
	return m
}

// SetFaults replaces the injected faults.
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

// Drain makes the health check fail and every response close its connection. Requests are still served.
func (m *Model) Drain() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.isDraining = true
}

// Stats returns a copy of the counters.
func (m *Model) Stats() ModelStats {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.stats
}

// CachedTokens returns the number of tokens in the prefix cache.
func (m *Model) CachedTokens() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.cachedTokens
}

// Close stops the engine like a crash: it resets every connection.
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

// emit passes an event to OnEvent. The caller must not hold the lock.
func (m *Model) emit(event checker.RoutedEvent) {
	if m.settings.OnEvent == nil {
		return
	}
	event.Engine, event.Service = m.settings.ID, m.settings.Service
	m.settings.OnEvent(event)
}

// injectsFault reports whether a fault with the given share affects a request. The name of the fault makes
// the selections of different faults independent.
func (m *Model) injectsFault(share float64, faultName, id string) bool {
	if share <= 0 {
		return false
	}
	digest := xxhash.Sum64String(faultName + "/" + m.settings.ID + "/" + id)
	return float64(digest>>11)/float64(1<<53) < share
}

// prefixHashes hashes each segment together with all before it, because a cached segment can
// be reused only after the same segments.
func prefixHashes(segments []router.Segment) []uint64 {
	chain := make([]uint64, len(segments))
	digest := xxhash.New()
	for i, segment := range segments {
		digest.WriteString(segment.ID)
		digest.Write([]byte{','})
		chain[i] = digest.Sum64()
	}
	return chain
}

// enqueue adds a request to the queue. It returns the reason if the request is rejected, or else "".
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

// withdraw removes a request that has not started from the queue. It reports whether it did.
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

// cancel removes an unfinished request from the queue or the batch, because nobody waits for its response any more.
func (m *Model) cancel(j *job) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if j.isDone || j.isCanceled {
		return
	}
	j.isCanceled = true
	m.release(j)
	isJob := func(other *job) bool { return other == j }
	m.queue = slices.DeleteFunc(m.queue, isJob)
	m.batch = slices.DeleteFunc(m.batch, isJob)
	m.wakeScheduler()
}

func (m *Model) release(j *job) {
	for _, key := range j.pinned {
		if segment := m.prefixCache[key]; segment != nil {
			segment.refs--
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

// makeRoom evicts the least recently used segments that no request pins until the needed number of tokens
// is free. It reports whether that succeeded.
func (m *Model) makeRoom(need int) bool {
	for m.usedTokens()+need > m.settings.CacheTokens {
		oldest, found := uint64(0), (*cachedSegment)(nil)
		for key, segment := range m.prefixCache {
			if segment.refs == 0 && (found == nil || segment.lastUse < found.lastUse) {
				oldest, found = key, segment
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

// isBefore orders requests by priority, where a lower number is more urgent, then by arrival.
func isBefore(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}

// preemptionVictim returns the newest of the requests with the lowest priority in the batch, or nil if the batch is
// empty.
func (m *Model) preemptionVictim() *job {
	var found *job
	for _, j := range m.batch {
		if found == nil || isBefore(found, j) {
			found = j
		}
	}
	return found
}

// preempt moves a request from the batch back to the queue. Its prefill starts again later.
func (m *Model) preempt(j *job) {
	m.release(j)
	m.batch = slices.DeleteFunc(m.batch, func(other *job) bool { return other == j })
	m.queue = append(m.queue, j)
	m.stats.Preempted++
}

// admit moves requests from the queue to the batch in order of priority, and rejects queued requests
// whose deadline has passed. It returns the requests that start for the first time.
func (m *Model) admit() (started []*job) {
	now := time.Now()
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool {
		if j.run == "" && !now.Before(j.deadline) {
			j.rejectReason = "the deadline passed in the queue"
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
			if victim := m.preemptionVictim(); victim.priority > next.priority {
				m.preempt(victim)
			} else {
				break
			}
		}
		m.pinPrefix(next)
		if !m.makeRoom(next.reservedTokens) {
			victim := m.preemptionVictim()
			if victim == nil || victim.priority <= next.priority {
				m.release(next)
				break
			}
			m.release(next)
			m.preempt(victim)
			continue
		}
		m.queue = slices.DeleteFunc(m.queue, func(j *job) bool { return j == next })
		m.batch = append(m.batch, next)
		if next.run == "" {
			m.runs++
			next.run = m.settings.ID + "." + strconv.FormatUint(m.runs, 10)
			started = append(started, next)
		}
	}
	return started
}

// pinPrefix pins the cached segments at the beginning of a prompt and computes what is left to prefill.
func (m *Model) pinPrefix(j *job) {
	found := 0
	for i, key := range j.prefixHashes {
		segment := m.prefixCache[key]
		if segment == nil {
			break
		}
		m.uses++
		segment.lastUse = m.uses
		segment.refs++
		j.pinned = append(j.pinned, key)
		found += j.segments[i].Tokens
	}
	// Tokens generated before a preemption are prefilled again together with the prompt.
	j.prefillLeft = max(j.promptTokens-found, 0) + j.outputTokens
	j.reservedTokens = j.prefillLeft
	m.stats.CachedTokens += min(found, j.promptTokens)
}

// cachePrompt adds the segments of a prefilled prompt to the prefix cache and pins them.
func (m *Model) cachePrompt(j *job) {
	for i := len(j.pinned); i < len(j.prefixHashes); i++ {
		segment := m.prefixCache[j.prefixHashes[i]]
		if segment == nil {
			segment = &cachedSegment{tokens: j.segments[i].Tokens}
			m.prefixCache[j.prefixHashes[i]] = segment
			m.cachedTokens += segment.tokens
		}
		m.uses++
		segment.lastUse = m.uses
		segment.refs++
		j.pinned = append(j.pinned, j.prefixHashes[i])
		j.reservedTokens = max(j.reservedTokens-j.segments[i].Tokens, 0)
	}
}

// runScheduler executes steps while the batch has requests, and waits for new ones otherwise.
func (m *Model) runScheduler() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		m.lock.Lock()
		responsive := m.responsive
		m.lock.Unlock()
		select {
		case <-responsive:
		case <-m.closed:
			return
		}
		m.lock.Lock()
		started := m.admit()
		span, prefill := m.planStep()
		m.lock.Unlock()
		for _, j := range started {
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
		m.applyStep(prefill)
		m.lock.Unlock()
	}
}

// planStep divides one step's prefill among the prompts in order of priority. It returns the duration
// of the step, 0 for an empty batch, and the prompt tokens of each request.
func (m *Model) planStep() (kernel.Micros, map[*job]int) {
	if len(m.batch) == 0 {
		return 0, nil
	}
	left, sum := m.settings.PrefillChunk, 0
	prefill := map[*job]int{}
	slices.SortFunc(m.batch, func(a, b *job) int {
		if isBefore(a, b) {
			return -1
		}
		return 1
	})
	for _, j := range m.batch {
		count := min(j.prefillLeft, left)
		if count > 0 {
			prefill[j] = count
			left -= count
			sum += count
		}
	}
	span := float64(m.settings.Step) + float64(m.settings.StepPerRequest)*float64(len(m.batch)) + float64(sum)/m.settings.PrefillTokensPerMs*float64(kernel.Millisecond)
	if m.faults.SlowFactor > 0 {
		span *= m.faults.SlowFactor
	}
	return max(kernel.Micros(span), 1), prefill
}

// applyStep records the result of a step. Requests that were canceled during the step are no longer in the batch.
func (m *Model) applyStep(prefill map[*job]int) {
	for _, j := range slices.Clone(m.batch) {
		if j.prefillLeft > 0 {
			count := prefill[j]
			j.prefillLeft -= count
			m.stats.PrefillTokens += count
			if j.prefillLeft > 0 {
				continue
			}
			m.cachePrompt(j)
		}
		// Each output token needs space in the cache. If there is none, the newest request of the lowest priority is preempted.
		for !m.makeRoom(1) {
			victim := m.preemptionVictim()
			if victim == j || victim == nil {
				break
			}
			m.preempt(victim)
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

// progress is a snapshot of a job's state.
type progress struct {
	run          string
	events       int
	isDone       bool
	rejectReason string
}

func (m *Model) progressOf(j *job) progress {
	m.lock.Lock()
	defer m.lock.Unlock()
	return progress{j.run, j.events, j.isDone, j.rejectReason}
}

func (m *Model) load() router.Load {
	m.lock.Lock()
	defer m.lock.Unlock()
	return router.Load{Running: len(m.batch), Waiting: len(m.queue), Slots: m.settings.Slots}
}
