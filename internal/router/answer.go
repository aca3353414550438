package router

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
	"dunlinloom/internal/relay"
)

// answer is what a caller gets: the response of one engine, or of several where a stream is resumed. While an engine is
// unresponsive, another one is tried beside it (a hedged request). The caller gets the response of the attempt that first
// has something to send. That supersedes the others, which from then on send nothing.
type answer struct {
	router  *Router
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	call    *Call
	ticket  *quota.Ticket
	body    []byte            // of the request
	hedging sync.WaitGroup    // goroutines of hedged attempts
	hedged  chan endedAttempt // the hedged attempt after whose end none was in progress, or that has ended the call

	lock          sync.Mutex // guards the fields below; not held while a part of the answer is written
	runs          []*attemptRun
	isWriting     bool          // a part of the answer is being written; no other attempt is started meanwhile
	writtenAt     kernel.Micros // when the last part was written
	hasBegun      bool          // the head was sent
	hasSentEvents bool
	lastEventID   string // of the last event sent, at first the one that the caller's request names
	stopCause     error  // why no further attempt may run; nil: they may
}

// attemptRun is an attempt in progress.
type attemptRun struct {
	attempt      *Attempt
	cancel       context.CancelCauseFunc
	hedge        func(silence kernel.Micros) // tries another engine beside the one of this attempt
	silence      kernel.Micros               // for which its engine had sent nothing when another attempt was started beside it
	isSuperseded bool                        // guarded by the lock of the answer
	idleTimer    *idleTimer                  // nil: its engine may take any time
	// isContinuation is set if the answer had begun before the attempt. resumedAfter is the last event that the caller had
	// then.
	isContinuation bool
	resumedAfter   string
}

// endedAttempt is how an attempt has ended, and how the call goes on.
type endedAttempt struct {
	outcome Outcome
	next    Next
}

// supersededError is the cause with which an attempt is canceled when the caller gets the response of another one.
type supersededError struct{}

func (supersededError) Error() string { return "another engine serves the request" }

// answerEndedError is the cause with which attempts are canceled that are left when the answer has ended.
type answerEndedError struct{}

func (answerEndedError) Error() string { return "the answer has ended" }

func newAnswer(rt *Router, w http.ResponseWriter, r *http.Request, call *Call, ticket *quota.Ticket, body []byte) *answer {
	return &answer{
		router: rt, w: w, r: r, control: http.NewResponseController(w), call: call, ticket: ticket, body: body,
		hedged: make(chan endedAttempt, 1), lastEventID: call.Request.LastEvent,
	}
}

// start registers an attempt that is about to run, until its caller disconnects, or until deadlineGrace after the deadline.
// The lock is held.
func (a *answer) start(caller context.Context, attempt *Attempt) (ctx context.Context, run *attemptRun) {
	remaining := (a.call.Request.Deadline + deadlineGrace - a.router.Env.Clock.Now()).Duration()
	timed, cancelTimed := context.WithDeadlineCause(caller, time.Now().Add(remaining), deadlineExceededError{})
	ctx, cancel := context.WithCancelCause(timed)
	run = &attemptRun{attempt: attempt, cancel: func(cause error) {
		cancel(cause)
		cancelTimed()
	}}
	run.hedge = func(silence kernel.Micros) { a.hedge(caller, run, silence) }
	a.runs = append(a.runs, run)
	if a.stopCause != nil {
		run.cancel(a.stopCause)
	}
	return ctx, run
}

// perform makes an attempt that was started.
func (a *answer) perform(ctx context.Context, run *attemptRun) endedAttempt {
	result := a.router.attempt(ctx, a, run)
	run.cancel(nil)
	a.remove(run)
	if isSuspicious := result.outcome == NotSent || result.outcome == Unresponsive || result.outcome == ConnectionLost; isSuspicious && a.router.Suspect != nil {
		a.router.Suspect(run.attempt.Engine)
	}
	return endedAttempt{result.outcome, a.router.Chooser.Close(a.router.Env.Clock.Now(), run.attempt, result.outcome, result.reason)}
}

func (a *answer) remove(run *attemptRun) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.runs = slices.DeleteFunc(a.runs, func(other *attemptRun) bool { return other == run })
}

// run makes an attempt.
func (a *answer) run(caller context.Context, attempt *Attempt) endedAttempt {
	a.lock.Lock()
	ctx, run := a.start(caller, attempt)
	a.lock.Unlock()
	return a.perform(ctx, run)
}

// hedge tries another engine beside the one of a run, which has sent nothing for the given time, if the Chooser allows
// it. While an attempt is in progress, one that fails is not followed by another before the next silence.
func (a *answer) hedge(caller context.Context, run *attemptRun, silence kernel.Micros) {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.router.Env.Clock.Now()
	if run.isSuperseded || a.stopCause != nil || a.isWriting || now < a.writtenAt+silence {
		return
	}
	next := a.router.Chooser.Hedge(now, run.attempt)
	if next == nil {
		return
	}
	run.silence = silence
	a.router.chargeRetryQuota(a.ticket)
	ctx, hedged := a.start(caller, next)
	a.hedging.Go(func() {
		if ended := a.perform(ctx, hedged); !ended.next.IsPending {
			a.hedged <- ended
		} else if ended.outcome == NotSent {
			// The attempt has cost nothing, so that another engine is tried at once.
			run.hedge(silence)
		}
	})
}

// stop cancels the attempts in progress, and all later ones.
func (a *answer) stop(cause error) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.stopCause = cause
	for _, run := range a.runs {
		run.cancel(cause)
	}
}

// prepare notes what the caller has of the answer, after which the run's response has to continue. It fails if the run
// is superseded already, so that nothing is sent to its engine.
func (a *answer) prepare(run *attemptRun) error {
	a.lock.Lock()
	defer a.lock.Unlock()
	run.isContinuation, run.resumedAfter = a.hasBegun, a.lastEventID
	if run.isSuperseded {
		return NotWrittenError{supersededError{}}
	}
	return nil
}

// take makes a run the one whose response the caller gets, and supersedes the others. It fails if the run is superseded
// itself. Until written is called, the run alone may write to the caller.
func (a *answer) take(run *attemptRun) error {
	a.lock.Lock()
	defer a.lock.Unlock()
	if run.isSuperseded {
		return supersededError{}
	}
	for _, other := range a.runs {
		if other == run || other.isSuperseded {
			continue
		}
		other.isSuperseded = true
		if other.silence > 0 && other.attempt.Number < run.attempt.Number {
			other.cancel(engineTimeoutError{other.silence})
		} else {
			other.cancel(supersededError{})
		}
	}
	a.isWriting = true
	return nil
}

// written ends what take has begun. lastEventID is the ID of the last event that was sent; empty: none was.
func (a *answer) written(lastEventID string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.isWriting, a.writtenAt = false, a.router.Env.Clock.Now()
	a.hasBegun = true
	if lastEventID != "" {
		a.lastEventID, a.hasSentEvents = lastEventID, true
	}
}

// begin sends the head of the answer, unless an earlier attempt has sent it.
func (a *answer) begin(run *attemptRun, response *http.Response) error {
	if run.isContinuation {
		return nil
	}
	if err := a.take(run); err != nil {
		return err
	}
	defer a.written("")
	a.copyHeaders(response)
	a.w.WriteHeader(response.StatusCode)
	isStream := isEventStream(response)
	if !isStream || !a.call.Request.Route.IsResumable {
		a.router.Chooser.Bind(run.attempt)
	}
	if !isStream {
		return nil
	}
	if err := a.control.Flush(); err != nil {
		return callerDisconnectedError{err}
	}
	return nil
}

func (a *answer) copyHeaders(response *http.Response) {
	dropped := relay.ConnectionHeaders(response.Header)
	header := a.w.Header()
	for name, lines := range response.Header {
		if !dropped[name] {
			header[name] = lines
		}
	}
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
}

// write sends a part of the body of a run's response to the caller and flushes it.
func (a *answer) write(run *attemptRun, part []byte) error {
	if err := a.take(run); err != nil {
		return err
	}
	defer a.written("")
	return a.send(part)
}

// writeEvents sends complete events of a run's response, of which lastID is the last ID.
func (a *answer) writeEvents(run *attemptRun, events []byte, lastID string, hasEventWithoutID bool) error {
	if err := a.take(run); err != nil {
		return err
	}
	defer a.written(lastID)
	if a.hasSentEvents {
		a.router.checkEventOrder(a.call, a.lastEventID, firstID(events))
	}
	if hasEventWithoutID {
		a.router.Chooser.Bind(run.attempt)
	}
	return a.send(events)
}

// send writes a part of the body to the caller and flushes it.
func (a *answer) send(part []byte) error {
	if _, err := a.w.Write(part); err != nil {
		return callerDisconnectedError{err}
	}
	if err := a.control.Flush(); err != nil {
		return callerDisconnectedError{err}
	}
	return nil
}

// end ends the answer with a run's response, of which all was sent.
func (a *answer) end(run *attemptRun) error {
	if err := a.take(run); err != nil {
		return err
	}
	a.written("")
	return nil
}

// callerDisconnectedError says that a part of an answer could not be written to the caller.
type callerDisconnectedError struct{ cause error }

func (e callerDisconnectedError) Error() string { return e.cause.Error() }

func (e callerDisconnectedError) Unwrap() error { return e.cause }

// finish cancels the attempts that are left when the call has ended, and waits for their end.
func (a *answer) finish() {
	a.stop(answerEndedError{})
	a.hedging.Wait()
}

// serve makes attempts until the Chooser allows no further one. It then has answered the caller, or it panics with
// http.ErrAbortHandler if the caller has disconnected or the answer was cut off.
func (a *answer) serve(caller context.Context) {
	for ended := a.run(caller, a.call.Attempt); ; {
		switch {
		case ended.next.Attempt != nil:
			if a.call.mayHaveRun {
				a.router.chargeRetryQuota(a.ticket)
			}
			ended = a.run(caller, ended.next.Attempt)
		case ended.next.IsPending:
			ended = <-a.hedged
		default:
			a.finish()
			a.conclude(ended.outcome, ended.next.Rejection)
			return
		}
	}
}

// conclude answers the caller where no engine has done so. No attempt is in progress any more.
func (a *answer) conclude(outcome Outcome, rejection *Rejection) {
	rt := a.router
	switch {
	case outcome == Served || outcome == Failed:
	case outcome == CallerDisconnected:
		rt.logFailure(a.call, "caller gone")
		panic(http.ErrAbortHandler)
	case a.hasBegun:
		rt.truncated.Add(1)
		rt.Chooser.countEndAfterSilence(rt.Env.Clock.Now(), a.call, endedTorn)
		rt.logFailure(a.call, endedTorn)
		// The caller has a part of an answer, and only closing its connection shows that the answer is incomplete.
		panic(http.ErrAbortHandler)
	default:
		if !a.call.mayHaveRun {
			rt.refundQuota(a.ticket)
		}
		rt.Chooser.countEndAfterSilence(rt.Env.Clock.Now(), a.call, endedRejected)
		rt.logFailure(a.call, rejection.Reason)
		rt.reject(a.w, rejection)
	}
}

// isCanceledFor reports whether an attempt was canceled since its answer goes on, or has ended, without it.
func isCanceledFor(cause error) bool {
	return errors.As(cause, new(supersededError)) || errors.As(cause, new(answerEndedError))
}
