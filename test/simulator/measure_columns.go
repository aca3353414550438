package simulator

import (
	"slices"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// The columns of measurements.

// columnOf computes the value of a column from a finished run.
var columnOf = map[string]func(w *World, begun kernel.Micros) float64{
	"prefix reuse %": func(w *World, _ kernel.Micros) float64 {
		return 100 * share(float64(w.figures.hits), float64(w.figures.hits+w.figures.misses))
	},
	"imbalance max/mean": func(w *World, _ kernel.Micros) float64 {
		most, total := int64(0), int64(0)
		for _, work := range w.figures.work {
			most, total = max(most, work), total+work
		}
		return share(float64(most)*float64(len(w.engines)), float64(total))
	},
	"diverts %": func(w *World, _ kernel.Micros) float64 {
		diverts, attempts := uint64(0), uint64(0)
		for _, m := range w.machines {
			counts := m.dispatcher.Counts()
			diverts, attempts = diverts+counts.Diverts, attempts+counts.FirstAttempts
		}
		return 100 * share(float64(diverts), float64(attempts))
	},
	"TTFT p50 ms": func(w *World, _ kernel.Micros) float64 { return percentile(w.figures.ttft, 0.5) / 1000 },
	"TTFT p95 ms": func(w *World, _ kernel.Micros) float64 { return percentile(w.figures.ttft, 0.95) / 1000 },
	"TTFT p99 ms": func(w *World, _ kernel.Micros) float64 { return percentile(w.figures.ttft, 0.99) / 1000 },
	"served %": func(w *World, begun kernel.Micros) float64 {
		return 100 * share(float64(w.ended(begun, checker.Served)), float64(w.calls(begun)))
	},
	"callers served %": func(w *World, _ kernel.Micros) float64 {
		return 100 * share(float64(w.callers.served), float64(w.callers.begun))
	},
	"no_licence": func(w *World, _ kernel.Micros) float64 {
		count := 0
		for _, event := range w.events {
			if event.EventKind == checker.CallEnded && event.Reason == "no_licence" {
				count++
			}
		}
		return float64(count)
	},
	"unreached": func(w *World, begun kernel.Micros) float64 { return float64(w.ended(begun, checker.Unreached)) },
	"rejected late %": func(w *World, begun kernel.Micros) float64 {
		return 100 * share(float64(len(w.figures.lateRejects)), float64(w.calls(begun)))
	},
	"rejected after p95 ms": func(w *World, _ kernel.Micros) float64 { return percentile(w.figures.lateRejects, 0.95) / 1000 },
	"retries %": func(w *World, _ kernel.Micros) float64 {
		w.totals()
		totals := w.events[len(w.events)-1]
		return 100 * share(float64(totals.Retries), float64(totals.First))
	},
	"rejected": func(w *World, begun kernel.Micros) float64 { return float64(w.ended(begun, checker.NotRun)) },
	"torn or may have run": func(w *World, begun kernel.Micros) float64 {
		return float64(w.ended(begun, checker.Truncated, checker.MayHaveRun))
	},
	"cold engine's peak": func(w *World, _ kernel.Micros) float64 { return float64(w.figures.coldPeak) },
	"crossing KB/request": func(w *World, _ kernel.Micros) float64 {
		return float64(w.figures.crossed) / 1024 / float64(max(w.callCount, 1))
	},
	"estimate off by %": func(w *World, _ kernel.Micros) float64 {
		total := 0.0
		for _, off := range w.figures.errors {
			total += off
		}
		return 100 * total / float64(max(len(w.figures.errors), 1))
	},
}

// trafficKinds are the message kinds that the traffic table lists, in KB per second.
var trafficKinds = []string{"AskBatch", "GrantBatch", "Heartbeat", "HeartbeatReply", "News", "Mend", "Heard", "Attest", "AttestReply", "Shuffle", "Grant", "Submit"}

func init() {
	perSecond := func(count func(w *World) int) func(w *World, begun kernel.Micros) float64 {
		return func(w *World, begun kernel.Micros) float64 {
			return float64(count(w)) / 1024 / (float64(w.now-begun) / float64(sec))
		}
	}
	for _, kind := range trafficKinds {
		columnOf[kind] = perSecond(func(w *World) int { return w.CrossZoneBytes[kind] })
	}
	columnOf["KB/s"] = perSecond(func(w *World) int {
		sum := 0
		for _, bytes := range w.CrossZoneBytes {
			sum += bytes
		}
		return sum
	})
}

func (w *World) calls(begun kernel.Micros) int {
	count := 0
	for _, event := range w.events {
		if event.EventKind == checker.CallEnded && event.StartedAt >= begun {
			count++
		}
	}
	return count
}

// ended counts the requests sent since begun that ended with one of the outcomes.
func (w *World) ended(begun kernel.Micros, outcomes ...checker.Outcome) int {
	count := 0
	for _, event := range w.events {
		if event.EventKind == checker.CallEnded && event.StartedAt >= begun && slices.Contains(outcomes, event.Outcome) {
			count++
		}
	}
	return count
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func percentile(values []kernel.Micros, at float64) float64 {
	if len(values) == 0 {
		return 0
	}
	ordered := slices.Sorted(slices.Values(values))
	return float64(ordered[min(int(at*float64(len(ordered))), len(ordered)-1)])
}
