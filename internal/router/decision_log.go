package router

import (
	"fmt"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// DecisionKind names the method of a Chooser that made a decision.
type DecisionKind string

// Kinds of decisions: one for each method that changes the state of a Chooser.
const (
	DecisionTable      DecisionKind = "table"    // SetRoutingTable
	DecisionService    DecisionKind = "service"  // the choice of a service of a split route
	DecisionAdmit      DecisionKind = "admit"    // Admit
	DecisionSent       DecisionKind = "sent"     // Sent
	DecisionUnsent     DecisionKind = "unsent"   // Unsent
	DecisionAnswered   DecisionKind = "answered" // Answered
	DecisionProduced   DecisionKind = "produced" // Produced
	DecisionBind       DecisionKind = "bind"     // Bind
	DecisionHedge      DecisionKind = "hedge"    // Hedge
	DecisionClose      DecisionKind = "close"    // Close
	DecisionReportLoad DecisionKind = "load"     // ReportLoad
	DecisionDrain      DecisionKind = "shutdown" // Drain; At is when the router stops
)

// RouteRef identifies a route. Config numbers the configurations in the order in which the Chooser received them, and
// Index is the position of the route in that configuration.
type RouteRef struct {
	Config int `json:"config"`
	Index  int `json:"index"`
}

// RecordedRequest holds the fields of a request that a Chooser's decisions depend on.
type RecordedRequest struct {
	ID           string        `json:"id"`
	PromptTokens int           `json:"prompt"`
	MaxTokens    int           `json:"out"`
	Segments     []Segment     `json:"segments,omitempty"`
	ArrivedAt    kernel.Micros `json:"arrived_us"`
	Deadline     kernel.Micros `json:"until_us"`
	Route        RouteRef      `json:"route"`
	Service      string        `json:"service"`
	Priority     int           `json:"prio"`
}

// RecordedTable is a routing table. It includes routes and services only in the first table of each configuration.
type RecordedTable struct {
	Config   int                   `json:"config"` // -1: no configuration yet
	Routes   []fleetconfig.Route   `json:"routes,omitempty"`
	Services []fleetconfig.Service `json:"services,omitempty"`
	Engines  []Engine              `json:"engines,omitempty"`
	Routers  int                   `json:"routers"`
}

// Decision is one call of a Chooser's method: its inputs and its result. The decisions of a Chooser, in order,
// determine its state, so ReplayDecisions can repeat them.
type Decision struct {
	At   kernel.Micros `json:"at_us"`
	Kind DecisionKind  `json:"kind"`
	Call uint64        `json:"call,omitempty"` // number of the request, in order of admission
	// Attempt is the number of the call's attempt.
	Attempt int `json:"attempt,omitempty"`
	// Inputs; which ones are set depends on the kind.
	Request *RecordedRequest `json:"request,omitempty"`
	Table   *RecordedTable   `json:"table,omitempty"`
	Route   *RouteRef        `json:"route,omitempty"`
	Hash    uint64           `json:"hash,omitempty"`
	Outcome Outcome          `json:"outcome,omitempty"`
	Reason  string           `json:"reason,omitempty"`
	Load    *Load            `json:"load,omitempty"`
	Tokens  int              `json:"tokens,omitempty"`
	Engine  string           `json:"engine,omitempty"`
	// Results.
	Chosen    string `json:"chosen,omitempty"`   // an engine, or a service
	IsAllowed bool   `json:"allowed,omitempty"`  // of Sent and Hedge; for Close: another attempt follows
	Rejection string `json:"rejected,omitempty"` // the reason of the rejection
}

// decisionRecorder passes on each decision of a Chooser. The Chooser's lock guards it.
type decisionRecorder struct {
	write   func(Decision)
	configs map[*fleetconfig.Config]int
	routes  map[*fleetconfig.Route]RouteRef
}

// RecordDecisions makes the Chooser pass each decision to write, one at a time and with its lock held, so write must
// not call the Chooser. It has to be called before the Chooser is used.
func (c *Chooser) RecordDecisions(write func(Decision)) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.recorder = &decisionRecorder{write: write, configs: map[*fleetconfig.Config]int{}, routes: map[*fleetconfig.Route]RouteRef{}}
}

// record passes on a decision on an attempt; the Chooser's lock is held.
func (c *Chooser) record(attempt *Attempt, decision Decision) {
	if c.recorder == nil {
		return
	}
	decision.Call, decision.Attempt = attempt.call.number, attempt.Number
	c.recorder.write(decision)
}

// table returns the record of a routing table. It numbers the configuration, and includes its routes and services if it
// is new.
func (r *decisionRecorder) table(routingTable *RoutingTable) *RecordedTable {
	config := routingTable.Config
	recorded := &RecordedTable{Config: -1, Engines: routingTable.Engines, Routers: routingTable.Routers}
	if config == nil {
		return recorded
	}
	number, isKnown := r.configs[config]
	if !isKnown {
		number = len(r.configs)
		r.configs[config] = number
		recorded.Routes = config.Routes
		for _, service := range config.Services {
			recorded.Services = append(recorded.Services, service)
		}
		for index := range config.Routes {
			r.routes[&config.Routes[index]] = RouteRef{number, index}
		}
	}
	recorded.Config = number
	return recorded
}

// request returns the fields of a request that are recorded.
func (r *decisionRecorder) request(request *Request) *RecordedRequest {
	return &RecordedRequest{
		ID: request.ID, PromptTokens: request.PromptTokens, MaxTokens: request.MaxTokens, Segments: request.Segments,
		ArrivedAt: request.ArrivedAt, Deadline: request.Deadline, Route: r.routes[request.Route], Service: request.Service, Priority: request.Priority,
	}
}

// reasonOf returns the reason of a rejection, or "" if there is no rejection.
func reasonOf(rejection *Rejection) string {
	if rejection == nil {
		return ""
	}
	return rejection.Reason
}

// engineOf returns the engine ID of a call's attempt, or "" if there is no attempt.
func engineOf(call *Call) string {
	if call == nil || call.Attempt == nil {
		return ""
	}
	return call.Attempt.Engine.ID
}

// UnknownCallError says that a decision can't be replayed: it refers to a request, route or configuration that no
// earlier decision introduced, its kind is unknown, or it lacks an input.
type UnknownCallError struct{ Index int }

func (err UnknownCallError) Error() string {
	return fmt.Sprintf("decision %d refers to a request or route that no earlier decision introduced", err.Index)
}

// DivergedError says that a replayed decision differs from the recorded one.
type DivergedError struct {
	Index              int
	Recorded, Replayed Decision
}

func (err DivergedError) Error() string {
	return fmt.Sprintf("decision %d was recorded as %+v, but its replay gave %+v", err.Index, err.Recorded, err.Replayed)
}

// replay repeats the recorded decisions of a Chooser.
type replay struct {
	chooser *Chooser
	configs map[int]*fleetconfig.Config
	calls   map[uint64]*Call
	made    []Decision // decisions of the method call in progress
}

// ReplayDecisions repeats the recorded decisions of a Chooser in their order. decisions has to hold all of them from
// the first on, and retry is the retry budget of that Chooser. The error is a DivergedError for the first decision
// whose replay has another result, or an UnknownCallError for the first one that can't be replayed.
func ReplayDecisions(decisions []Decision, retry RetryBudget) error {
	r := &replay{chooser: NewChooser("", "", retry), configs: map[int]*fleetconfig.Config{}, calls: map[uint64]*Call{}}
	r.chooser.RecordDecisions(func(decision Decision) { r.made = append(r.made, decision) })
	for index, recorded := range decisions {
		r.made = r.made[:0]
		if !r.step(recorded) || len(r.made) != 1 {
			return UnknownCallError{index}
		}
		if replayed := r.made[0]; !isSameDecision(recorded, replayed) {
			return DivergedError{index, recorded, replayed}
		}
	}
	return nil
}

// isSameDecision reports whether two decisions have the same result. Their inputs are equal by construction.
func isSameDecision(one, other Decision) bool {
	return one.Kind == other.Kind && one.Call == other.Call && one.Chosen == other.Chosen &&
		one.IsAllowed == other.IsAllowed && one.Rejection == other.Rejection
}

// step calls the method that made a decision. It returns false if the decision can't be replayed; see UnknownCallError.
func (r *replay) step(d Decision) bool {
	switch d.Kind {
	case DecisionTable:
		return r.setTable(d.Table)
	case DecisionService:
		route := r.route(d.Route)
		if route == nil {
			return false
		}
		r.chooser.pickService(d.At, route, d.Hash)
	case DecisionAdmit:
		return r.admit(d)
	case DecisionReportLoad:
		if d.Load == nil {
			return false
		}
		r.chooser.ReportLoad(d.At, d.Engine, *d.Load)
	case DecisionDrain:
		r.chooser.Drain(d.At)
	default:
		attempt := r.attempt(d)
		return attempt != nil && r.stepOfAttempt(d, attempt)
	}
	return true
}

// attempt returns the attempt that a decision refers to, or nil.
func (r *replay) attempt(d Decision) *Attempt {
	call := r.calls[d.Call]
	if call == nil || d.Attempt < 1 || d.Attempt > len(call.attempts) {
		return nil
	}
	return call.attempts[d.Attempt-1]
}

func (r *replay) stepOfAttempt(d Decision, attempt *Attempt) bool {
	switch d.Kind {
	case DecisionSent:
		r.chooser.Sent(d.At, attempt)
	case DecisionUnsent:
		r.chooser.Unsent(attempt)
	case DecisionAnswered:
		load := Load{}
		if d.Load != nil {
			load = *d.Load
		}
		r.chooser.Answered(d.At, attempt, load, d.Load != nil)
	case DecisionProduced:
		r.chooser.Produced(d.At, attempt, d.Tokens)
	case DecisionBind:
		r.chooser.Bind(attempt)
	case DecisionHedge:
		r.chooser.Hedge(d.At, attempt)
	case DecisionClose:
		r.chooser.Close(d.At, attempt, d.Outcome, d.Reason)
	default:
		return false
	}
	return true
}

// setTable applies a recorded routing table.
func (r *replay) setTable(recorded *RecordedTable) bool {
	if recorded == nil {
		return false
	}
	if recorded.Routes != nil {
		r.configs[recorded.Config] = fleetconfig.NewRouteConfig(recorded.Routes, recorded.Services)
	}
	config := r.configs[recorded.Config]
	if config == nil && recorded.Config >= 0 {
		return false
	}
	r.chooser.SetRoutingTable(&RoutingTable{Config: config, Engines: recorded.Engines, Routers: recorded.Routers})
	return true
}

// admit repeats the admission of a recorded request.
func (r *replay) admit(d Decision) bool {
	if d.Request == nil {
		return false
	}
	route := r.route(&d.Request.Route)
	if route == nil {
		return false
	}
	request := Request{
		ID: d.Request.ID, PromptTokens: d.Request.PromptTokens, MaxTokens: d.Request.MaxTokens, Segments: d.Request.Segments,
		ArrivedAt: d.Request.ArrivedAt, Deadline: d.Request.Deadline, Route: route, Service: d.Request.Service, Priority: d.Request.Priority,
	}
	if call, rejection := r.chooser.Admit(d.At, request); rejection == nil {
		r.calls[d.Call] = call
	}
	return true
}

// route returns a recorded route, or nil if it was not recorded.
func (r *replay) route(ref *RouteRef) *fleetconfig.Route {
	if ref == nil {
		return nil
	}
	config := r.configs[ref.Config]
	if config == nil || ref.Index < 0 || ref.Index >= len(config.Routes) {
		return nil
	}
	return &config.Routes[ref.Index]
}
