package simulator

import (
	"fmt"
	"math"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// The measurements by name, with the settings that they compare.

func choosing(choose func(candidates []relay.Candidate, preferred int, turn uint64) int) func(*Options) {
	return func(k *Options) {
		k.Overrides = func(*machine) relay.PolicyOverrides { return relay.PolicyOverrides{Choose: choose} }
	}
}

func roundRobin(candidates []relay.Candidate, _ int, nextIndex uint64) int {
	return int(nextIndex % uint64(len(candidates)))
}

func leastLoad(candidates []relay.Candidate, _ int, _ uint64) int {
	best := 0
	for i, candidate := range candidates {
		if candidate.Load < candidates[best].Load {
			best = i
		}
	}
	return best
}

func policyOf(name string, value any) func(*Options) {
	return func(k *Options) { k.Policy = map[string]any{name: value} }
}

// longPrompts makes prefix caching matter: most of a prompt is its shared prefix, and each
// cache holds a third of all prefixes.
func longPrompts(k *Options) {
	k.Prefixes, k.PrefixLen, k.TailLow, k.TailHigh = 24, 512, 16, 64
	k.OutLow, k.OutHigh, k.Prefill, k.Decode, k.Cache, k.Slots = 8, 48, 500, 6*ms, 8, 4
}

// loadBy sets how the load caused by other nodes is estimated. The error against the engine's
// actual load is recorded in each case.
func loadBy(name string) func(*Options) {
	return func(k *Options) {
		k.Overrides = func(m *machine) relay.PolicyOverrides {
			var unseen *float64
			if share, isShare := map[string]float64{"inferred 0": 0, "inferred 0.25": 0.25, "inferred 0.5": 0.5}[name]; isShare {
				unseen = &share
			}
			return relay.PolicyOverrides{UnseenLoadShare: unseen, Load: func(own int64, engine relay.Engine, foreign float64) float64 {
				load := float64(max(own, 0))
				switch name {
				case "own":
				case "report":
					load = float64(engine.Load)
				default:
					load += foreign
				}
				for _, e := range m.world.engines {
					if e.id == engine.ID && m.world.now%7 == 0 {
						truth := float64(e.tokens)
						m.world.figures.errors = append(m.world.figures.errors, math.Abs(load-truth)/math.Max(truth, 200))
					}
				}
				return load
			}}
		}
	}
}

// longStreams makes each request keep an engine busy for seconds.
func longStreams(k *Options) {
	longPrompts(k)
	k.OutLow, k.OutHigh, k.Decode, k.Slots = 100, 400, 20*ms, 24
}

func withLag(lag kernel.Micros, load string) variant {
	return variant{fmt.Sprintf("%s, reports %.1f s late", load, float64(lag)/1e6), func(k *Options) {
		k.ReportLag = lag
		loadBy(load)(k)
	}}
}

func waiting(wait kernel.Micros) variant {
	return variant{fmt.Sprintf("wait %d ms", wait/ms), func(k *Options) { k.AdmissionWait = wait }}
}

var measurements = map[string]measurement{
	"policy": {
		title: "The paper's policy against its baselines", deployment: "qurum", rate: 60, hot: 0, span: 40 * sec, shape: longPrompts,
		variants: []variant{
			{"round robin", choosing(roundRobin)}, {"least load", choosing(leastLoad)}, {"prefix with divert above 2.0 x mean", func(*Options) {}},
		},
		columns: []string{"prefix reuse %", "imbalance max/mean", "diverts %", "TTFT p50 ms", "TTFT p95 ms", "served %"},
	},
	"current": {
		title: "The prompt that an engine is processing, counted once or twice, under a hot prefix", deployment: "cronometro", rate: 60, hot: 0.3, span: 40 * sec, shape: longPrompts,
		variants: []variant{
			{"once", func(k *Options) {
				k.Overrides = func(*machine) relay.PolicyOverrides { return relay.PolicyOverrides{SkipsCurrentPrompt: true} }
			}},
			{"twice, as in the source of the policy", func(*Options) {}},
		},
		columns: []string{"prefix reuse %", "imbalance max/mean", "diverts %", "TTFT p50 ms", "TTFT p95 ms", "served %"},
	},
	"lease": {
		title: "Leases while the core has faults: one fault every 10 s, callers routed by readiness", deployment: "cronometro", rate: 30, hot: 0, span: 60 * sec,
		shape: func(k *Options) { k.Kinds, k.Pools = runCallKinds, 6 },
		variants: []variant{
			{"the leader is killed for 3 s", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) { killAndRestart(w.leader(), 3*sec) }}
			}},
			{"the leader freezes for 3 s", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) { w.leader().freeze(3 * sec) }}
			}},
			{"the leader's disk stalls for 3 s", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) {
					d := w.leader().disk
					d.isStalled = true
					w.after(3*sec, func() { d.isStalled = false })
				}}
			}},
			{"a coordinator is killed for 3 s", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) { killAndRestart(w.byAddress[w.newestDocument().Coordinators[w.anyZone()]], 3*sec) }}
			}},
			{"any node is killed for 3 s", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) { killAndRestart(w.anyMachine(), 3*sec) }}
			}},
			{"all of the core is killed for 3 s", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) {
					for _, m := range w.core() {
						killAndRestart(m, 3*sec)
					}
				}}
			}},
			{"the whole fleet is killed for 3 s", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) {
					for _, m := range w.machines {
						killAndRestart(m, 3*sec)
					}
				}}
			}},
		},
		columns: []string{"callers served %", "served %", "no_licence", "unreached", "torn or may have run"},
		faults:  func(w *World) { w.submitOperations() },
	},
	"traffic": {
		title: "The control plane's bytes between zones", deployment: "qurum", rate: 20, hot: 0, span: 60 * sec,
		variants: []variant{
			{"at rest", func(*Options) {}},
			{"a configuration of 0.3 KB every 5 s", func(k *Options) { k.Operations = operationMix{configs: 5 * sec} }},
			{"a configuration of 200 KB, a zone drained or undrained every 5 s", func(k *Options) { k.Operations = operationMix{zones: 5 * sec, large: 2000} }},
			{"a configuration of 200 KB every 10 s, which half of the nodes take 2 s to compile", func(k *Options) {
				k.Operations = operationMix{every: 10 * sec, inject: func(w *World) {
					for _, m := range w.machines[:len(w.machines)/2] {
						m.compileDelay = 2 * sec
					}
					w.configCount++
					w.operator.submit(cluster.Submit{Operation: cluster.PutConfig, Config: largeConfig(2000+w.configCount, "main")}, func(cluster.SubmitResponse) {})
				}}
			}},
			{"a configuration of 200 KB, and the leader killed every 10 s", func(k *Options) { k.Operations = operationMix{kills: 10 * sec, large: 2000} }},
		},
		columns: append([]string{"KB/s"}, trafficKinds...),
		faults:  func(w *World) { w.submitOperations() },
	},
	"divert": {
		title: "The divert factor under a hot prefix", deployment: "cronometro", rate: 60, hot: 0.6, span: 40 * sec, shape: longPrompts,
		variants: []variant{
			{"1.2", policyOf("maxImbalance", 1.2)}, {"1.5", policyOf("maxImbalance", 1.5)}, {"2.0", policyOf("maxImbalance", 2.0)},
			{"3.0", policyOf("maxImbalance", 3.0)}, {"6.0", policyOf("maxImbalance", 6.0)}, {"never", policyOf("maxImbalance", 100)},
		},
		columns: []string{"prefix reuse %", "imbalance max/mean", "diverts %", "TTFT p50 ms", "TTFT p95 ms", "TTFT p99 ms"},
	},
	"salt": {
		title: "Near ties broken by a salted hash or not, under a hot prefix", deployment: "cronometro", rate: 60, hot: 0.6, span: 40 * sec, shape: longPrompts,
		variants: []variant{
			{"always the first of the least", choosing(func(candidates []relay.Candidate, preferred int, _ uint64) int {
				total := 0.0
				for _, candidate := range candidates {
					total += candidate.Load
				}
				if mean := total / float64(len(candidates)); mean == 0 || candidates[preferred].Load <= 2*mean {
					return preferred
				}
				return leastLoad(candidates, preferred, 0)
			})},
			{"salted, ties within 0", policyOf("nearTie", 0.0)}, {"salted, ties within 0.05", policyOf("nearTie", 0.05)},
			{"salted, ties within 0.2", policyOf("nearTie", 0.2)}, {"salted, ties within 0.5", policyOf("nearTie", 0.5)},
		},
		columns: []string{"prefix reuse %", "imbalance max/mean", "diverts %", "TTFT p50 ms", "TTFT p95 ms", "TTFT p99 ms"},
	},
	"reports": {
		title: "How the load of other nodes is estimated, by the lag of reports", deployment: "cronometro", rate: 60, hot: 0.3, span: 30 * sec, shape: longPrompts,
		variants: []variant{
			withLag(200*ms, "own"), withLag(200*ms, "report"), withLag(200*ms, "inferred 0"), withLag(200*ms, "inferred 0.25"), withLag(200*ms, "inferred 0.5"),
			withLag(sec, "own"), withLag(sec, "report"), withLag(sec, "inferred 0"), withLag(sec, "inferred 0.25"), withLag(sec, "inferred 0.5"),
			withLag(4*sec, "own"), withLag(4*sec, "report"), withLag(4*sec, "inferred 0"), withLag(4*sec, "inferred 0.25"), withLag(4*sec, "inferred 0.5"),
		},
		columns: []string{"estimate off by %", "prefix reuse %", "imbalance max/mean", "diverts %", "TTFT p50 ms", "TTFT p95 ms"},
	},
	"reports-long": {
		title: "The same with streams of seconds", deployment: "cronometro", rate: 45, hot: 0.3, span: 30 * sec, shape: longStreams,
		variants: []variant{
			withLag(200*ms, "own"), withLag(200*ms, "report"), withLag(200*ms, "inferred 0"), withLag(200*ms, "inferred 0.25"), withLag(200*ms, "inferred 0.5"),
			withLag(sec, "own"), withLag(sec, "report"), withLag(sec, "inferred 0"), withLag(sec, "inferred 0.25"), withLag(sec, "inferred 0.5"),
			withLag(4*sec, "own"), withLag(4*sec, "report"), withLag(4*sec, "inferred 0"), withLag(4*sec, "inferred 0.25"), withLag(4*sec, "inferred 0.5"),
		},
		columns: []string{"estimate off by %", "prefix reuse %", "imbalance max/mean", "diverts %", "TTFT p50 ms", "TTFT p95 ms"},
	},
	"ramp": {
		title: "Slow start of new engines under high load", deployment: "qurum", rate: 90, hot: 0, span: 20 * sec,
		shape: func(k *Options) { longPrompts(k); k.ColdSlowdown = 4 },
		variants: []variant{
			{"no slow start", policyOf("rampTotalUs", 0)}, {"8 streams, doubled every 2 s", policyOf("rampStreams", 8)},
			{"2 streams, doubled every 2 s", policyOf("rampStreams", 2)}, {"1 stream, doubled every 2 s", policyOf("rampStreams", 1)},
		},
		columns: []string{"cold engine's peak", "TTFT p50 ms", "TTFT p95 ms", "TTFT p99 ms", "served %"},
		faults: func(w *World) {
			for _, e := range w.engines[:6] {
				e.halt()
				w.after(2*sec, e.boot)
			}
		},
	},
	"zones": {
		title: "Engines of the router's own zone first, against all engines", deployment: "qurum", rate: 60, hot: 0, span: 40 * sec,
		shape: func(k *Options) { longPrompts(k); k.DataBytes = true },
		variants: []variant{
			{"all engines", func(*Options) {}}, {"the own zone first", policyOf("ownZoneFirst", true)},
		},
		columns: []string{"crossing KB/request", "prefix reuse %", "imbalance max/mean", "TTFT p50 ms", "TTFT p95 ms", "served %"},
	},
	"crash": {
		title: "Engines crash one after another and stay away for 5 s, right after the start", deployment: "qurum", rate: 25, hot: 0, span: 30 * sec,
		variants: []variant{
			{"retry ratio 0.02", policyOf("retryRatio", 0.02)}, {"retry ratio 0.05", policyOf("retryRatio", 0.05)},
			{"retry ratio 0.08", policyOf("retryRatio", 0.08)}, {"retry ratio 0.1", policyOf("retryRatio", 0.1)},
		},
		columns: []string{"served %", "retries %", "rejected", "torn or may have run"},
		faults: func(w *World) {
			for i, e := range w.engines {
				w.after(kernel.Micros(i)*1500*ms, func() {
					e.halt()
					w.after(5*sec, e.boot)
				})
			}
		},
	},
	"admission": {
		title: "Waiting before a late rejection, under more load than capacity", deployment: "cronometro", rate: 360, hot: 0, span: 15 * sec,
		shape:    func(k *Options) { longPrompts(k); k.TTFTLimit = sec },
		variants: []variant{waiting(0), waiting(300 * ms), waiting(sec), waiting(3 * sec)},
		columns:  []string{"served %", "rejected late %", "rejected after p95 ms", "TTFT p50 ms", "TTFT p95 ms"},
	},
}
