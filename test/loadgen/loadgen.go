// Package loadgen plays the callers: kinds of request with shared prefixes, each
// answer checked byte for byte against what the engine must have sent.
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// Kind is one kind of request.
type Kind struct {
	Name       string  `json:"name"`
	Share      float64 `json:"share"`    // of all requests
	Prefixes   int     `json:"prefixes"` // shared leading prefixes
	Hot        float64 `json:"hot"`      // share that the first prefix draws beyond its own
	PrefixLen  int     `json:"prefix_len"`
	PromptLow  int     `json:"prompt_low"` // tokens after the prefix
	PromptHigh int     `json:"prompt_high"`
	OutLow     int     `json:"out_low"`
	OutHigh    int     `json:"out_high"`
	IsPlain    bool    `json:"plain,omitempty"` // not streamed
}

// Kinds of the two deployments.
var (
	Qurum = []Kind{
		{Name: "writeup", Share: 0.35, Prefixes: 8, PrefixLen: 96, PromptLow: 300, PromptHigh: 900, OutLow: 20, OutHigh: 60},
		{Name: "quote", Share: 0.45, Prefixes: 12, PrefixLen: 80, PromptLow: 10, PromptHigh: 60, OutLow: 5, OutHigh: 20},
		{Name: "teardown", Share: 0.2, Prefixes: 6, PrefixLen: 128, PromptLow: 40, PromptHigh: 200, OutLow: 150, OutHigh: 400},
	}
	Cronometro = []Kind{
		{Name: "review", Share: 0.3, Prefixes: 8, PrefixLen: 96, PromptLow: 300, PromptHigh: 800, OutLow: 30, OutHigh: 80},
		{Name: "rules", Share: 0.5, Prefixes: 10, PrefixLen: 80, PromptLow: 8, PromptHigh: 50, OutLow: 5, OutHigh: 20},
		{Name: "commentary", Share: 0.2, Prefixes: 6, PrefixLen: 128, PromptLow: 20, PromptHigh: 120, OutLow: 150, OutHigh: 400},
	}
)

// Caller sends requests to nodes and checks what comes back.
type Caller struct {
	client *http.Client
}

// NewCaller makes a caller.
func NewCaller() *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{&http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Request is one request to make.
type Request struct {
	Tag    string
	Kind   string
	Prompt []uint32
	Out    int
	Plain  bool
}

// NewRequest draws a request of a kind.
func NewRequest(random *rand.Rand, kind Kind, tag string) Request {
	ask := Request{Tag: tag, Kind: kind.Name, Plain: kind.IsPlain}
	prefix := random.IntN(max(kind.Prefixes, 1))
	if random.Float64() < kind.Hot {
		prefix = 0
	}
	// The shared part depends on kind and prefix alone.
	shared := rand.New(rand.NewPCG(uint64(prefix), uint64(len(kind.Name))<<32|uint64(kind.Name[0])))
	for range kind.PrefixLen {
		ask.Prompt = append(ask.Prompt, shared.Uint32N(50000))
	}
	for range kind.PromptLow + random.IntN(kind.PromptHigh-kind.PromptLow+1) {
		ask.Prompt = append(ask.Prompt, random.Uint32N(50000))
	}
	ask.Out = kind.OutLow + random.IntN(kind.OutHigh-kind.OutLow+1)
	return ask
}

func now() kernel.Micros { return kernel.Micros(time.Now().UnixMicro()) }

// Call makes one request and tells how it ended.
func (c *Caller) Call(ctx context.Context, node string, ask Request) checker.Event {
	event := checker.Event{EventKind: checker.CallEnded, Tag: ask.Tag, Node: node, Kind: ask.Kind, StartedAt: now()}
	event.Outcome, event.Reason = c.call(ctx, node, ask, &event)
	event.At = now()
	if ctx.Err() != nil && event.Outcome != checker.Corrupted && event.Outcome != checker.FalseEnd {
		event.Outcome, event.Reason = checker.Abandoned, "the caller left"
	}
	return event
}

type body struct {
	Model     string   `json:"model"`
	Prompt    []uint32 `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Stream    bool     `json:"stream"`
}

func (c *Caller) call(ctx context.Context, node string, ask Request, event *checker.Event) (checker.Outcome, string) {
	content, err := json.Marshal(body{"emulator", ask.Prompt, ask.Out, !ask.Plain})
	if err != nil {
		return checker.Unreached, err.Error()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/completions", io.NopCloser(bytes.NewReader(content)))
	if err != nil {
		return checker.Unreached, err.Error()
	}
	request.ContentLength = int64(len(content))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(relay.HeaderKind, ask.Kind)
	request.Header.Set(emulator.HeaderTag, ask.Tag)
	response, err := c.client.Do(request)
	if err != nil {
		var dialing *net.OpError
		if errors.As(err, &dialing) && dialing.Op == "dial" {
			return checker.Unreached, err.Error()
		}
		return checker.NoResponse, err.Error()
	}
	defer response.Body.Close()
	event.ID = response.Header.Get(relay.HeaderRequest)
	event.Engine = response.Header.Get(relay.HeaderEngine)
	if text := response.Header.Get(relay.HeaderRevision); text != "" {
		if event.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			return checker.Corrupted, "revision " + text
		}
	}
	got, readErr := io.ReadAll(response.Body)
	return Compare(response, got, readErr, ask)
}

// Compare sorts out what a caller got.
func Compare(response *http.Response, got []byte, readErr error, ask Request) (checker.Outcome, string) {
	run := response.Header.Get(emulator.HeaderRun)
	if run == "" {
		return rejected(response, got, readErr)
	}
	want, done := emulator.Script(run, ask.Out, !ask.Plain), checker.Served
	if response.StatusCode != http.StatusOK {
		want, done = emulator.FailScript(run), checker.EngineError
	}
	switch {
	case !bytes.HasPrefix(want, got):
		return checker.Corrupted, fmt.Sprintf("%d bytes of run %s differ from its %d", len(got), run, len(want))
	case readErr != nil:
		return checker.Truncated, readErr.Error()
	case len(got) < len(want):
		return checker.FalseEnd, fmt.Sprintf("%d of %d bytes of run %s", len(got), len(want), run)
	}
	return done, ""
}

func rejected(response *http.Response, got []byte, readErr error) (checker.Outcome, string) {
	var said struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if readErr != nil {
		return checker.Truncated, readErr.Error()
	}
	if err := json.Unmarshal(got, &said); err != nil {
		return checker.Corrupted, fmt.Sprintf("status %d with a body of no engine: %.60q", response.StatusCode, got)
	}
	switch response.Header.Get(relay.HeaderRun) {
	case string(relay.NotRun):
		return checker.NotRun, said.Error.Type
	case string(relay.MayHaveRun):
		return checker.MayHaveRun, said.Error.Type
	}
	return checker.Corrupted, fmt.Sprintf("status %d does not say whether it ran", response.StatusCode)
}

// Node is one that the platform may hand callers to.
type Node struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Generator makes a span of calls at a rate.
type Generator struct {
	Platform    *Platform
	Kinds       []Kind
	Rate        float64 // requests a second
	Span        kernel.Micros
	Seed        uint64
	Prefix      string // of the tags
	PatientSpan kernel.Micros
	// Retries tells whether callers come again after a rejection that says when.
	Retries int
}

// Run makes the calls and hands over each event as it comes.
func (generator Generator) Run(ctx context.Context, take func(checker.Event)) {
	random := rand.New(rand.NewPCG(generator.Seed, 1))
	caller := NewCaller()
	var calls sync.WaitGroup
	defer calls.Wait()
	end := time.NewTimer(generator.Span.Duration())
	defer end.Stop()
	for count := 0; ; count++ {
		pause := time.Duration(random.ExpFloat64() / generator.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-time.After(pause):
		}
		kind := pick(random, generator.Kinds)
		ask := NewRequest(random, kind, fmt.Sprintf("%s-%d", generator.Prefix, count))
		// Some callers leave in the middle.
		patience := generator.PatientSpan
		if random.IntN(50) == 0 {
			patience = kernel.Micros(random.Int64N(int64(2 * kernel.Second)))
		}
		nextIndex := random.IntN(1 << 30)
		calls.Go(func() { generator.serve(ctx, caller, ask, nextIndex, patience, take) })
	}
}

func (generator Generator) serve(ctx context.Context, caller *Caller, ask Request, nextIndex int, patience kernel.Micros, take func(checker.Event)) {
	limit, cancel := context.WithTimeout(ctx, patience.Duration())
	defer cancel()
	tag := ask.Tag
	for attempt := 0; ; attempt++ {
		// Each try is a request of its own: what was promised of one says nothing of the next.
		ask.Tag = fmt.Sprintf("%s/%d", tag, attempt)
		event := caller.Call(limit, generator.Platform.NodeFor(nextIndex, attempt), ask)
		isAgain := (event.Outcome == checker.NotRun || event.Outcome == checker.Unreached) && attempt < generator.Retries && limit.Err() == nil
		take(event)
		if !isAgain {
			return
		}
		if event.Outcome == checker.Unreached {
			continue
		}
		select {
		case <-limit.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

func pick(random *rand.Rand, kinds []Kind) Kind {
	draw := random.Float64()
	for _, kind := range kinds {
		if draw < kind.Share {
			return kind
		}
		draw -= kind.Share
	}
	return kinds[len(kinds)-1]
}

// KindsOf gives a deployment's kinds by its name.
func KindsOf(name string) ([]Kind, bool) {
	switch strings.ToLower(name) {
	case "qurum":
		return Qurum, true
	case "cronometro":
		return Cronometro, true
	}
	return nil, false
}
