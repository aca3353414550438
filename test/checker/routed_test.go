package checker

import (
	"fmt"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

const msec = kernel.Millisecond

func routedBounds() RoutedBounds {
	return RoutedBounds{
		DrainTimeout: 2 * kernel.Second, GracePeriod: 8 * kernel.Second, Slack: 200 * msec, ContactTimeout: 4 * kernel.Second,
		RetryRatio: 0.2, RetrySlack: 1, RetryWindow: 10 * kernel.Second, MaxRejected: 5, RejectedOneIn: 500,
	}
}

// cleanAttempt returns the events of a stream of three chunks that violates no rule.
func cleanAttempt(id string, at kernel.Micros) []RoutedEvent {
	run := "e1." + id
	return []RoutedEvent{
		{At: at, EventKind: AttemptSentByCaller, ID: id, Digest: "d", Router: "r1", IsStream: true, Services: []string{"text"}, Deadline: at + 9*kernel.Second},
		{At: at + msec, EventKind: Arrived, ID: id, Engine: "e1", Service: "text"},
		{At: at + 2*msec, EventKind: Started, ID: id, Engine: "e1", Service: "text", Run: run, Digest: "d"},
		{At: at + 9*msec, EventKind: Finished, ID: id, Engine: "e1", Run: run, Status: 200},
		{At: at + 10*msec, EventKind: AttemptEnded, ID: id, Status: 200, Run: run, GotID: id, Ending: Complete, IsOwn: true,
			Chunks: []Chunk{{run, 1, false}, {run, 2, false}, {run, 3, true}}},
	}
}

func TestEveryPlantedRoutedViolationIsFound(t *testing.T) {
	second := func(at kernel.Micros) RoutedEvent {
		return RoutedEvent{At: at, EventKind: Started, ID: "a", Engine: "e2", Service: "text", Run: "e2.a", Digest: "d", From: 2}
	}
	rejected := func(events []RoutedEvent) []RoutedEvent {
		end := &events[4]
		end.Status, end.Run, end.Chunks = 503, "", nil
		return events
	}
	continued := func(events []RoutedEvent) []RoutedEvent {
		events[4].Chunks[2].Run = "e2.a"
		return append(events, second(1005*msec))
	}
	unanswered := func(events []RoutedEvent) []RoutedEvent {
		events[4] = RoutedEvent{At: 1010 * msec, EventKind: AttemptEnded, ID: "a", Ending: NoAnswer}
		return append(events[:3], events[4], RoutedEvent{At: 1003 * msec, EventKind: RouterStopping, Router: "r1"})
	}
	for _, test := range []struct {
		name   string
		change func([]RoutedEvent) []RoutedEvent
		rule   Rule // empty: the history is permitted
	}{
		{"clean", func(e []RoutedEvent) []RoutedEvent { return e }, ""},
		{"a success that names no run", func(e []RoutedEvent) []RoutedEvent { e[4].Run = ""; return e }, AnswerMixed},
		{"a response of an unknown run", func(e []RoutedEvent) []RoutedEvent { e[4].Run = "e9.a"; return e }, AnswerMixed},
		{"a response to another request", func(e []RoutedEvent) []RoutedEvent { e[4].GotID = "b"; return e }, AnswerMixed},
		{"bytes that the run did not send", func(e []RoutedEvent) []RoutedEvent { e[4].IsOwn = false; return e }, AnswerMixed},
		{"a malformed response", func(e []RoutedEvent) []RoutedEvent { e[4].Ending = Malformed; return e }, AnswerMixed},
		{"a failure with another status than the engine's", func(e []RoutedEvent) []RoutedEvent {
			e[3].Status, e[4].Status, e[4].Chunks = 500, 502, nil
			return e
		}, AnswerMixed},
		{"a failure that names a successful run", func(e []RoutedEvent) []RoutedEvent {
			e[4].Status, e[4].Chunks = 502, nil
			return e
		}, AnswerMixed},
		{"a failure that names an unfinished run", func(e []RoutedEvent) []RoutedEvent {
			e[4].Status, e[4].Chunks = 504, nil
			return append(e[:3], e[4])
		}, AnswerMixed},
		{"a failure passed on from the engine", func(e []RoutedEvent) []RoutedEvent {
			e[3].Status, e[4].Status, e[4].Chunks = 500, 500, nil
			return e
		}, ""},
		{"a failure of the router itself", func(e []RoutedEvent) []RoutedEvent {
			e[4].Status, e[4].Run, e[4].Chunks = 502, "", nil
			return e
		}, ""},
		{"a success in place of a failure", func(e []RoutedEvent) []RoutedEvent { e[3].Status = 500; return e }, AnswerMixed},
		{"a malformed response that the engine broke off", func(e []RoutedEvent) []RoutedEvent {
			e[4].Ending = Malformed
			return append(e, RoutedEvent{At: 1009 * msec, EventKind: Aborted, ID: "a"})
		}, ""},
		{"unknown id", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{EventKind: Started, ID: "zz", Engine: "e1"})
		}, UnsolicitedRun},
		{"changed body", func(e []RoutedEvent) []RoutedEvent { e[2].Digest = "x"; return e }, UnsolicitedRun},
		{"another service", func(e []RoutedEvent) []RoutedEvent { e[2].Service = "plain"; return e }, Misrouted},
		{"two runs", func(e []RoutedEvent) []RoutedEvent { return append(e, second(1020*msec)) }, RunTwice},
		{"two runs, idempotent", func(e []RoutedEvent) []RoutedEvent { e[0].IsIdempotent = true; return append(e, second(1020*msec)) }, ""},
		{"rejected and run", rejected, RunAfterRejection},
		{"rejected and run, idempotent", func(e []RoutedEvent) []RoutedEvent { e[0].IsIdempotent = true; return rejected(e) }, ""},
		{"a missing chunk", func(e []RoutedEvent) []RoutedEvent { e[4].Chunks[1].ID = 3; return e }, StreamDisordered},
		{"a duplicate chunk", func(e []RoutedEvent) []RoutedEvent { e[4].Chunks[1].ID = 1; return e }, StreamDisordered},
		{"a complete ending without the last chunk", func(e []RoutedEvent) []RoutedEvent { e[4].Chunks = e[4].Chunks[:2]; return e }, StreamDisordered},
		{"an incomplete ending without the last chunk", func(e []RoutedEvent) []RoutedEvent {
			e[4].Chunks, e[4].Ending = e[4].Chunks[:2], Incomplete
			return e
		}, ""},
		{"two runs joined, not resumable", func(e []RoutedEvent) []RoutedEvent { e[0].IsIdempotent = true; return continued(e) }, StreamDisordered},
		{"resumed", func(e []RoutedEvent) []RoutedEvent {
			e[0].IsIdempotent, e[0].IsResumable = true, true
			return continued(e)
		}, ""},
		{"resumed from another chunk", func(e []RoutedEvent) []RoutedEvent {
			e[0].IsIdempotent, e[0].IsResumable = true, true
			e = continued(e)
			e[5].From = 1
			return e
		}, StreamDisordered},
		{"an engine that restarts the stream", func(e []RoutedEvent) []RoutedEvent { e[0].From, e[2].HasRestarted = 2, true; return e }, ""},
		{"a stream that restarts although its engine continued", func(e []RoutedEvent) []RoutedEvent { e[0].From, e[2].From = 2, 2; return e }, StreamDisordered},
		{"the header of an engine that restarts, the chunks of another", func(e []RoutedEvent) []RoutedEvent {
			e[0].From, e[0].IsIdempotent, e[0].IsResumable, e[2].HasRestarted = 2, true, true, true
			e[4].Chunks = []Chunk{{"e2.a", 3, true}}
			return append(e, second(1005*msec))
		}, ""},
		{"arrived at a draining engine after the timeout", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 1001*msec - 2*kernel.Second - 1, EventKind: DrainAcknowledged, Engine: "e1"})
		}, DrainingEngineUsed},
		{"arrived at a draining engine within the timeout", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 1001*msec - 2*kernel.Second, EventKind: DrainAcknowledged, Engine: "e1"})
		}, ""},
		{"dropped by a planned stop", unanswered, ShutdownDroppedRequest},
		{"dropped, but an engine crashed", func(e []RoutedEvent) []RoutedEvent {
			return append(unanswered(e), RoutedEvent{At: 500 * msec, EventKind: FaultStarted, Why: "crash"})
		}, ""},
		{"cut off before the last sixth of the grace period", func(e []RoutedEvent) []RoutedEvent {
			e[4] = RoutedEvent{At: 7500 * msec, EventKind: AttemptEnded, ID: "a", Ending: Incomplete, Run: "e1.a", GotID: "a", Status: 200, IsOwn: true}
			return append(append(e[:3], e[4]), RoutedEvent{At: 1003 * msec, EventKind: RouterStopping, Router: "r1"})
		}, ShutdownDroppedRequest},
		{"cut off in the last sixth of the grace period", func(e []RoutedEvent) []RoutedEvent {
			e[4] = RoutedEvent{At: 8000 * msec, EventKind: AttemptEnded, ID: "a", Ending: Incomplete, Run: "e1.a", GotID: "a", Status: 200, IsOwn: true}
			return append(append(e[:3], e[4]), RoutedEvent{At: 1003 * msec, EventKind: RouterStopping, Router: "r1"})
		}, ""},
		{"arrived at a draining engine through a disconnected router", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 1001*msec - 5*kernel.Second, EventKind: DrainAcknowledged, Engine: "e1"},
				RoutedEvent{At: 1001*msec - 8*kernel.Second, EventKind: ContactLost, Router: "r1"}, RoutedEvent{At: 1001*msec - 3*kernel.Second, EventKind: ContactRestored, Router: "r1"})
		}, ""},
		{"arrived at a draining engine through a router reconnected long ago", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 1001*msec - 5*kernel.Second, EventKind: DrainAcknowledged, Engine: "e1"},
				RoutedEvent{At: 1001*msec - 8*kernel.Second, EventKind: ContactLost}, RoutedEvent{At: 1001*msec - 4*kernel.Second - 1, EventKind: ContactRestored})
		}, DrainingEngineUsed},
		{"arrived at a draining engine just after a cut", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 1001*msec - 5*kernel.Second, EventKind: DrainAcknowledged, Engine: "e1"},
				RoutedEvent{At: 1001*msec - 6*kernel.Second, EventKind: EngineCutOff, Engine: "e1"}, RoutedEvent{At: 1001*msec - kernel.Second, EventKind: EngineReachable, Engine: "e1"})
		}, ""},
		{"arrived at a draining engine long after a cut", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 1001*msec - 5*kernel.Second, EventKind: DrainAcknowledged, Engine: "e1"},
				RoutedEvent{At: 1001*msec - 6*kernel.Second, EventKind: EngineCutOff, Engine: "e1"}, RoutedEvent{At: 1001*msec - 4*kernel.Second - 1, EventKind: EngineReachable, Engine: "e1"})
		}, DrainingEngineUsed},
		{"arrived after a cut, though it was answered", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 900 * msec, EventKind: EngineCutOff, Engine: "e2"}, RoutedEvent{At: 2900 * msec, EventKind: EngineReachable, Engine: "e2"},
				RoutedEvent{At: 2901 * msec, EventKind: Arrived, ID: "a", Engine: "e2", Service: "text"})
		}, AnsweredRequestDelivered},
		{"arrived without a cut after its answer", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 2901 * msec, EventKind: Arrived, ID: "a", Engine: "e2", Service: "text"})
		}, ""},
		{"a violation that a process counted", func(e []RoutedEvent) []RoutedEvent {
			return append(e, RoutedEvent{At: 1100 * msec, EventKind: InvariantBroken, Why: "it is"})
		}, InvariantFailed},
		{"an attempt that never ended", func(e []RoutedEvent) []RoutedEvent { return e[:4] }, ShutdownDroppedRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			report := CheckRouted(test.change(cleanAttempt("a", 1000*msec)), routedBounds())
			if test.rule == "" {
				c.Assert(report.Violations, qt.HasLen, 0)
				return
			}
			c.Assert(len(report.Violations) > 0, qt.IsTrue)
			for _, violation := range report.Violations {
				c.Check(violation.Rule, qt.Equals, test.rule)
			}
		})
	}
}

// The retry budget applies to every window of 10 s: 10 requests allow 3 more arrivals in each.
func TestRoutedRetryBudgetAppliesToEveryWindow(t *testing.T) {
	play := func(extras []kernel.Micros) RoutedReport {
		events := []RoutedEvent{}
		for i := range 10 {
			events = append(events, cleanAttempt(string(rune('a'+i)), 5*kernel.Second+kernel.Micros(i)*msec)...)
		}
		for i, at := range extras {
			events = append(events, RoutedEvent{At: at, EventKind: Arrived, ID: string(rune('a' + i)), Engine: "e2", Service: "text"})
		}
		return CheckRouted(events, routedBounds())
	}
	c := qt.New(t)
	from := 6 * kernel.Second
	c.Assert(play([]kernel.Micros{from, from + 1, from + 2}).Violations, qt.HasLen, 0)
	many := play([]kernel.Micros{from, from + 1, from + 2, from + 3}).Violations
	c.Assert(many, qt.HasLen, 1)
	c.Assert(many[0].Rule, qt.Equals, RetryBudgetExceeded)
	// The fourth arrival lies outside the window that begins at the first.
	c.Assert(play([]kernel.Micros{from, from + 4*kernel.Second, from + 5*kernel.Second, from + 10*kernel.Second + 1}).Violations, qt.HasLen, 0)
}

// Up to three requests may run on more engines than their route allows. Engines that crashed during the attempt
// do not count.
func TestEnginesAreCheckedAgainstMaxAttempts(t *testing.T) {
	const at = 1000 * msec
	run := func(id, engine string, after kernel.Micros) RoutedEvent {
		return RoutedEvent{At: at + after, EventKind: Started, ID: id, Engine: engine, Service: "text", Run: engine + "." + id, Digest: "d"}
	}
	crash := func(engine string, after kernel.Micros) RoutedEvent {
		return RoutedEvent{At: at + after, EventKind: EngineCrashed, Engine: engine}
	}
	for _, test := range []struct {
		name     string
		requests int
		attempts int
		more     func(id string) []RoutedEvent // in addition to the run on e1
		isFound  bool
	}{
		{"one engine more, four times", 4, 1, func(id string) []RoutedEvent { return []RoutedEvent{run(id, "e2", 4*msec)} }, true},
		{"one engine more, three times", 3, 1, func(id string) []RoutedEvent { return []RoutedEvent{run(id, "e2", 4*msec)} }, false},
		{"as many engines as allowed", 9, 2, func(id string) []RoutedEvent { return []RoutedEvent{run(id, "e2", 4*msec)} }, false},
		{"twice on the same engine", 9, 1, func(id string) []RoutedEvent { return []RoutedEvent{run(id, "e1", 4*msec)} }, false},
		{"the first crashed during its run", 9, 1, func(id string) []RoutedEvent {
			return []RoutedEvent{crash("e1", 3*msec), run(id, "e2", 4*msec)}
		}, false},
		{"the first crashed before its run", 9, 1, func(id string) []RoutedEvent {
			return []RoutedEvent{crash("e1", 0), run(id, "e2", 4*msec)}
		}, true},
		{"the first crashed after the end", 9, 1, func(id string) []RoutedEvent {
			return []RoutedEvent{crash("e1", kernel.Second), run(id, "e2", 4*msec)}
		}, true},
		{"an unrelated engine crashed", 9, 1, func(id string) []RoutedEvent {
			return []RoutedEvent{crash("e3", 3*msec), run(id, "e2", 4*msec)}
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			events := []RoutedEvent{}
			for i := range test.requests {
				id := string(rune('a' + i))
				attempt := cleanAttempt(id, at)
				attempt[0].IsIdempotent, attempt[0].MaxAttempts = true, test.attempts
				events = append(append(events, attempt...), test.more(id)...)
			}
			report := CheckRouted(events, routedBounds())
			c.Assert(len(report.Violations) > 0, qt.Equals, test.isFound)
			for _, violation := range report.Violations {
				c.Check(violation.Rule, qt.Equals, AttemptsExceeded)
			}
		})
	}
}

func TestRejectionsOfValidRequestsAreLimited(t *testing.T) {
	for _, test := range []struct {
		rejected int
		isFound  bool
	}{{5, false}, {6, true}} {
		t.Run(strconv.Itoa(test.rejected), func(t *testing.T) {
			events := []RoutedEvent{}
			for i := range 100 {
				attempt := cleanAttempt(string(rune('A'+i)), kernel.Micros(i)*msec)
				if i < test.rejected {
					attempt = []RoutedEvent{attempt[0], {At: attempt[4].At, EventKind: AttemptEnded, ID: attempt[0].ID, Status: 404, Ending: Complete, IsOwn: true}}
				}
				events = append(events, attempt...)
			}
			report := CheckRouted(events, routedBounds())
			qt.Assert(t, len(report.Violations) > 0, qt.Equals, test.isFound)
		})
	}
}

// droppedOnKeepAlive returns requests on keep-alive connections that reached a faultless engine and got no response.
func droppedOnKeepAlive(count int) []RoutedEvent {
	events := []RoutedEvent{}
	for i := range count {
		id, at := fmt.Sprint("k", i), kernel.Micros(i+1)*kernel.Second
		attempt := cleanAttempt(id, at)
		attempt[0].IsKeepAlive = true
		events = append(append(events, attempt[:3]...), RoutedEvent{At: at + 10*msec, EventKind: AttemptEnded, ID: id, Ending: NoAnswer})
	}
	return events
}

func TestRequestsDroppedOnKeepAliveConnectionsAreCounted(t *testing.T) {
	c := qt.New(t)
	few, many := droppedOnKeepAlive(toleratedKeepAliveDrops), droppedOnKeepAlive(toleratedKeepAliveDrops+1)
	c.Assert(CheckRouted(few, routedBounds()).Violations, qt.HasLen, 0)
	c.Assert(rulesOf(CheckRouted(many, routedBounds()).Violations), qt.DeepEquals, []Rule{KeepAliveDropped})
	crashed := append(droppedOnKeepAlive(toleratedKeepAliveDrops+1), RoutedEvent{At: 1, EventKind: EngineCrashed, Engine: "e1"})
	c.Assert(CheckRouted(crashed, routedBounds()).Violations, qt.HasLen, 0)
}

func TestAbandonedRequestsAreCounted(t *testing.T) {
	c := qt.New(t)
	abandoned := func(count int, after kernel.Micros) []RoutedEvent {
		events := []RoutedEvent{}
		for i := range count {
			id, at := fmt.Sprint("g", i), kernel.Micros(i+1)*kernel.Second
			events = append(events, cleanAttempt(id, at)[0], RoutedEvent{At: at + msec, EventKind: AttemptEnded, ID: id, Ending: Canceled},
				RoutedEvent{At: at + msec + after, EventKind: Arrived, ID: id, Engine: "e1", Service: "text"})
		}
		return events
	}
	c.Assert(CheckRouted(abandoned(toleratedAbandoned, cancelTimeout+1), routedBounds()).Violations, qt.HasLen, 0)
	c.Assert(CheckRouted(abandoned(toleratedAbandoned+1, cancelTimeout), routedBounds()).Violations, qt.HasLen, 0)
	c.Assert(rulesOf(CheckRouted(abandoned(toleratedAbandoned+1, cancelTimeout+1), routedBounds()).Violations), qt.DeepEquals, []Rule{AbandonedRequestsDelivered})
}

func TestSplitSharesAreCheckedInFaultFreePeriods(t *testing.T) {
	c := qt.New(t)
	bounds := routedBounds()
	bounds.Splits = map[string]map[string]float64{"r": {"text": 3, "plain": 1}}
	// played sends firsts of every four requests to the first service and returns the rules violated.
	played := func(requests, firsts int, more ...RoutedEvent) []Rule {
		events := more
		for i := range requests {
			id, at := fmt.Sprint("s", i), kernel.Second+kernel.Micros(i)*100*msec
			attempt := cleanAttempt(id, at)
			attempt[0].Kind, attempt[0].Services = "r", []string{"text", "plain"}
			if i%4 >= firsts {
				attempt[1].Service, attempt[2].Service = "plain", "plain"
			}
			events = append(events, attempt...)
		}
		return rulesOf(CheckRouted(events, bounds).Violations)
	}
	c.Check(played(splitRequests, 3), qt.HasLen, 0)
	c.Check(played(splitRequests, 2), qt.DeepEquals, []Rule{SplitDeviated})
	c.Check(played(splitRequests-1, 2), qt.HasLen, 0)
	c.Check(played(splitRequests, 4), qt.DeepEquals, []Rule{SplitDeviated})
	fault := []RoutedEvent{{At: 10 * kernel.Second, EventKind: FaultStarted, Why: "x"}, {At: 11 * kernel.Second, EventKind: FaultEnded, Why: "x"}}
	c.Check(played(splitRequests, 2, fault...), qt.HasLen, 0)
	c.Check(played(2*splitRequests, 2, fault...), qt.DeepEquals, []Rule{SplitDeviated})
	c.Check(played(splitRequests, 2, RoutedEvent{At: 9 * kernel.Second, EventKind: Rejected, ID: "s50", Engine: "e1", Status: 503}), qt.HasLen, 0)
}

// tenantHistory returns a request under a key that was held throughout, and one under a key that was withdrawn.
func tenantHistory() []RoutedEvent {
	events := []RoutedEvent{
		{At: msec, EventKind: KeyHeld, Key: "k1", Tenant: "ann"},
		{At: msec, EventKind: KeyHeld, Key: "k2", Tenant: "bob"},
		{At: 3 * kernel.Second, EventKind: KeyWithdrawn, Key: "k2"},
	}
	first, second := cleanAttempt("a", kernel.Second), cleanAttempt("b", 4*kernel.Second)
	first[0].Key, first[0].Cost, first[1].Tenant = "k1", 100, "ann"
	second[0].Key, second[0].Cost, second[1].Tenant = "k2", 100, "bob"
	return append(append(events, first...), second...)
}

func tenantBounds() RoutedBounds {
	bounds := routedBounds()
	bounds.Tenants = TenantBounds{
		RevocationTimeout: 2 * kernel.Second, QuotaWindow: 4 * kernel.Second, QuotaOver: 0.1, QuotaSlack: 10,
		Quotas: map[string]TenantQuota{"ann": {Rate: 50, Burst: 50}},
	}
	return bounds
}

// tenantRequests returns requests of "ann" at an interval that all end with the given status. Only those with status 200 run.
func tenantRequests(count int, interval kernel.Micros, status int) (events []RoutedEvent) {
	for i := range count {
		at := 5*kernel.Second + kernel.Micros(i)*interval
		attempt := cleanAttempt(fmt.Sprint("more", i), at)
		attempt[0].Key, attempt[0].Cost, attempt[1].Tenant = "k1", 10, "ann"
		if status != 200 {
			attempt = []RoutedEvent{attempt[0], {At: at + msec, EventKind: AttemptEnded, ID: attempt[0].ID, Status: status, Ending: Complete}}
		}
		events = append(events, attempt...)
	}
	return events
}

func TestEveryPlantedViolationOfTenantsIsFound(t *testing.T) {
	const a = 3 // the index of the first request's first event
	for _, test := range []struct {
		name   string
		change func([]RoutedEvent) []RoutedEvent
		rule   Rule // empty: the history is permitted
	}{
		{"clean", func(e []RoutedEvent) []RoutedEvent { return e }, ""},
		{"a key forwarded to the engine", func(e []RoutedEvent) []RoutedEvent { e[a+1].ShowsKey = true; return e }, KeyShown},
		{"no tenant", func(e []RoutedEvent) []RoutedEvent { e[a+1].Tenant = ""; return e }, TenantMismatch},
		{"a tenant that the caller claims", func(e []RoutedEvent) []RoutedEvent { e[a+1].Tenant = "mallory"; return e }, TenantMismatch},
		{"two tenants", func(e []RoutedEvent) []RoutedEvent { e[a+1].Tenant = "ann,mallory"; return e }, TenantMismatch},
		{"a key that moved", func(e []RoutedEvent) []RoutedEvent {
			e[a+1].Tenant = "bob"
			return append(e, RoutedEvent{At: 900 * msec, EventKind: KeyHeld, Key: "k1", Tenant: "bob"})
		}, ""},
		{"no key", func(e []RoutedEvent) []RoutedEvent { e[a].Key, e[a+1].Tenant = "", ""; return e }, UnknownKeyRan},
		{"no key on an open route", func(e []RoutedEvent) []RoutedEvent {
			e[a].Key, e[a].IsOpen, e[a+1].Tenant = "", true, ""
			return e
		}, ""},
		{"an unknown key", func(e []RoutedEvent) []RoutedEvent { e[a].Key, e[a+1].Tenant = "k9", ""; return e }, UnknownKeyRan},
		{"a key before it was held", func(e []RoutedEvent) []RoutedEvent { e[0].At = 1500 * msec; return e }, UnknownKeyRan},
		{"a withdrawn key within the timeout", func(e []RoutedEvent) []RoutedEvent { e[2].At = 2 * kernel.Second; return e }, ""},
		{"a withdrawn key after the timeout", func(e []RoutedEvent) []RoutedEvent { e[2].At = 2*kernel.Second - 1; return e }, WithdrawnKeyRan},
		{"a withdrawn key that is held again", func(e []RoutedEvent) []RoutedEvent {
			e[2].At = kernel.Second
			return append(e, RoutedEvent{At: 3 * kernel.Second, EventKind: KeyHeld, Key: "k2", Tenant: "bob"})
		}, ""},
		// 50 units a second over 4 s plus the burst of 50, a tenth more, and the slack of 10: 285 units.
		{"up to the quota", func(e []RoutedEvent) []RoutedEvent { return append(e, tenantRequests(28, 50*msec, 200)...) }, ""},
		{"beyond the quota", func(e []RoutedEvent) []RoutedEvent { return append(e, tenantRequests(29, 50*msec, 200)...) }, QuotaExceeded},
		{"more units over a longer time", func(e []RoutedEvent) []RoutedEvent { return append(e, tenantRequests(60, 300*msec, 200)...) }, ""},
		{"rejected beyond the quota", func(e []RoutedEvent) []RoutedEvent { return append(e, tenantRequests(400, 20*msec, 429)...) }, ""},
		{"rejected within the quota", func(e []RoutedEvent) []RoutedEvent { return append(e, tenantRequests(60, 500*msec, 429)...) }, RejectedWithinQuota},
		{"requests without a key are rejected", func(e []RoutedEvent) []RoutedEvent {
			more := tenantRequests(60, 500*msec, 401)
			for i := range more {
				more[i].Key = ""
			}
			return append(e, more...)
		}, ""},
		{"requests with a valid key are rejected", func(e []RoutedEvent) []RoutedEvent { return append(e, tenantRequests(60, 500*msec, 401)...) }, ValidRequestsRejected},
		{"a tenant is starved", func(e []RoutedEvent) []RoutedEvent {
			starved := tenantRequests(60, 500*msec, 503)
			for i := range starved {
				starved[i].ID += "-starved"
				if starved[i].Key != "" {
					starved[i].Key = "k3"
				}
			}
			return append(append(append(e, RoutedEvent{EventKind: KeyHeld, Key: "k3", Tenant: "eve"}), tenantRequests(200, 300*msec, 200)...), starved...)
		}, TenantStarved},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			report := CheckRouted(test.change(tenantHistory()), tenantBounds())
			found := map[Rule]bool{}
			for _, violation := range report.Violations {
				found[violation.Rule] = true
			}
			want := map[Rule]bool{}
			if test.rule != "" {
				want[test.rule] = true
			}
			c.Assert(found, qt.DeepEquals, want, qt.Commentf("%v", report.Violations))
		})
	}
}
