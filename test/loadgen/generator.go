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
	// One caller in cancelOneIn cancels early, after at most maxCancelSpan.
	cancelOneIn   = 50
	maxCancelSpan = 2 * kernel.Second
	// retryBackoff is the delay of a retry after a rejection.
	retryBackoff = time.Second
)

// Generator sends requests at a given mean rate for a span of time. The same seed generates the same requests, but
// their exact times depend on the machine.
type Generator struct {
	Platform    *Platform
	Kinds       []Kind
	Rate        float64 // requests per second, at random intervals
	Span        kernel.Micros
	Seed        uint64
	TagPrefix   string        // prefix of the request tags
	CancelAfter kernel.Micros // time after which a caller cancels, retries included
	// Retries is the maximum number of retries of a request that did not run.
	Retries int
}

// Run sends the requests and passes the event of each attempt to onEvent, which must be safe for concurrent use. It
// starts no more requests when the span is over or the context ends, and returns when all requests have ended.
func (generator Generator) Run(ctx context.Context, onEvent func(checker.Event)) {
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
		kind := pickKind(random, generator.Kinds)
		request := NewRequest(random, kind, fmt.Sprintf("%s-%d", generator.TagPrefix, count))
		// Some callers cancel early.
		cancelAfter := generator.CancelAfter
		if random.IntN(cancelOneIn) == 0 {
			cancelAfter = kernel.Micros(random.Int64N(int64(maxCancelSpan)))
		}
		callerIndex := random.IntN(1 << 30)
		calls.Go(func() { generator.sendWithRetries(ctx, caller, request, callerIndex, cancelAfter, onEvent) })
	}
}

// sendWithRetries sends one request, and retries it while it did not run and retries and time are left.
func (generator Generator) sendWithRetries(ctx context.Context, caller *Caller, request Request, callerIndex int, cancelAfter kernel.Micros, onEvent func(checker.Event)) {
	callCtx, cancel := context.WithTimeout(ctx, cancelAfter.Duration())
	defer cancel()
	tag := request.Tag
	for attempt := 0; ; attempt++ {
		// Each attempt has its own tag, because a response states only whether its own attempt ran.
		request.Tag = fmt.Sprintf("%s/%d", tag, attempt)
		event := caller.Call(callCtx, generator.Platform.NodeFor(callerIndex, attempt), request)
		isNotRun := event.Outcome == checker.NotRun || event.Outcome == checker.Unreached
		isRetried := isNotRun && attempt < generator.Retries && callCtx.Err() == nil
		onEvent(event)
		if !isRetried {
			return
		}
		if event.Outcome == checker.Unreached {
			continue
		}
		select {
		case <-callCtx.Done():
			return
		case <-time.After(retryBackoff):
		}
	}
}
