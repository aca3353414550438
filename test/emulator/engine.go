// Package emulator provides test doubles for the external systems that the
// project depends on: inference engines, the platform's list of engines, and the
// network between them. Response bodies are computed from the run ID, so that a
// client can verify every byte.
package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
)

// Headers with which a client identifies its request and verifies the response.
const (
	HeaderRun  = "Emulator-Run"
	HeaderTag  = "Emulator-Tag" // identifies the request in the engine's event log; chosen by the client
	HeaderText = "Emulator-Text"
)

// EngineSettings configures an Engine.
type EngineSettings struct {
	ID, Zone, Pool, Address string
	Start                   uint64
	Slots                   int           // maximum number of requests running at once
	Queue                   int           // maximum number of waiting requests
	Prefill                 kernel.Micros // time for each prompt token that is not cached
	Cached                  kernel.Micros // time for each prompt token that is cached
	Decode                  kernel.Micros // time for each output token
	Blocks                  int           // capacity of the prefix cache, in blocks of 16 tokens
	ColdSpan                kernel.Micros // how long the engine stays slow after its start
	ColdFactor              int           // slowdown during ColdSpan
	ColdCapacity            int           // requests in flight above which a cold engine counts as overloaded; 0: no limit
	IsResumable             bool
	Log                     io.Writer // receives events as JSON lines
}

// Engine emulates one engine process.
type Engine struct {
	settings   EngineSettings
	startedAt  time.Time
	lock       sync.Mutex
	runs       map[string]*run
	runCount   uint64
	waiting    int
	inFlight   int // waiting and running requests
	slots      chan struct{}
	tokens     int64 // outstanding tokens as defined in docs/design.md
	cache      map[uint64]uint64
	cacheUse   uint64
	seq        uint64
	faults     Faults
	isDraining bool
	Hits       uint64 // prompt blocks found in the cache
	Misses     uint64
}

// Faults are the faults to inject into an engine.
type Faults struct {
	IsUnresponsive bool  `json:"dark"`                  // accept connections but never respond
	BreakAfter     int64 `json:"break_after,omitempty"` // abort the next response after this many bytes
	NotRun         int   `json:"not_run,omitempty"`     // number of next requests to reject
	Fail           int   `json:"fail,omitempty"`        // number of next requests to answer with status 500
	ShortEnd       int   `json:"short_end,omitempty"`   // number of next streams to end cleanly without the [DONE] event
}

type run struct {
	lock       sync.Mutex
	changed    chan struct{} // closed and replaced whenever the run changes
	body       []byte
	isDone     bool
	isCanceled bool
}

// NewEngine returns an engine whose uptime begins now.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{
		settings: settings, startedAt: time.Now(), runs: map[string]*run{},
		slots: make(chan struct{}, max(settings.Slots, 1)), cache: map[uint64]uint64{},
	}
}

// Chunk returns the text of one output token of a run.
func Chunk(runID string, index int) string {
	return fmt.Sprintf("w%x ", xxhash.Sum64String(fmt.Sprintf("%s/%d", runID, index))&0xffffff)
}

func completionEvent(runID, text string) []byte {
	return fmt.Appendf(nil, "data: {\"id\":%q,\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", runID, text)
}

// ResponseBody returns the complete body of a run, as an event stream or as one JSON object.
func ResponseBody(runID string, tokens int, isStream bool) []byte {
	var body bytes.Buffer
	if isStream {
		for i := range tokens {
			body.Write(completionEvent(runID, Chunk(runID, i)))
		}
		body.WriteString("data: [DONE]\n\n")
		return body.Bytes()
	}
	text := ""
	for i := range tokens {
		text += Chunk(runID, i)
	}
	fmt.Fprintf(&body, "{\"id\":%q,\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%q}]}\n", runID, text)
	return body.Bytes()
}

// ErrorBody returns the body of a response that the engine failed on purpose.
func ErrorBody(runID string) []byte {
	return fmt.Appendf(nil, "{\"error\":{\"message\":\"emulator was told to fail\",\"run\":%q}}\n", runID)
}

// Handler returns the engine's HTTP API, including the control endpoints for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/runs/{run}", e.resume)
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, r *http.Request) {
		if e.currentFaults().IsUnresponsive {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.lock.Lock()
		e.faults = faults
		e.lock.Unlock()
	})
	mux.HandleFunc("PUT /control/leave", func(http.ResponseWriter, *http.Request) { e.drain() })
	mux.HandleFunc("GET /control/cache", func(w http.ResponseWriter, _ *http.Request) {
		e.lock.Lock()
		defer e.lock.Unlock()
		fmt.Fprintf(w, "{\"hits\":%d,\"misses\":%d}\n", e.Hits, e.Misses)
	})
	return mux
}

func (e *Engine) currentFaults() Faults {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.faults
}

// drain marks the engine as draining in its later reports.
func (e *Engine) drain() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.isDraining = true
}

func (e *Engine) log(kind checker.EventKind, tag, reason string) {
	if e.settings.Log == nil {
		return
	}
	line, err := json.Marshal(checker.Event{
		At: kernel.Micros(time.Now().UnixMicro()), EventKind: kind, Tag: tag, Reason: reason,
		Engine: e.settings.ID, Start: e.settings.Start, Zone: e.settings.Zone, Pool: e.settings.Pool,
	})
	if err != nil {
		panic(LogError{err})
	}
	// Each line is a single write, so that killing the process cannot leave a partial line between two others.
	if _, err := e.settings.Log.Write(append(line, '\n')); err != nil {
		panic(LogError{err})
	}
}

// LogError reports that an engine could not record an event. The engine panics
// with it, because a checker's result on an incomplete log would be meaningless.
type LogError struct{ Cause error }

func (err LogError) Error() string { return fmt.Sprintf("write the engine's log: %v", err.Cause) }

// OpenLog opens an event log for appending, so that it survives restarts of the process.
func OpenLog(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open the engine's log: %w", err)
	}
	return file, nil
}

func (e *Engine) isCold() bool {
	return kernel.MicrosOf(time.Since(e.startedAt)) < e.settings.ColdSpan
}

// scaleDuration returns the duration of a step, multiplied by ColdFactor while the engine is cold.
func (e *Engine) scaleDuration(m kernel.Micros) time.Duration {
	if e.isCold() {
		m *= kernel.Micros(max(e.settings.ColdFactor, 1))
	}
	return m.Duration()
}

type completionOptions struct {
	Stream bool `json:"stream"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := relay.ReadPrompt(body)
	var want completionOptions
	if err == nil {
		err = json.Unmarshal(body, &want)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tag := r.Header.Get(HeaderTag)
	if e.currentFaults().IsUnresponsive {
		<-r.Context().Done()
		return
	}
	e.lock.Lock()
	isRejected := e.faults.NotRun > 0 || e.waiting >= e.settings.Queue
	if e.faults.NotRun > 0 {
		e.faults.NotRun--
	}
	isFailing := !isRejected && e.faults.Fail > 0
	if isFailing {
		e.faults.Fail--
	}
	if isRejected {
		e.lock.Unlock()
		e.log(checker.RunRejected, tag, "full")
		w.Header().Set(relay.HeaderNotRun, "1")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	e.runCount++
	runID := fmt.Sprintf("%s-%d-%d", e.settings.ID, e.settings.Start, e.runCount)
	size := int64(request.PromptTokens + request.MaxTokens)
	e.tokens += size
	e.waiting++
	e.inFlight++
	isOverloaded := e.isCold() && e.settings.ColdCapacity > 0 && e.inFlight > e.settings.ColdCapacity
	inFlight := e.inFlight
	e.lock.Unlock()
	e.log(checker.RunStarted, tag, "")
	if isOverloaded {
		e.log(checker.RunOverloaded, tag, fmt.Sprintf("%d requests in flight, the limit while cold is %d", inFlight, e.settings.ColdCapacity))
	}
	w.Header().Set(HeaderRun, runID)
	w.Header().Set(relay.HeaderStart, strconv.FormatUint(e.settings.Start, 10))
	if isFailing {
		e.releaseRequest(size, true)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusInternalServerError)
		w.Write(ErrorBody(runID))
		return
	}
	current := &run{changed: make(chan struct{})}
	ctx := r.Context()
	if e.settings.IsResumable {
		w.Header().Set(relay.HeaderRunID, runID)
		// A resumable run continues when its connection breaks.
		ctx = context.WithoutCancel(ctx)
		e.lock.Lock()
		e.runs[runID] = current
		e.lock.Unlock()
	}
	go e.generate(ctx, current, runID, request, want.Stream, size)
	if want.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		w.Header().Set("Content-Type", "application/json")
	}
	e.streamRun(w, r, current, 0)
}

func (e *Engine) releaseRequest(tokens int64, isWaiting bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.tokens -= tokens
	e.inFlight--
	if isWaiting {
		e.waiting--
	}
}

// generate waits for a slot, then appends the output of a run to its body. A
// streamed run grows token by token, any other is appended at its end.
func (e *Engine) generate(ctx context.Context, current *run, runID string, request relay.Request, isStream bool, size int64) {
	left, isWaiting := size, true
	defer func() { e.releaseRequest(left, isWaiting); current.finish(ctx.Err() != nil) }()
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-e.slots }()
	e.lock.Lock()
	e.waiting--
	isWaiting = false
	fresh := e.updatePrefixCache(request)
	e.lock.Unlock()
	prefill := e.settings.Prefill*kernel.Micros(fresh) + e.settings.Cached*kernel.Micros(request.PromptTokens-fresh)
	if !sleep(ctx, e.scaleDuration(prefill)) {
		return
	}
	if !isStream {
		if sleep(ctx, e.scaleDuration(e.settings.Decode*kernel.Micros(request.MaxTokens))) {
			current.appendBody(ResponseBody(runID, request.MaxTokens, false))
		}
		return
	}
	for i := range request.MaxTokens {
		if !sleep(ctx, e.scaleDuration(e.settings.Decode)) {
			return
		}
		left--
		e.lock.Lock()
		e.tokens--
		e.lock.Unlock()
		current.appendBody(completionEvent(runID, Chunk(runID, i)))
	}
	current.appendBody([]byte("data: [DONE]\n\n"))
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// updatePrefixCache returns the number of prompt tokens that are not cached, and
// caches their blocks. The caller holds the lock.
func (e *Engine) updatePrefixCache(request relay.Request) (fresh int) {
	const block = 16
	chain, isHit := uint64(0), true
	for at := 0; at+block <= len(request.Prefix); at += block {
		chain = xxhash.Sum64(fmt.Appendf(nil, "%d%v", chain, request.Prefix[at:at+block]))
		e.cacheUse++
		if _, isThere := e.cache[chain]; !isThere {
			isHit = false
		}
		if isHit {
			e.Hits++
		} else {
			e.Misses++
			fresh += block
		}
		e.cache[chain] = e.cacheUse
	}
	// Evict the least recently used blocks.
	for len(e.cache) > max(e.settings.Blocks, 1) {
		oldest, oldestUse := uint64(0), uint64(1<<63)
		for key, use := range e.cache {
			if use < oldestUse {
				oldest, oldestUse = key, use
			}
		}
		delete(e.cache, oldest)
	}
	return min(fresh+len(request.Prefix)%block, request.PromptTokens)
}

func (r *run) appendBody(chunk []byte) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.body = append(r.body, chunk...)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) finish(isCanceled bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.isDone, r.isCanceled = true, isCanceled
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) readFrom(offset int64) (chunk []byte, isDone bool, changed chan struct{}) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if offset < int64(len(r.body)) {
		chunk = append(chunk, r.body[offset:]...)
	}
	return chunk, r.isDone, r.changed
}

// streamRun sends a run's body from an offset, as the body grows, and injects
// the faults BreakAfter and ShortEnd.
func (e *Engine) streamRun(w http.ResponseWriter, r *http.Request, current *run, offset int64) {
	control := http.NewResponseController(w)
	start := offset
	for {
		chunk, isDone, changed := current.readFrom(offset)
		if len(chunk) > 0 {
			e.lock.Lock()
			breakAfter, isShort := e.faults.BreakAfter, e.faults.ShortEnd > 0
			mustBreak := breakAfter > 0 && offset-start+int64(len(chunk)) > breakAfter
			if mustBreak {
				chunk = chunk[:max(breakAfter-(offset-start), 0)]
				e.faults.BreakAfter = 0
			}
			isLast := bytes.HasSuffix(chunk, []byte("data: [DONE]\n\n"))
			if isShort && isLast {
				e.faults.ShortEnd--
				chunk = bytes.TrimSuffix(chunk, []byte("data: [DONE]\n\n"))
			}
			e.lock.Unlock()
			if _, err := w.Write(chunk); err != nil {
				return
			}
			if err := control.Flush(); err != nil {
				return
			}
			if mustBreak {
				panic(http.ErrAbortHandler)
			}
			if isShort && isLast {
				return
			}
			offset += int64(len(chunk))
			continue
		}
		if isDone {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	runID := r.PathValue("run")
	e.lock.Lock()
	current := e.runs[runID]
	e.lock.Unlock()
	if current == nil || err != nil || offset < 0 {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(relay.HeaderRunID, runID)
	w.Header().Set(relay.HeaderStart, strconv.FormatUint(e.settings.Start, 10))
	w.Header().Set(relay.HeaderOffset, strconv.FormatInt(offset, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	e.streamRun(w, r, current, offset)
}

// Report returns the engine's load under the next sequence number.
func (e *Engine) Report() registry.Report {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.seq++
	return registry.Report{
		ID: e.settings.ID, Address: e.settings.Address, Zone: e.settings.Zone, Pool: e.settings.Pool,
		Start: e.settings.Start, Seq: e.seq, Outstanding: e.tokens, Streams: int64(e.inFlight),
		Uptime: kernel.MicrosOf(time.Since(e.startedAt)), IsDraining: e.isDraining,
	}
}

// delayedReport is a report that is held back before it is sent.
type delayedReport struct {
	registry.Report
	taken time.Time
}

// PostReports takes a report at every interval, holds it back for the lag, and
// sends it to the nodes in turn. It returns when the context ends.
func (e *Engine) PostReports(ctx context.Context, nodes []string, every, lag kernel.Micros) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(every.Duration())
	defer ticker.Stop()
	delayed := []delayedReport{}
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		delayed = append(delayed, delayedReport{e.Report(), time.Now()})
		for len(delayed) > 0 && kernel.MicrosOf(time.Since(delayed[0].taken)) >= lag {
			report := delayed[0]
			delayed = delayed[1:]
			report.Age = kernel.MicrosOf(time.Since(report.taken))
			content, err := json.Marshal(report.Report)
			if err != nil {
				panic(LogError{err})
			}
			response, err := client.Post("http://"+nodes[turn%len(nodes)]+"/v1/engines/report", "application/json", bytes.NewReader(content))
			// The engine's contract allows for lost reports, because another follows.
			if err == nil {
				response.Body.Close()
			}
		}
	}
}
