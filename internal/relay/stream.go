package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	copyBufferBytes = 32 << 10
	maxResumes      = 3 // of one attempt
)

// truncatedStreamError says that a body ended before its end: a stream without its closing mark, or
// fewer bytes than were announced.
type truncatedStreamError struct{ sent int64 }

func (e truncatedStreamError) Error() string {
	return fmt.Sprintf("the stream ended after %d bytes without its closing mark", e.sent)
}

// streamCopier passes the body of one answer on to the caller.
type streamCopier struct {
	forwarder     *Forwarder
	call          *Call
	w             io.Writer
	control       *http.ResponseController
	idleTimer     *time.Timer // ends the attempt if the engine sends nothing
	tally         Tally
	isStream      bool
	contentLength int64 // the length the engine announced, or -1
	sent          int64 // bytes
}

// copy passes bytes on as they come until the source ends. Of the two errors one says that the
// engine's side failed, the other that the caller's did.
func (c *streamCopier) copy(source io.Reader) (engineErr, callerErr error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := source.Read(buffer)
		c.idleTimer.Reset(c.forwarder.Timeouts.Engine.Duration())
		if count > 0 {
			if err := c.send(buffer[:count]); err != nil {
				return nil, err
			}
		}
		switch {
		case err == io.EOF:
			return c.checkEnd(), nil
		case err != nil:
			return err, nil
		}
	}
}

// send counts the tokens of a chunk and passes it on.
func (c *streamCopier) send(chunk []byte) error {
	if tokens := c.tally.Take(chunk); tokens > 0 && c.isStream {
		c.forwarder.Dispatcher.CountTokens(c.forwarder.Env.Clock.Now(), c.call, tokens)
	}
	deadline := time.Now().Add(c.forwarder.Timeouts.CallerStall.Duration())
	if err := c.control.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if _, err := c.w.Write(chunk); err != nil {
		return err
	}
	if err := c.control.Flush(); err != nil {
		return err
	}
	c.sent += int64(len(chunk))
	return nil
}

// checkEnd checks that a body that ended is complete.
func (c *streamCopier) checkEnd() error {
	lacksClosingMark := c.isStream && !c.tally.IsClosed
	lacksBytes := c.contentLength >= 0 && c.sent < c.contentLength
	if lacksClosingMark || lacksBytes {
		return truncatedStreamError{c.sent}
	}
	return nil
}

// relayBody passes an engine's body on to its end, and resumes the run if its stream breaks.
func (f *Forwarder) relayBody(ctx context.Context, r *http.Request, call *Call, response *http.Response, copier *streamCopier) attemptResult {
	run := runIdentity{id: response.Header.Get(HeaderRunID), start: response.Header.Get(HeaderStart)}
	source := response.Body
	defer func() { closeBody(source) }()
	for resumes := 0; ; resumes++ {
		engineErr, callerErr := copier.copy(source)
		if callerErr != nil || r.Context().Err() != nil {
			return resultCallerDisconnected
		}
		if engineErr == nil {
			return attemptResult{outcome: Served}
		}
		closeBody(source)
		if cause := context.Cause(ctx); cause != nil {
			engineErr = cause
		}
		if run.id == "" || resumes >= maxResumes || context.Cause(ctx) != nil || !f.Dispatcher.AllowResume(f.Env.Clock.Now(), call) {
			return attemptResult{outcome: ConnectionLost, why: engineErr.Error()}
		}
		resumed, err := f.resume(ctx, call, run, copier.sent)
		if err != nil {
			return attemptResult{outcome: ConnectionLost, why: fmt.Sprintf("%v, and the run can't be resumed: %v", engineErr, err)}
		}
		source = resumed
	}
}

// runIdentity names one run of one process of an engine. Without an id the run can't be resumed.
type runIdentity struct{ id, start string }

// notResumedError says why a run could not be resumed.
type notResumedError struct{ reason string }

func (e notResumedError) Error() string { return e.reason }

// resume opens the same run on the same engine at the byte the caller has reached.
func (f *Forwarder) resume(ctx context.Context, call *Call, run runIdentity, offset int64) (io.ReadCloser, error) {
	transport := f.newTransport(func(connection net.Conn) net.Conn { return connection })
	url := fmt.Sprintf("http://%s/v1/runs/%s?offset=%d", call.Attempt.Engine.Address, run.id, offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderRequest, call.Request.ID)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	headers := response.Header
	// Any doubt that it is the same run of the same process ends the attempt: a body
	// made of two runs is worse than one that breaks off.
	isSame := response.StatusCode == http.StatusOK && headers.Get(HeaderRunID) == run.id && headers.Get(HeaderStart) == run.start && run.start != "" &&
		headers.Get(HeaderOffset) == strconv.FormatInt(offset, 10)
	if !isSame {
		closeBody(response.Body)
		return nil, notResumedError{fmt.Sprintf("status %d, run %q, start %q, offset %q",
			response.StatusCode, headers.Get(HeaderRunID), headers.Get(HeaderStart), headers.Get(HeaderOffset))}
	}
	return response.Body, nil
}
