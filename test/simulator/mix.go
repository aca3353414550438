package simulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// Mix is a deployment and its requests as a file describes them, for experiments.
type Mix struct {
	Name               string    `json:"name"`
	Routers            int       `json:"routers"`
	Engines            int       `json:"engines"`
	Slots              int       `json:"slots"`
	Queue              int       `json:"queue"`
	MemoryTokens       int       `json:"memory_tokens"`
	PrefillChunk       int       `json:"chunk_tokens"`
	Stride             int       `json:"stride_tokens"`
	StepUS             int64     `json:"step_us"`
	StepPerRequestUS   int64     `json:"step_each_us"`
	PrefillTokensPerMs float64   `json:"reads_per_ms"`
	DelayUS            int64     `json:"delay_us"`
	Load               []float64 `json:"load"` // factors of the rates, each for an equal part of the run
	RetryRatio         float64   `json:"retry_ratio"`
	RetrySlack         float64   `json:"retry_slack"`
	Kinds              []MixKind `json:"kinds"`
}

// MixKind is one kind of request.
type MixKind struct {
	Name               string  `json:"name"`
	Rate               float64 `json:"per_second"`
	Common             int     `json:"common_tokens"` // shared by all requests of the kind
	Prefixes           int     `json:"prefixes"`
	Shared             int     `json:"shared_tokens"`
	Own                int     `json:"own_tokens"`
	Out                int     `json:"out_tokens"`
	LatencyTargetUS    int64   `json:"goal_us"`
	InterTokenTargetUS int64   `json:"gap_us"`
	DeadlineUS         int64   `json:"deadline_us"`
	Resumable          bool    `json:"resumable"`
	MaxAttempts        int     `json:"tries"`
	MaxRetries         int     `json:"further_tries"`
	Priority           int     `json:"priority"`
}

// mixError reports an invalid field of a mix or an invalid setting of a variant.
type mixError struct{ what, why string }

func (err mixError) Error() string { return err.what + ": " + err.why }

// ReadMix reads a mix from a file. Its error names every invalid field.
func ReadMix(path string) (Mix, error) {
	var mix Mix
	content, err := os.ReadFile(path)
	if err != nil {
		return mix, fmt.Errorf("read a mix: %w", err)
	}
	if err := json.Unmarshal(content, &mix); err != nil {
		return mix, fmt.Errorf("read a mix: %w", err)
	}
	errs := []error{}
	positive := func(what string, value float64) {
		if !(value > 0) {
			errs = append(errs, mixError{what, "has to be above zero"})
		}
	}
	for what, value := range map[string]float64{
		"routers": float64(mix.Routers), "engines": float64(mix.Engines), "slots": float64(mix.Slots), "memory_tokens": float64(mix.MemoryTokens),
		"chunk_tokens": float64(mix.PrefillChunk), "stride_tokens": float64(mix.Stride), "step_us": float64(mix.StepUS), "reads_per_ms": mix.PrefillTokensPerMs,
		"kinds": float64(len(mix.Kinds)),
	} {
		positive(what, value)
	}
	for _, kind := range mix.Kinds {
		positive(kind.Name+" per_second", kind.Rate)
		positive(kind.Name+" own_tokens", float64(kind.Own))
		positive(kind.Name+" out_tokens", float64(kind.Out))
		positive(kind.Name+" deadline_us", float64(kind.DeadlineUS))
		positive(kind.Name+" goal_us", float64(kind.LatencyTargetUS))
	}
	return mix, errors.Join(errs...)
}

// Variant is one of the two sides of an experiment: a name and the settings that it changes.
type Variant struct {
	Name    string
	Changes map[string]float64
}

// mixSettings holds the settings that a variant may change.
var mixSettings = map[string]func(*Mix, *fleetconfig.Policy, float64){
	"routers":       func(m *Mix, _ *fleetconfig.Policy, v float64) { m.Routers = int(v) },
	"engines":       func(m *Mix, _ *fleetconfig.Policy, v float64) { m.Engines = int(v) },
	"slots":         func(m *Mix, _ *fleetconfig.Policy, v float64) { m.Slots = int(v) },
	"memory_tokens": func(m *Mix, _ *fleetconfig.Policy, v float64) { m.MemoryTokens = int(v) },
	"chunk_tokens":  func(m *Mix, _ *fleetconfig.Policy, v float64) { m.PrefillChunk = int(v) },
	"retry_ratio":   func(m *Mix, _ *fleetconfig.Policy, v float64) { m.RetryRatio = v },
	"load": func(m *Mix, _ *fleetconfig.Policy, v float64) {
		for i := range m.Kinds {
			m.Kinds[i].Rate *= v
		}
	},
	"tries": func(m *Mix, _ *fleetconfig.Policy, v float64) {
		for i := range m.Kinds {
			m.Kinds[i].MaxAttempts = int(v)
		}
	},
	"max_imbalance": func(_ *Mix, p *fleetconfig.Policy, v float64) { p.MaxImbalance = v },
	"near_tie":      func(_ *Mix, p *fleetconfig.Policy, v float64) { p.NearTie = v },
	"prefix_length": func(_ *Mix, p *fleetconfig.Policy, v float64) { p.PrefixLength = int(v) },
}

// ParseVariant parses "NAME=VALUE,NAME=VALUE". An empty text stands for the unchanged mix.
func ParseVariant(text string) (Variant, error) {
	variant := Variant{Name: text, Changes: map[string]float64{}}
	if text == "" {
		variant.Name = "unchanged"
		return variant, nil
	}
	for word := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(word, "=")
		value, err := strconv.ParseFloat(number, 64)
		if mixSettings[name] == nil {
			return variant, mixError{name, "unknown setting; known settings are " + strings.Join(slices.Sorted(maps.Keys(mixSettings)), ", ")}
		}
		if err != nil || !(value > 0) || math.IsInf(value, 0) {
			return variant, mixError{word, "needs a value above zero"}
		}
		variant.Changes[name] = value
	}
	return variant, nil
}

// Plan returns the plan of a run of the mix under a variant.
func (m Mix) Plan(variant Variant, seed uint64, span kernel.Micros) RoutedPlan {
	m.Kinds = slices.Clone(m.Kinds)
	policies := []func(*fleetconfig.Policy){}
	for name, value := range variant.Changes {
		policies = append(policies, func(p *fleetconfig.Policy) { mixSettings[name](&Mix{}, p, value) })
		mixSettings[name](&m, &fleetconfig.Policy{}, value)
	}
	d := RoutedDeployment{
		Zones: []string{"zone"}, Routers: m.Routers, Engines: map[string]int{"model": m.Engines}, PrefillChunk: m.PrefillChunk,
		Step: kernel.Micros(m.StepUS), StepPerRequest: kernel.Micros(m.StepPerRequestUS), PrefillTokensPerMs: m.PrefillTokensPerMs, Queue: m.Queue,
		IdleTimeout: 15 * sec, PropagationDelay: 100 * ms, HeartbeatTimeout: 2 * sec, NetworkDelay: kernel.Micros(m.DelayUS), ReportsLoad: true,
		Services: []fleetconfig.Service{{Name: "model", Slots: m.Slots, Stride: m.Stride, MaxConnections: 100 * m.Routers, MemoryTokens: int64(m.MemoryTokens)}},
		Bounds: checker.RoutedBounds{DrainTimeout: 2500 * ms, GracePeriod: 8 * sec, Slack: 200 * ms, ContactTimeout: 4 * sec, RetryRatio: m.RetryRatio,
			RetrySlack: m.RetrySlack, RetryWindow: 10 * sec, MaxRejected: 5, RejectedOneIn: 500},
	}
	for _, kind := range m.Kinds {
		d.Kinds = append(d.Kinds, RoutedKind{
			Rate: kind.Rate, Common: kind.Common, Prefixes: max(kind.Prefixes, 1), Shared: kind.Shared, Own: kind.Own, Out: kind.Out,
			Deadline: kernel.Micros(kind.DeadlineUS), MaxRetries: kind.MaxRetries, Body: 200,
			Route: fleetconfig.Route{Name: kind.Name, Host: kind.Name + ".example", Prefix: "/m/", Kind: fleetconfig.Stream, Timeout: kernel.Micros(kind.DeadlineUS),
				LatencyTarget: kernel.Micros(kind.LatencyTargetUS), InterTokenTarget: kernel.Micros(kind.InterTokenTargetUS), Priority: kind.Priority, MaxAttempts: max(kind.MaxAttempts, 1), IsPinned: true,
				IsResumable: kind.Resumable, Splits: []fleetconfig.Split{{Service: "model", Weight: 1}}},
		})
	}
	plan := RoutedPlan{Seed: seed, Deployment: d, Span: span, Shape: func(config *fleetconfig.Config) {
		for _, change := range policies {
			change(&config.Policy)
		}
	}}
	if len(m.Load) > 0 {
		plan.Load = func(part float64) float64 { return m.Load[min(int(part*float64(len(m.Load))), len(m.Load)-1)] }
	}
	return plan
}
