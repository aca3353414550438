package loadgen

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// cancelAtEnd is a transport that cancels the caller's context as soon as the caller has read a complete response.
type cancelAtEnd struct {
	http.RoundTripper
	cancel context.CancelFunc
}

func (t cancelAtEnd) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil {
		response.Body = cancelingBody{response.Body, t.cancel}
	}
	return response, err
}

type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b cancelingBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		b.cancel()
	}
	return count, err
}

// A call with a complete response keeps its outcome even if its caller cancels at that moment, because what the
// response states about the run still holds. Only a call without a complete response counts as abandoned.
func TestCompleteResponseKeepsItsOutcomeAfterCancel(t *testing.T) {
	c := qt.New(t)
	for _, example := range []struct {
		outcome checker.Outcome
		want    bool
	}{
		{checker.Served, false}, {checker.NotRun, false}, {checker.MayHaveRun, false}, {checker.EngineError, false},
		{checker.Corrupted, false}, {checker.FalseEnd, false},
		{checker.Truncated, true}, {checker.NoResponse, true}, {checker.Unreached, true},
	} {
		c.Check(isUnfinished(example.outcome), qt.Equals, example.want, qt.Commentf("%s", example.outcome))
	}
	whole := emulator.ResponseBody("run-1", 3, true)
	for _, example := range []struct {
		name          string
		sent          int // bytes of the answer that are sent before the caller cancels; the rest never follows
		cancelsAtEnd  bool
		withoutHeader bool // nothing is sent at all
		want          checker.Outcome
	}{
		{name: "before the answer", withoutHeader: true, want: checker.Abandoned},
		{name: "after the head", want: checker.Abandoned},
		{name: "within the body", sent: len(whole) / 2, want: checker.Abandoned},
		{name: "at the end", sent: len(whole), cancelsAtEnd: true, want: checker.Served},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			// The server notices that the caller has gone only once it has read the request.
			_, _ = io.Copy(io.Discard, request.Body)
			if !example.withoutHeader {
				w.Header().Set(emulator.HeaderRun, "run-1")
				_, _ = w.Write(whole[:example.sent])
				_ = http.NewResponseController(w).Flush()
			}
			if !example.cancelsAtEnd {
				cancel()
				// An answer that ended here could still reach the caller, which is then served.
				<-request.Context().Done()
			}
		}))
		caller := NewCaller()
		if example.cancelsAtEnd {
			caller.client.Transport = cancelAtEnd{caller.client.Transport, cancel}
		}
		event := caller.Call(ctx, node.Listener.Addr().String(), Request{Tag: "t", Out: 3})
		c.Check(ctx.Err(), qt.IsNotNil, qt.Commentf("%s", example.name))
		c.Check(event.Outcome, qt.Equals, example.want, qt.Commentf("%s: %s", example.name, event.Reason))
		cancel()
		node.Close()
	}
}
