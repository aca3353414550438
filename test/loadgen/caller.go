package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// Caller sends requests to nodes and checks the responses. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller with its own connection pool.
func NewCaller() *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{&http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func now() kernel.Micros { return kernel.Micros(time.Now().UnixMicro()) }

// Call sends one request to the node with the given address and returns the event of its end. An error is reported
// in the event, as its outcome and reason.
func (c *Caller) Call(ctx context.Context, node string, request Request) checker.Event {
	event := checker.Event{EventKind: checker.CallEnded, Tag: request.Tag, Node: node, Kind: request.Kind, StartedAt: now()}
	event.Outcome, event.Reason = c.call(ctx, node, request, &event)
	event.At = now()
	if ctx.Err() != nil && isUnfinished(event.Outcome) {
		event.Outcome, event.Reason = checker.Abandoned, "the caller canceled the request"
	}
	return event
}

// isUnfinished reports whether a call ended before its response was complete. Only such a call can count as abandoned
// by its caller. A complete response states whether the request ran, and that holds even if the caller canceled at the
// same time.
func isUnfinished(outcome checker.Outcome) bool {
	return outcome == checker.Truncated || outcome == checker.NoResponse || outcome == checker.Unreached
}

// body is the JSON body of a request.
type body struct {
	Model     string   `json:"model"`
	Prompt    []uint32 `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Stream    bool     `json:"stream"`
}

func (c *Caller) call(ctx context.Context, node string, request Request, event *checker.Event) (checker.Outcome, string) {
	content, err := json.Marshal(body{"emulator", request.Prompt, request.Out, !request.Plain})
	if err != nil {
		return checker.Unreached, err.Error()
	}
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/completions", io.NopCloser(bytes.NewReader(content)))
	if err != nil {
		return checker.Unreached, err.Error()
	}
	message.ContentLength = int64(len(content))
	message.Header.Set("Content-Type", "application/json")
	message.Header.Set(relay.HeaderKind, request.Kind)
	message.Header.Set(emulator.HeaderTag, request.Tag)
	response, err := c.client.Do(message)
	if err != nil {
		var dialing *net.OpError
		if errors.As(err, &dialing) && dialing.Op == "dial" {
			return checker.Unreached, err.Error()
		}
		return checker.NoResponse, err.Error()
	}
	// The body is compared byte for byte, so an error from Close adds no information.
	defer func() { _ = response.Body.Close() }()
	event.ID = response.Header.Get(relay.HeaderRequest)
	event.Engine = response.Header.Get(relay.HeaderEngine)
	if text := response.Header.Get(relay.HeaderRevision); text != "" {
		if event.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			return checker.Corrupted, "invalid revision header " + text
		}
	}
	got, readErr := readBody(response.Body, event)
	return Compare(response, got, readErr, request)
}

// readBody reads a body to its end and records in the event when its first byte arrived.
func readBody(body io.Reader, event *checker.Event) ([]byte, error) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(body, first); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, nil // the body is empty
		}
		return nil, err
	}
	event.FirstAt = now()
	rest, err := io.ReadAll(body)
	return append(first, rest...), err
}

// Compare returns the outcome of a response to a request, and the reason if the response is not complete. The
// bytes of the body that were read are in got, and readErr is the error that ended the reading, if any.
func Compare(response *http.Response, got []byte, readErr error, request Request) (checker.Outcome, string) {
	run := response.Header.Get(emulator.HeaderRun)
	if run == "" {
		return rejectionOutcome(response, got, readErr)
	}
	want, outcome := emulator.ResponseBody(run, request.Out, !request.Plain), checker.Served
	if response.StatusCode != http.StatusOK {
		want, outcome = emulator.ErrorBody(run), checker.EngineError
	}
	switch {
	case !bytes.HasPrefix(want, got):
		return checker.Corrupted, fmt.Sprintf("%d received bytes do not match the body of run %s, which has %d bytes", len(got), run, len(want))
	case readErr != nil:
		return checker.Truncated, readErr.Error()
	case len(got) < len(want):
		return checker.FalseEnd, fmt.Sprintf("%d of %d bytes of run %s", len(got), len(want), run)
	}
	return outcome, ""
}

// rejectionOutcome returns the outcome of a response that does not come from an engine.
func rejectionOutcome(response *http.Response, got []byte, readErr error) (checker.Outcome, string) {
	var answer struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if readErr != nil {
		return checker.Truncated, readErr.Error()
	}
	if err := json.Unmarshal(got, &answer); err != nil {
		return checker.Corrupted, fmt.Sprintf("status %d without a run header or a JSON error body: %.60q", response.StatusCode, got)
	}
	switch response.Header.Get(relay.HeaderRun) {
	case string(relay.NotRun):
		return checker.NotRun, answer.Error.Type
	case string(relay.MayHaveRun):
		return checker.MayHaveRun, answer.Error.Type
	}
	return checker.Corrupted, fmt.Sprintf("status %d does not state whether the request ran", response.StatusCode)
}
