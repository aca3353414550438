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
	maxResumes      = 3 // for each attempt
)

// truncatedStreamError says that a body was truncated: a stream ended without the [DONE] marker, or a body
// had fewer bytes than its Content-Length.
type truncatedStreamError struct{ sent int64 }

func (e truncatedStreamError) Error() string {
	return fmt.Sprintf("the response body was truncated after %d bytes", e.sent)
}

// streamCopier copies the response body of one attempt to the caller, including the parts that come from resumes.
type streamCopier struct {
	forwarder     *Forwarder
	call          *Call
	w             io.Writer
	control       *http.ResponseController
	idleTimer     *time.Timer // cancels the attempt if the engine sends nothing
	tally         Tally
	isStream      bool
	contentLength int64 // from the engine's response headers, or -1
	sent          int64 // bytes sent to the caller
}

// copy copies bytes from source, the engine's response body, as they arrive. It returns engineErr if reading from the
// engine failed or the body was truncated, and callerErr if writing to the caller failed.
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

// send counts the tokens of a chunk and writes the chunk to the caller.
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

// checkEnd returns a truncatedStreamError if the body that ended is not complete.
func (c *streamCopier) checkEnd() error {
	lacksDoneMarker := c.isStream && !c.tally.HasDoneMarker
	lacksBytes := c.contentLength >= 0 && c.sent < c.contentLength
	if lacksDoneMarker || lacksBytes {
		return truncatedStreamError{c.sent}
	}
	return nil
}

// relayBody copies the engine's response body to the caller. If the body breaks off, it resumes the run, up to
// maxResumes times, if the engine has sent a run id and the retry budget allows it.
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
			return attemptResult{outcome: ConnectionLost, reason: engineErr.Error()}
		}
		resumed, err := f.resume(ctx, call, run, copier.sent)
		if err != nil {
			return attemptResult{outcome: ConnectionLost, reason: fmt.Sprintf("%v, and resuming the run failed: %v", engineErr, err)}
		}
		source = resumed
	}
}

// runIdentity identifies one run of one engine process. A run without an id can't be resumed.
type runIdentity struct{ id, start string }

// notResumedError says why a run could not be resumed.
type notResumedError struct{ reason string }

func (e notResumedError) Error() string { return e.reason }

// resume requests the rest of a run's response body from the same engine. offset is the number of bytes of the body
// that the caller has received so far.
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
	// Unless the response is proven to belong to the same run of the same process, the attempt ends: a
	// body mixed from two runs is worse than a truncated one.
	isSame := response.StatusCode == http.StatusOK && headers.Get(HeaderRunID) == run.id && headers.Get(HeaderStart) == run.start && run.start != "" &&
		headers.Get(HeaderOffset) == strconv.FormatInt(offset, 10)
	if !isSame {
		closeBody(response.Body)
		return nil, notResumedError{fmt.Sprintf("status %d, run %q, start %q, offset %q",
			response.StatusCode, headers.Get(HeaderRunID), headers.Get(HeaderStart), headers.Get(HeaderOffset))}
	}
	return response.Body, nil
}
