package router

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

func TestEngineResponseIsForwardedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second, Priority: 3}, "e1")
		var seen *http.Request
		h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
			seen = r
			return plainResponse("hello")(number, r, to)
		})
		recorder, isTruncated := h.call("POST", "r1", http.Header{"X-Other": {"kept"}, "Connection": {"X-Drop"}, "X-Drop": {"gone"}})
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Code, qt.Equals, 200)
		c.Assert(recorder.Body.String(), qt.Equals, "hello")
		c.Assert(recorder.Header().Get(DefaultWire().EngineProof), qt.Equals, "s-r1")
		// The engine got what the caller sent and the headers that the router adds.
		c.Assert(seen.RequestURI, qt.Equals, "/p/x?q=1")
		c.Assert(seen.Host, qt.Equals, "h.example")
		c.Assert(seen.Header.Get("X-Other"), qt.Equals, "kept")
		c.Assert(seen.Header.Get("X-Drop"), qt.Equals, "")
		c.Assert(seen.Header.Get(DefaultWire().WantInstance), qt.Equals, "e1")
		c.Assert(seen.Header.Get(DefaultWire().Priority), qt.Equals, "3")
		c.Assert(seen.Header.Get(DefaultWire().Deadline), qt.Equals, "3000")
		// The second request uses the same connection.
		recorder, _ = h.call("POST", "r2", nil)
		c.Assert(recorder.Code, qt.Equals, 200)
		c.Assert(h.dials["e1:1"], qt.Equals, 1)
	})
}

func TestUnsafeRunsAtMostOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		serve  func(int, *http.Request, net.Conn) bool
		status int
	}{
		{"cut after it was written", func(int, *http.Request, net.Conn) bool { return false }, http.StatusBadGateway},
		{"a success without the proof header", func(_ int, _ *http.Request, to net.Conn) bool {
			writeRaw(to, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
			return true
		}, http.StatusBadGateway},
		{"status 503 without the not-run header", func(_ int, _ *http.Request, to net.Conn) bool {
			writeRaw(to, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			return true
		}, http.StatusBadGateway},
		{"bytes that are not a response", func(_ int, _ *http.Request, to net.Conn) bool {
			writeRaw(to, "garbage\r\n\r\n")
			return false
		}, http.StatusBadGateway},
		{"stated not run", func(_ int, _ *http.Request, to net.Conn) bool {
			writeRaw(to, "HTTP/1.1 503 Full\r\n"+DefaultWire().NotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1", "e2")
				h.script("e1", test.serve)
				h.script("e2", test.serve)
				recorder, isTruncated := h.call("POST", "r1", nil)
				c.Assert(isTruncated, qt.IsFalse)
				c.Assert(recorder.Code, qt.Equals, test.status)
				c.Assert(h.runs["e1"]+h.runs["e2"], qt.Equals, 1)
				// Retry-After is sent only for requests that provably did not run.
				c.Assert(recorder.Header().Get("Retry-After") != "", qt.Equals, test.status == 503)
			})
		})
	}
}

func TestEngineThatCannotBeReachedCostsNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second, IsPinned: true}, "e1", "e2", "e3")
		first, rest := h.preferredOf()
		for _, id := range rest {
			h.script(id, plainResponse("ok"))
		}
		recorder, _ := h.call("POST", "r1", nil)
		c.Assert(recorder.Code, qt.Equals, 200)
		c.Assert(h.runs[first], qt.Equals, 0)
		c.Assert(h.suspects, qt.DeepEquals, []string{first})
	})
}

func TestNotRunIsRetriedAtAnotherEngineWithinAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 2, LatencyTarget: kernel.Second, IsPinned: true}, "e1", "e2")
		first, rest := h.preferredOf()
		h.script(first, func(_ int, _ *http.Request, to net.Conn) bool {
			writeRaw(to, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		h.script(rest[0], plainResponse("ok"))
		for i := range 3 {
			recorder, _ := h.call("POST", fmt.Sprint("r", i), nil)
			c.Assert(recorder.Code, qt.Equals, 200)
		}
		// After its first rejection the engine is ejected.
		c.Assert(h.runs[first], qt.Equals, 1)
	})
}

func TestStreamIsResumedAtAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		route := fleetconfig.Route{Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: 2, LatencyTarget: kernel.Second, InterTokenTarget: kernel.Second, IsPinned: true}
		h := newHarness(t, route, "e1", "e2")
		first, rest := h.preferredOf()
		h.script(first, streamFrom(5, 2))
		h.script(rest[0], streamFrom(5, -1))
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Code, qt.Equals, 200)
		c.Assert(recorder.Body.String(), qt.Equals, event(1)+event(2)+event(3)+event(4)+event(5))
		c.Assert(h.runs, qt.DeepEquals, map[string]int{first: 1, rest[0]: 1})
	})
}

// An engine that restarts a stream instead of resuming it must not change the event ID from which the next engine
// resumes. Otherwise the caller would get the events between the two IDs again.
func TestRestartedStreamDoesNotMoveLastEventID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		route := fleetconfig.Route{Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: 3, LatencyTarget: kernel.Second, InterTokenTarget: kernel.Second, IsPinned: true}
		h := newHarness(t, route, "e1", "e2", "e3")
		turn := 0
		for _, id := range []string{"e1", "e2", "e3"} {
			h.script(id, func(number int, r *http.Request, to net.Conn) bool {
				turn++
				switch turn {
				case 1:
					return streamFrom(5, 3)(number, r, to)
				case 2:
					r.Header.Del("Last-Event-Id")
					return streamFrom(5, -1)(number, r, to)
				}
				return streamFrom(5, -1)(number, r, to)
			})
		}
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(recorder.Body.String(), qt.Equals, event(1)+event(2)+event(3)+event(4)+event(5))
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(turn, qt.Equals, 3)
	})
}

// A response that is not an event stream can't resume a stream.
func TestPlainResponseDoesNotResumeStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		route := fleetconfig.Route{Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: 2, LatencyTarget: kernel.Second, InterTokenTarget: kernel.Second, IsPinned: true}
		h := newHarness(t, route, "e1", "e2")
		first, rest := h.preferredOf()
		h.script(first, streamFrom(5, 2))
		h.script(rest[0], plainResponse("plain"))
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsTrue)
		c.Assert(recorder.Body.String(), qt.Equals, event(1)+event(2))
	})
}

// A request counts only once in the retry budget, even if several of its attempts ended before a byte was written.
func TestUnsentRequestCountsOnceInTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: kernel.Second}, "e1", "e2")
		call, rejection := h.chooser.Admit(kernel.Second, Request{ID: "a", Deadline: 1 << 60, Route: &h.routingTable.Config.Routes[0], Service: "svc"})
		c.Assert(rejection == nil, qt.IsTrue)
		for range 5 {
			c.Assert(h.chooser.Sent(kernel.Second, call.Attempt), qt.IsTrue)
			h.chooser.Unsent(call.Attempt)
		}
		c.Assert(h.chooser.Sent(kernel.Second, call.Attempt), qt.IsTrue)
		counted := 0
		for _, slot := range h.chooser.budget("svc").seconds {
			counted += slot.requests
		}
		c.Assert(counted, qt.Equals, 1)
	})
}

func TestNonResumableStreamIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Stream, MaxAttempts: 2, LatencyTarget: kernel.Second, IsPinned: true}, "e1", "e2")
		h.script("e1", streamFrom(5, 2))
		h.script("e2", streamFrom(5, 2))
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsTrue)
		c.Assert(recorder.Body.String(), qt.Equals, event(1)+event(2))
		c.Assert(h.runs["e1"]+h.runs["e2"], qt.Equals, 1)
	})
}

func TestStartedResponseOfSafeRequestIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 3, LatencyTarget: kernel.Second}, "e1", "e2")
		cut := func(_ int, r *http.Request, to net.Conn) bool {
			writeRaw(to, head(r.Header.Get(DefaultWire().RequestID), "Content-Length: 100\r\n\r\nhalf"))
			return false
		}
		h.script("e1", cut)
		h.script("e2", cut)
		_, isTruncated := h.call("GET", "r1", nil)
		c.Assert(isTruncated, qt.IsTrue)
		c.Assert(h.runs["e1"]+h.runs["e2"], qt.Equals, 1)
	})
}

func TestUnresponsiveEngineIsAbandonedWithinLatencyTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		route := fleetconfig.Route{Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: 2, LatencyTarget: 400 * kernel.Millisecond, IsPinned: true}
		h := newHarness(t, route, "e1", "e2")
		first, rest := h.preferredOf()
		h.script(first, func(_ int, _ *http.Request, to net.Conn) bool {
			discardAll(to) // unresponsive until the router closes the connection
			return false
		})
		h.script(rest[0], streamFrom(2, -1))
		startedAt := time.Now()
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Body.String(), qt.Equals, event(1)+event(2))
		c.Assert(time.Since(startedAt) < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
	})
}

func TestUnresponsiveEngineIsKeptWhenNoRetryIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		route := fleetconfig.Route{Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: 2, LatencyTarget: 200 * kernel.Millisecond, IsPinned: true}
		h := newHarness(t, route, "e1", "e2")
		h.chooser.retry = RetryBudget{Window: 10 * kernel.Second}
		for _, id := range []string{"e1", "e2"} {
			h.script(id, func(number int, r *http.Request, to net.Conn) bool {
				time.Sleep(time.Second)
				return streamFrom(2, -1)(number, r, to)
			})
		}
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Code, qt.Equals, 200)
		c.Assert(recorder.Body.String(), qt.Equals, event(1)+event(2))
		c.Assert(h.runs["e1"]+h.runs["e2"], qt.Equals, 1)
	})
}

func TestTimeoutDoesNotEndNonRepeatableRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Stream, MaxAttempts: 2, LatencyTarget: 100 * kernel.Millisecond}, "e1")
		h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
			time.Sleep(2500 * time.Millisecond)
			return streamFrom(1, -1)(number, r, to)
		})
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Body.String(), qt.Equals, event(1))
	})
}

func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
			if id := r.Header.Get(DefaultWire().RequestID); id == "r2" {
				// A second response to the first request arrives before the response to the second.
				writeRawf(to, "%sContent-Length: 5\r\n\r\nfirst", head("r1", ""))
			}
			return plainResponse("own")(number, r, to)
		})
		for _, id := range []string{"r1", "r2"} {
			recorder, _ := h.call("POST", id, nil)
			c.Assert(recorder.Code, qt.Equals, 200)
			c.Assert(recorder.Body.String(), qt.Equals, "own")
			c.Assert(recorder.Header().Get(DefaultWire().EngineProof), qt.Equals, "s-"+id)
		}
	})
}

func TestRejectionsComeAtOnceWithARetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		h.routingTable = &RoutingTable{Config: h.routingTable.Config, Routers: 1}
		h.chooser.SetRoutingTable(h.routingTable)
		startedAt := time.Now()
		recorder, _ := h.call("POST", "r1", nil)
		c.Assert(recorder.Code, qt.Equals, 503)
		c.Assert(recorder.Header().Get("Retry-After"), qt.Equals, "0.500")
		c.Assert(time.Since(startedAt), qt.Equals, time.Duration(0))
		for _, bad := range []http.Header{{DefaultWire().Tokens: {"x"}}, {DefaultWire().Prefix: {"a"}}, {DefaultWire().Deadline: {"soon"}}} {
			recorder, _ := h.call("POST", "r1", bad)
			c.Assert(recorder.Code, qt.Equals, 400)
		}
	})
}

func TestRetryBudgetHoldsForTheFleet(t *testing.T) {
	retry := RetryBudget{Ratio: 0.2, Window: 10 * kernel.Second, Slack: 58}
	// The budget holds for fleets of different sizes, in every window.
	for _, routers := range []int{1, 9, 72} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			c := qt.New(t)
			requests, retries := spendBudgets(retry, routers)
			for from := range budgetTestSeconds - 10 {
				retriesInWindow, requestsInWindow := 0, 0
				for second := from; second < from+10; second++ {
					retriesInWindow, requestsInWindow = retriesInWindow+retries[second], requestsInWindow+requests[second]
				}
				c.Assert(float64(retriesInWindow) <= retry.Ratio*float64(requestsInWindow)+retry.Slack, qt.IsTrue,
					qt.Commentf("%d routers, from %d: %d of %d", routers, from, retriesInWindow, requestsInWindow))
			}
		})
	}
}

const budgetTestSeconds = 60

// spendBudgets has routers retry as often as their budgets allow from second 25 on. The traffic is halved from second
// 30 on. It returns the fleet's requests and retries in each second.
func spendBudgets(retry RetryBudget, routers int) (requests, retries [budgetTestSeconds]int) {
	budgets := make([]budget, routers)
	for second := range budgetTestSeconds {
		for turn := range 200 {
			now := kernel.Micros(second)*kernel.Second + kernel.Micros(turn)*5*kernel.Millisecond
			budget := &budgets[(turn*7+second)%routers]
			if second < 30 || turn%2 == 0 {
				budget.countRequest(now, retry)
				requests[second]++
			}
			if second >= 25 && budget.spend(now, retry, routers) {
				retries[second]++
			}
		}
	}
	return requests, retries
}

func TestEveryRouterPrefersTheSameEngine(t *testing.T) {
	c := qt.New(t)
	route := &fleetconfig.Route{Kind: fleetconfig.Stream, IsPinned: true, MaxAttempts: 1}
	routingTable := &RoutingTable{Config: fleetconfig.NewRouteConfig([]fleetconfig.Route{*route}, []fleetconfig.Service{{Name: "svc"}}), Routers: 5}
	for i := range 18 {
		routingTable.Engines = append(routingTable.Engines, Engine{ID: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Service: "svc"})
	}
	chosen := map[string]int{}
	for prefix := range 200 {
		first := ""
		for router := range 5 {
			chooser := NewChooser(strconv.Itoa(router), "z", RetryBudget{})
			chooser.SetRoutingTable(routingTable)
			call, rejection := chooser.Admit(kernel.Second, Request{ID: strconv.Itoa(router), PromptTokens: 100, Segments: []Segment{{fmt.Sprint("p", prefix), 90}, {fmt.Sprint("own", router), 10}},
				Deadline: 1 << 60, Route: route, Service: "svc"})
			c.Assert(rejection == nil, qt.IsTrue)
			if first == "" {
				first = call.Attempt.Engine.ID
			}
			c.Assert(call.Attempt.Engine.ID, qt.Equals, first)
		}
		chosen[first]++
	}
	c.Assert(len(chosen) > 14, qt.IsTrue)
}

func TestLoadAboveTheMultipleDiverts(t *testing.T) {
	c := qt.New(t)
	route := &fleetconfig.Route{Kind: fleetconfig.Stream, IsPinned: true, MaxAttempts: 1}
	routingTable := &RoutingTable{Config: fleetconfig.NewRouteConfig([]fleetconfig.Route{*route}, []fleetconfig.Service{{Name: "svc"}}), Routers: 1}
	for i := range 4 {
		routingTable.Engines = append(routingTable.Engines, Engine{ID: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Service: "svc"})
	}
	chooser := NewChooser("r", "z", RetryBudget{})
	chooser.SetRoutingTable(routingTable)
	arrive := func(i int) *Call {
		call, rejection := chooser.Admit(kernel.Second, Request{ID: strconv.Itoa(i), PromptTokens: 100, Segments: []Segment{{"hot", 90}, {strconv.Itoa(i), 10}},
			Deadline: 1 << 60, Route: route, Service: "svc"})
		c.Assert(rejection == nil, qt.IsTrue)
		return call
	}
	counts := map[string]int{}
	for i := range 40 {
		counts[arrive(i).Attempt.Engine.ID]++
	}
	// All traffic has one prefix, yet no engine gets much more than 20 requests, twice the mean.
	for _, count := range counts {
		c.Assert(count <= 22, qt.IsTrue, qt.Commentf("%v", counts))
	}
	c.Assert(len(counts), qt.Equals, 4)
	c.Assert(chooser.Counts().Diverts > 0, qt.IsTrue)
}

// A prefix that a large part of all prompts begins with is hashed one segment further, so that engines reuse what the
// prompts share beyond it. All routers compute the same hash.
func TestHotPrefixIsHashedOneSegmentFurther(t *testing.T) {
	c := qt.New(t)
	const bound = 1.0 / 18
	routers := make([]prefixDepths, 3)
	prompt := func(second, own int) []Segment {
		return []Segment{{"first", 512}, {fmt.Sprint("second", second), 4870}, {fmt.Sprint("own", own), 100}}
	}
	sums := map[uint64]bool{}
	for i := range 3 * minHotSamples {
		for router := range routers {
			now := kernel.Micros(i) * 100 * kernel.Millisecond
			sum := routers[router].hash(now, prompt(i%8, i), 64, 6000, bound)
			c.Assert(sum, qt.Equals, PrefixHash(prompt(i%8, 0), 512+4870), qt.Commentf("router %d, request %d", router, i))
			sums[sum] = true
		}
	}
	c.Assert(sums, qt.HasLen, 8)
}

// A prefix whose traffic one engine can handle is not hashed beyond the configured length, whatever follows it.
func TestColdPrefixIsHashedAtFixedLength(t *testing.T) {
	c := qt.New(t)
	const bound = 1.0 / 18
	d := prefixDepths{}
	for i := range 10 * minHotSamples {
		first := fmt.Sprint("first", i%40)
		segments := []Segment{{first, 341}, {fmt.Sprint("second", i%7), 227}, {fmt.Sprint("own", i), 1800}}
		sum := d.hash(kernel.Micros(i)*10*kernel.Millisecond, segments, 64, 2400, bound)
		c.Assert(sum, qt.Equals, PrefixHash(segments, 64), qt.Commentf("request %d", i))
	}
}

// Where the mean load is low, twice the mean is still a low load. The preferred engine is kept as long as its first
// event is predicted well within the latency target.
func TestADivertIsSparedWhileThePreferredEngineMeetsItsTarget(t *testing.T) {
	for _, test := range []struct {
		latencyTarget kernel.Micros
		isSpared      bool
	}{{800 * kernel.Millisecond, true}, {20 * kernel.Millisecond, false}, {0, false}} {
		t.Run(strconv.FormatInt(int64(test.latencyTarget), 10), func(t *testing.T) {
			c := qt.New(t)
			route := &fleetconfig.Route{Kind: fleetconfig.Stream, IsPinned: true, MaxAttempts: 1, LatencyTarget: test.latencyTarget}
			routingTable := &RoutingTable{Config: fleetconfig.NewRouteConfig([]fleetconfig.Route{*route}, []fleetconfig.Service{{Name: "svc"}}), Routers: 1}
			for i := range 4 {
				routingTable.Engines = append(routingTable.Engines, Engine{ID: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Service: "svc"})
			}
			chooser := NewChooser("r", "z", RetryBudget{})
			chooser.SetRoutingTable(routingTable)
			arrive := func(now kernel.Micros, id string) *Call {
				call, rejection := chooser.Admit(now, Request{ID: id, PromptTokens: 100, Segments: []Segment{{"shared", 90}, {id, 10}},
					Deadline: 1 << 60, Route: route, Service: "svc"})
				c.Assert(rejection == nil, qt.IsTrue)
				return call
			}
			// The first event took 10 ms for 100 tokens, which gives the prefill time. The first engine now has four times the
			// mean load.
			first := arrive(kernel.Second, "first")
			chooser.Answered(kernel.Second+10*kernel.Millisecond, first.Attempt, Load{}, false)
			second := arrive(kernel.Second+20*kernel.Millisecond, "second")
			counts := chooser.Counts()
			c.Assert(second.Attempt.Engine.ID == first.Attempt.Engine.ID, qt.Equals, test.isSpared, qt.Commentf("latency target %d us", test.latencyTarget))
			c.Assert([]uint64{counts.Spared, counts.Diverts}, qt.DeepEquals, map[bool][]uint64{true: {1, 0}, false: {0, 1}}[test.isSpared])
		})
	}
}

// A router that may not know of an engine's end sends nothing to any engine. With trustedChecks 0, the request is
// rejected when it arrives; with 1, it is rejected later, before its bytes are written. Neither is retried.
func TestUnconfirmedEnginesReceiveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, trustedChecks := range []int{0, 1} {
			c := qt.New(t)
			h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: kernel.Second}, "e1", "e2")
			h.script("e1", plainResponse("ok"))
			h.script("e2", plainResponse("ok"))
			checks := 0
			h.router.MayTrustEngines = func() bool { checks++; return checks <= trustedChecks }
			recorder, _ := h.call("GET", "r1", nil)
			c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
			c.Check(recorder.Header().Get("Retry-After") != "", qt.IsTrue)
			c.Check(h.runs["e1"]+h.runs["e2"], qt.Equals, 0)
			c.Check(strings.Contains(recorder.Body.String(), reasonUnconfirmedEngines), qt.IsTrue, qt.Commentf("%s", recorder.Body))
			// No engine counts as failed.
			for _, state := range h.chooser.engines {
				c.Check(state.failures, qt.Equals, 0)
			}
			h.router.MayTrustEngines = func() bool { return true }
			recorder, _ = h.call("GET", "r2", nil)
			c.Check(recorder.Code, qt.Equals, http.StatusOK)
		}
	})
}
