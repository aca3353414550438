package emulator

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
)

// Digest returns a hash of the parts of a request that must reach an engine unchanged.
func Digest(method, target string, body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(fmt.Appendf(nil, "%s %s\n%s", method, target, body)), 16)
}

// ModelEvent returns one event of a stream. It marks the last event and contains a hash of the run ID, the
// event ID and that mark, so that a client can verify it.
func ModelEvent(run string, id int, isLast bool) []byte {
	last := 0
	if isLast {
		last = 1
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s %d %x\n\n", id, run, last, xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", run, id, last)))
}

// ReadModelEvent parses an event of a stream. It reports whether the event is exactly one that ModelEvent returns.
func ReadModelEvent(event []byte) (checker.Chunk, bool) {
	var chunk checker.Chunk
	first, second, _ := strings.Cut(string(event), "\n")
	fields := strings.Fields(strings.TrimPrefix(second, "data: "))
	id, err := strconv.Atoi(strings.TrimPrefix(first, "id: "))
	if err != nil || len(fields) != 3 {
		return chunk, false
	}
	chunk = checker.Chunk{Run: fields[0], ID: id, Last: fields[1] == "1"}
	return chunk, bytes.Equal(event, ModelEvent(chunk.Run, chunk.ID, chunk.Last))
}

// ModelBody returns the complete response body of a run that is not streamed.
func ModelBody(run string, tokens int) []byte {
	body := []byte(run + "\n")
	for i := range tokens {
		body = append(body, Chunk(run, i)...)
	}
	return body
}

// ModelErrorBody returns the response body of a run that failed.
func ModelErrorBody(run string) []byte { return fmt.Appendf(nil, "run %s failed\n", run) }

// eventCount returns the number of events in the stream of a request with that many output tokens.
func (m *Model) eventCount(maxTokens int) int {
	stride := max(m.settings.TokensPerEvent, 1)
	return max((maxTokens+stride-1)/stride, 1)
}

// modelConn is the engine's side of one client connection.
type modelConn struct {
	model  *Model
	net    net.Conn
	reader *bufio.Reader
	closed context.Context // canceled when the peer closes the connection
	end    context.CancelFunc
}

// abort resets the connection.
func (c *modelConn) abort() {
	switch conn := c.net.(type) {
	case interface{ Abort() }:
		conn.Abort()
	case *net.TCPConn:
		conn.SetLinger(0) // makes Close send a reset; an error is ignored and leaves a normal close
		conn.Close()
	default:
		conn.Close()
	}
}

// vanish drops the connection without notice to the peer. It resets the connection if the network does not support
// that.
func (c *modelConn) vanish() {
	if conn, can := c.net.(interface{ Vanish() }); can {
		conn.Vanish()
		return
	}
	c.abort()
}

// Serve accepts connections until the listener closes.
func (m *Model) Serve(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		conn := &modelConn{model: m, net: accepted, reader: bufio.NewReader(accepted)}
		conn.closed, conn.end = context.WithCancel(context.Background())
		m.lock.Lock()
		isTooMany := m.isClosed || m.settings.MaxConns > 0 && len(m.conns) >= m.settings.MaxConns
		if !isTooMany {
			m.conns[conn] = true
			m.group.Go(conn.serve)
		}
		m.lock.Unlock()
		if isTooMany {
			conn.abort()
		}
	}
}

// receivedRequest is a request with its body, which has been read to the end.
type receivedRequest struct {
	*http.Request
	body []byte
}

// readRequests reads one request after another and passes them on. When it returns, the connection counts as closed.
func (c *modelConn) readRequests(to chan<- receivedRequest) {
	defer c.end()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if c.rejectsEarly(request) {
			continue
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		select {
		case to <- receivedRequest{request, body}:
		case <-c.closed.Done():
			return
		}
	}
}

// rejectsEarly rejects a request before reading its body if EarlyRejectShare selects it, and then discards the
// body. It reports whether the request was rejected and the next one can be read.
func (c *modelConn) rejectsEarly(request *http.Request) bool {
	m := c.model
	faults, _, _ := m.currentFaults()
	id := request.Header.Get(m.settings.Wire.RequestID)
	if request.ContentLength <= 0 || !m.injectsFault(faults.EarlyRejectShare, "early", id) {
		return false
	}
	m.emit(checker.RoutedEvent{EventKind: checker.Rejected, ID: id, Status: http.StatusServiceUnavailable, Why: "early"})
	c.sendPlain(id, http.StatusServiceUnavailable, http.Header{m.settings.Wire.NotRun: {"1"}}, []byte("early\n"))
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil
}

func (c *modelConn) serve() {
	m := c.model
	requests := make(chan receivedRequest)
	m.group.Go(func() { c.readRequests(requests) })
	defer func() {
		c.end()
		c.net.Close()
		m.lock.Lock()
		delete(m.conns, c)
		m.lock.Unlock()
	}()
	for {
		m.lock.Lock()
		idle, dropped := m.settings.IdleTimeout, m.faults.IdleDropTimeout
		m.lock.Unlock()
		if idle <= 0 {
			idle = kernel.Micros(1) << 40
		}
		if dropped > 0 {
			idle = min(idle, dropped)
		}
		idleTimer := time.NewTimer(idle.Duration())
		select {
		case <-c.closed.Done():
			idleTimer.Stop()
			return
		case <-idleTimer.C:
			if dropped > 0 {
				c.vanish()
			}
			return
		case request := <-requests:
			idleTimer.Stop()
			if !c.handle(request) {
				return
			}
		}
	}
}

func (m *Model) currentFaults() (ModelFaults, chan struct{}, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.faults, m.responsive, m.isDraining
}

// waitResponsive blocks while the engine is unresponsive, and reports whether the request may be handled. A request whose
// client disconnected meanwhile may not.
func (c *modelConn) waitResponsive() bool {
	_, responsive, _ := c.model.currentFaults()
	select {
	case <-responsive:
		return true
	default:
	}
	select {
	case <-responsive:
		return c.closed.Err() == nil
	case <-c.closed.Done():
		return false
	}
}

// handle answers one request and reports whether the connection stays open.
func (c *modelConn) handle(r receivedRequest) bool {
	m := c.model
	wire := m.settings.Wire
	if !c.waitResponsive() {
		return false
	}
	faults, _, isDraining := m.currentFaults()
	if m.settings.HealthPath != "" && r.Method == http.MethodGet && r.URL.Path == m.settings.HealthPath {
		isHealthy := !isDraining != faults.HasInvertedHealth
		status := http.StatusOK
		if !isHealthy {
			status = http.StatusServiceUnavailable
		}
		return c.sendPlain("", status, http.Header{m.settings.InstanceHeader: {m.settings.ID}}, nil)
	}
	id := r.Header.Get(wire.RequestID)
	digest := Digest(r.Method, r.RequestURI, r.body)
	m.emit(checker.RoutedEvent{
		EventKind: checker.Arrived, ID: id, Digest: digest,
		Tenant: strings.Join(r.Header.Values(wire.Tenant), ","), ShowsKey: r.Header.Get(wire.Key) != "",
	})
	reject := func(status int, why string, header http.Header) bool {
		m.emit(checker.RoutedEvent{EventKind: checker.Rejected, ID: id, Status: status, Why: why})
		return c.sendPlain(id, status, header, []byte(why+"\n"))
	}
	notRun := http.Header{wire.NotRun: {"1"}}
	if id == "" {
		return reject(http.StatusBadRequest, "there is no id", notRun)
	}
	if want := r.Header.Get(wire.WantInstance); want != "" && want != m.settings.ID {
		return reject(http.StatusMisdirectedRequest, "another engine is wanted", http.Header{})
	}
	j, err := m.newJob(r, id, digest, faults.IgnoresResume)
	if err != nil {
		return reject(http.StatusBadRequest, err.Error(), notRun)
	}
	if why := m.enqueue(j); why != "" {
		return reject(http.StatusServiceUnavailable, why, notRun)
	}
	defer m.cancel(j)
	return c.sendRun(r, j, faults, reject)
}

func (m *Model) newJob(r receivedRequest, id, digest string, ignoresResume bool) (*job, error) {
	wire := m.settings.Wire
	j := &job{id: id, digest: digest, priority: 5, changed: make(chan struct{}, 1), deadline: time.Now().Add(time.Hour)}
	var err error
	if j.promptTokens, j.maxTokens, err = router.ParseTokens(wire.Tokens, r.Header.Get(wire.Tokens)); err != nil {
		return nil, err
	}
	j.maxTokens = max(j.maxTokens, 1)
	if j.segments, err = router.ParseSegments(wire.Prefix, r.Header.Get(wire.Prefix)); err != nil {
		return nil, err
	}
	if text := r.Header.Get(wire.Priority); text != "" {
		if j.priority, err = strconv.Atoi(text); err != nil {
			return nil, router.BadHeaderError{Name: wire.Priority, Reason: err.Error()}
		}
	}
	if text := r.Header.Get(wire.Deadline); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, router.BadHeaderError{Name: wire.Deadline, Reason: err.Error()}
		}
		j.deadline = time.Now().Add(time.Duration(left * float64(time.Millisecond)))
	}
	if text := r.Header.Get(wire.LastEvent); text != "" && ignoresResume {
		j.hasRestarted = true
	} else if text != "" {
		if j.resumeAfter, err = strconv.Atoi(text); err != nil {
			return nil, router.BadHeaderError{Name: wire.LastEvent, Reason: err.Error()}
		}
		// Events that the client has already received are not generated again. If it has received all, the stream is empty.
		left := j.maxTokens - j.resumeAfter*max(m.settings.TokensPerEvent, 1)
		j.isEmpty = left <= 0
		j.maxTokens = max(left, 1)
	}
	return j, nil
}

// sendRun sends the response of a run as it is generated, or rejects the request if it does not start, and
// injects the faults of responses. It reports whether the connection stays open.
func (c *modelConn) sendRun(r receivedRequest, j *job, faults ModelFaults, reject func(int, string, http.Header) bool) bool {
	m := c.model
	isStream := strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	deadline := time.NewTimer(time.Until(j.deadline))
	defer deadline.Stop()
	total := j.resumeAfter + m.eventCount(j.maxTokens)
	if j.isEmpty {
		total = j.resumeAfter
	}
	cutAfter := -1
	if m.injectsFault(faults.TruncatedShare, "cut", j.id) {
		cutAfter = (total - j.resumeAfter) / 2
	}
	hasHead, sent := false, 0
	for {
		isLate := false
		select {
		case <-c.closed.Done():
			return false
		case <-deadline.C:
			isLate = true
		case <-j.changed:
		}
		if !c.waitResponsive() {
			return false
		}
		now := m.progressOf(j)
		emitAborted := func() { m.emit(checker.RoutedEvent{EventKind: checker.Aborted, ID: j.id, Run: now.run}) }
		switch {
		case now.rejectReason != "":
			return reject(http.StatusServiceUnavailable, now.rejectReason, http.Header{m.settings.Wire.NotRun: {"1"}})
		case now.run == "":
			if isLate && m.withdraw(j) {
				return reject(http.StatusServiceUnavailable, "the deadline passed in the queue", http.Header{m.settings.Wire.NotRun: {"1"}})
			}
			if isLate {
				deadline.Reset(0) // the run started in the meantime, so it ends as late in the next iteration
			}
			continue
		case isLate && hasHead:
			emitAborted()
			return false
		case isLate:
			return c.sendResult(j, now.run, http.StatusGatewayTimeout, ModelErrorBody(now.run))
		case now.events == 0 && !now.isDone:
			continue
		case !hasHead && m.injectsFault(faults.ErrorShare, "grey", j.id):
			return c.sendResult(j, now.run, http.StatusInternalServerError, ModelErrorBody(now.run))
		case !hasHead && m.injectsFault(faults.MalformedShare, "junk", j.id):
			emitAborted()
			c.write([]byte("\x00\x17 this is no answer\r\n\r\n"))
			return false
		case now.isDone && !isStream && m.injectsFault(faults.LostAnswerShare, "lose", j.id), !hasHead && isStream && m.injectsFault(faults.LostAnswerShare, "lose", j.id):
			emitAborted()
			return false
		}
		if m.injectsFault(faults.UnframedShare, "unframed", j.id) {
			if !now.isDone {
				continue
			}
			c.sendUnframed(j, now.run, isStream, total)
			return false
		}
		if !isStream {
			if !now.isDone {
				continue
			}
			body := ModelBody(now.run, j.maxTokens)
			if cutAfter >= 0 {
				emitAborted()
				c.write(append(c.head(j.id, now.run, http.StatusOK, http.Header{"Content-Length": {strconv.Itoa(len(body))}}), body[:len(body)/2]...))
				return false
			}
			return c.sendResult(j, now.run, http.StatusOK, body)
		}
		var message []byte
		if !hasHead {
			message = c.head(j.id, now.run, http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Transfer-Encoding": {"chunked"}})
			hasHead = true
		}
		for ; sent < min(now.events, total-j.resumeAfter); sent++ {
			event := ModelEvent(now.run, j.resumeAfter+sent+1, j.resumeAfter+sent+1 == total)
			if sent == cutAfter {
				// Truncate in the middle of an event, like a crash.
				c.write(append(message, fmt.Sprintf("%x\r\n%s", len(event), event[:len(event)/2])...))
				emitAborted()
				return false
			}
			message = fmt.Appendf(message, "%x\r\n%s\r\n", len(event), event)
		}
		if now.isDone {
			message = append(message, "0\r\n\r\n"...)
			m.emit(checker.RoutedEvent{EventKind: checker.Finished, ID: j.id, Run: now.run, Status: http.StatusOK})
		}
		if !c.write(message) {
			return false
		}
		if now.isDone {
			return c.afterResponse(j, now.run)
		}
	}
}

// sendUnframed sends a response without a length, which ends with the connection. Half of the
// responses are reset midway.
func (c *modelConn) sendUnframed(j *job, run string, isStream bool, total int) {
	m := c.model
	header, body := http.Header{}, ModelBody(run, j.maxTokens)
	if isStream {
		header.Set("Content-Type", "text/event-stream")
		body = nil
		for id := j.resumeAfter + 1; id <= total; id++ {
			body = append(body, ModelEvent(run, id, id == total)...)
		}
	}
	message := c.head(j.id, run, http.StatusOK, header)
	if m.injectsFault(0.5, "unframed-reset", j.id) {
		m.emit(checker.RoutedEvent{EventKind: checker.Aborted, ID: j.id, Run: run})
		c.write(append(message, body[:len(body)/2]...))
		c.abort()
		return
	}
	m.emit(checker.RoutedEvent{EventKind: checker.Finished, ID: j.id, Run: run, Status: http.StatusOK})
	c.write(append(message, body...))
}

// sendResult sends the complete response of a run with its length. It reports whether the connection stays open.
func (c *modelConn) sendResult(j *job, run string, status int, body []byte) bool {
	c.model.emit(checker.RoutedEvent{EventKind: checker.Finished, ID: j.id, Run: run, Status: status})
	if !c.write(append(c.head(j.id, run, status, http.Header{"Content-Length": {strconv.Itoa(len(body))}}), body...)) {
		return false
	}
	return c.afterResponse(j, run)
}

// afterResponse injects duplicate responses after a complete one. It reports whether the connection stays open.
func (c *modelConn) afterResponse(j *job, run string) bool {
	m := c.model
	faults, _, _ := m.currentFaults()
	sendDuplicate := func() bool {
		body, id := []byte("a second answer to "+j.id), j.id
		if faults.AreDuplicatesAnonymous {
			id = ""
		}
		return c.write(append(c.head(id, run, http.StatusOK, http.Header{"Content-Length": {strconv.Itoa(len(body))}}), body...))
	}
	if m.injectsFault(faults.DuplicateShare, "twice", j.id) && !sendDuplicate() {
		return false
	}
	if m.injectsFault(faults.LateDuplicateShare, "late", j.id) {
		// The delay makes the duplicate arrive during the next exchange or between two exchanges.
		timer := time.NewTimer(30 * time.Millisecond)
		defer timer.Stop()
		select {
		case <-c.closed.Done():
			return false
		case <-timer.C:
		}
		if !sendDuplicate() {
			return false
		}
	}
	return !c.wantsClose(j.id)
}

// wantsClose reports whether the response to a request announces that the connection closes.
func (c *modelConn) wantsClose(id string) bool {
	m := c.model
	_, _, isDraining := m.currentFaults()
	return isDraining || m.settings.CloseOneIn > 0 && m.injectsFault(1/float64(m.settings.CloseOneIn), "close", id)
}

func (c *modelConn) head(id, run string, status int, header http.Header) []byte {
	m := c.model
	wire := m.settings.Wire
	var to bytes.Buffer
	fmt.Fprintf(&to, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	set := func(name, value string) { header[http.CanonicalHeaderKey(name)] = []string{value} }
	if id != "" {
		set(wire.RequestID, id)
	}
	if run != "" {
		set(wire.EngineProof, run)
	}
	if m.settings.ReportsLoad {
		load := m.load()
		set(wire.Load, fmt.Sprintf("%d,%d,%d", load.Running, load.Waiting, load.Slots))
	}
	if c.wantsClose(id) {
		set("Connection", "close")
	} else if m.settings.IdleTimeout > 0 {
		set("Keep-Alive", fmt.Sprintf("timeout=%d", m.settings.IdleTimeout/kernel.Second))
	}
	header.Write(&to) // writes to a bytes.Buffer do not fail
	to.WriteString("\r\n")
	return to.Bytes()
}

// sendPlain sends a response that belongs to no run. It reports whether the connection stays open.
func (c *modelConn) sendPlain(id string, status int, header http.Header, body []byte) bool {
	set := http.Header{"Content-Length": {strconv.Itoa(len(body))}}
	for name, lines := range header {
		set[http.CanonicalHeaderKey(name)] = lines
	}
	return c.write(append(c.head(id, "", status, set), body...)) && !c.wantsClose(id)
}

func (c *modelConn) write(message []byte) bool {
	_, err := c.net.Write(message)
	return err == nil
}
