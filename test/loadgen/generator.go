package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

const (
	// One caller in so many cancels, within so long.
	cancelOneIn   = 50
	maxCancelSpan = 2 * kernel.Second
	// retryBackoff is how long a caller waits after a rejection.
	retryBackoff = time.Second
)

// Generator makes calls at a rate for a span of time. The same seed gives the same requests, at times that
// vary with the machine.
type Generator struct {
	Platform    *Platform
	Kinds       []Kind
	Rate        float64 // requests per second, at random intervals
	Span        kernel.Micros
	Seed        uint64
	Prefix      string        // of the tags
	PatientSpan kernel.Micros // after which a caller cancels
	// Retries is how often a caller sends a request again that did not run.
	Retries int
}

// Run makes the calls and passes each event to take as it comes, from several goroutines at once. It
// returns when the span is over or the context has ended, and all calls with it.
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
		request := NewRequest(random, kind, fmt.Sprintf("%s-%d", generator.Prefix, count))
		// Some callers cancel early.
		patience := generator.PatientSpan
		if random.IntN(cancelOneIn) == 0 {
			patience = kernel.Micros(random.Int64N(int64(maxCancelSpan)))
		}
		callerIndex := random.IntN(1 << 30)
		calls.Go(func() { generator.serve(ctx, caller, request, callerIndex, patience, take) })
	}
}

// serve sends one request until it is answered, with retries.
func (generator Generator) serve(ctx context.Context, caller *Caller, request Request, callerIndex int, patience kernel.Micros, take func(checker.Event)) {
	limit, cancel := context.WithTimeout(ctx, patience.Duration())
	defer cancel()
	tag := request.Tag
	for attempt := 0; ; attempt++ {
		// Each attempt is a request of its own: what was promised of one says nothing of the next.
		request.Tag = fmt.Sprintf("%s/%d", tag, attempt)
		event := caller.Call(limit, generator.Platform.NodeFor(callerIndex, attempt), request)
		isNotRun := event.Outcome == checker.NotRun || event.Outcome == checker.Unreached
		isRetried := isNotRun && attempt < generator.Retries && limit.Err() == nil
		take(event)
		if !isRetried {
			return
		}
		if event.Outcome == checker.Unreached {
			continue
		}
		select {
		case <-limit.Done():
			return
		case <-time.After(retryBackoff):
		}
	}
}
