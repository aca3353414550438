package rehearsal

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinloom/auditorium"
	"dunlinloom/claque"
	"dunlinloom/critic"
	"dunlinloom/flyloft"
	"dunlinloom/house"
	"dunlinloom/wings"
)

// Report is what a rehearsal ends with.
type Report struct {
	Scenario    string        `json:"scenario"`
	Deployment  string        `json:"deployment"`
	Seed        uint64        `json:"seed"`
	Review      critic.Review `json:"review"`
	ServedShare float64       `json:"served_share"` // of all tries
	// CallersServed counts callers that came again after a decline once.
	CallersServed float64            `json:"callers_served_share"`
	Counters      map[string]float64 `json:"counters"`
	Orders        map[string]int     `json:"orders"`
	Problems      []string           `json:"problems,omitempty"`
}

// Operator sends orders and remembers what was acknowledged.
type Operator struct {
	stage  *Stage
	lock   sync.Mutex
	random *rand.Rand
	count  int
	acked  map[uint64]string // generation to the digest of its spec
	orders map[string]int
}

// spec makes the number-th spec of a rehearsal; its bytes differ with the number.
func (s *Stage) spec(number int) []byte {
	kinds, _ := claque.KindsOf(s.deployment.Name)
	bindings := []any{}
	for _, kind := range kinds {
		bindings = append(bindings, map[string]any{
			"name": fmt.Sprintf("%s-%d", kind.Name, number), "match": map[string]any{"kind": kind.Name},
			"shares": []any{map[string]any{"pool": "main", "weight": 100 + number%7}}, "ttftLimitUs": 8_000_000,
		})
	}
	zones := []any{}
	for _, zone := range s.deployment.Zones {
		zones = append(zones, map[string]any{"name": zone})
	}
	content, err := json.Marshal(map[string]any{"bindings": bindings, "zones": zones})
	if err != nil {
		panic(StageBreakdown{"encode a spec", err})
	}
	return content
}

func (o *Operator) node() *actor {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.stage.nodes[o.random.IntN(len(o.stage.nodes))]
}

// order sends one order until it is answered for good, as an operator would: the
// same id again at another node.
func (o *Operator) order(ctx context.Context, name, method, path string, body []byte, onSent func(id string), onEnd func(flyloft.SubmitReceipt)) {
	o.lock.Lock()
	o.count++
	id := fmt.Sprintf("%s-%d", name, o.count)
	o.lock.Unlock()
	onSent(id)
	for try := 0; try < 12 && ctx.Err() == nil; try++ {
		node := o.node()
		status, _, got, err := do(ctx, method, "http://"+node.public+path, body, map[string]string{wings.HeaderSubmission: id})
		var receipt flyloft.SubmitReceipt
		if err == nil {
			err = json.Unmarshal(got, &receipt)
		}
		isFinal := err == nil && (receipt.Outcome == flyloft.Yes || receipt.Outcome == flyloft.No)
		if !isFinal {
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		o.lock.Lock()
		o.orders[name+" "+string(receipt.Outcome)+" "+receipt.Reason]++
		o.lock.Unlock()
		_ = status
		onEnd(receipt)
		return
	}
	o.lock.Lock()
	o.orders[name+" unanswered"]++
	o.lock.Unlock()
}

func (o *Operator) putSpec(ctx context.Context, number int, base string) {
	spec := o.stage.spec(number)
	path := "/v1/spec"
	if base != "" {
		path += "?base=" + url.QueryEscape(base)
	}
	o.order(ctx, "spec", http.MethodPut, path, spec,
		func(id string) {
			o.stage.take(critic.Event{At: now(), What: critic.SpecSent, ID: id, Digest: string(spec)})
		},
		func(receipt flyloft.SubmitReceipt) {
			event := critic.Event{At: now(), What: critic.SpecYes, ID: receipt.ID, Generation: receipt.Generation, Digest: string(spec)}
			if receipt.Outcome == flyloft.No {
				event.What, event.Reason = critic.SpecNo, receipt.Reason
			} else {
				o.lock.Lock()
				o.acked[receipt.Generation] = string(spec)
				o.lock.Unlock()
			}
			o.stage.take(event)
		})
}

func (o *Operator) zone(ctx context.Context, zone string, isEmpty bool) {
	method, name := http.MethodPut, "empty"
	if !isEmpty {
		method, name = http.MethodDelete, "refill"
	}
	o.order(ctx, name, method, "/v1/zones/"+zone+"/evacuation", nil,
		func(string) {
			// From the moment a refill is asked for, requests may go there again.
			if !isEmpty {
				o.stage.take(critic.Event{At: now(), What: critic.ZoneRefilling, Zone: zone})
			}
		},
		func(receipt flyloft.SubmitReceipt) {
			if !isEmpty {
				o.stage.take(critic.Event{At: now(), What: critic.ZoneRefilled, Zone: zone, Generation: receipt.Generation})
			}
			if isEmpty && receipt.Outcome == flyloft.Yes {
				o.stage.take(critic.Event{At: now(), What: critic.ZoneEmptied, Zone: zone, Generation: receipt.Generation})
			}
		})
}

// readBack reads every acknowledged spec under its generation.
func (o *Operator) readBack(ctx context.Context) {
	o.lock.Lock()
	acked := map[uint64]string{}
	for generation, digest := range o.acked {
		acked[generation] = digest
	}
	o.lock.Unlock()
	// The whole history too, or a declined spec that took effect would not be seen.
	if status, _, got, err := do(ctx, http.MethodGet, "http://"+o.node().public+"/v1/spec/history", nil, nil); err == nil && status == http.StatusOK {
		var history struct {
			Generations []uint64 `json:"generations"`
		}
		if err := json.Unmarshal(got, &history); err != nil {
			o.stage.problem("the history can't be read: %v", err)
		}
		for _, generation := range history.Generations {
			acked[generation] = ""
		}
	} else {
		o.stage.problem("the history can't be read: status %d, %v", status, err)
	}
	for generation := range acked {
		isRead := false
		for try := 0; try < 40 && !isRead && ctx.Err() == nil; try++ {
			status, headers, got, err := do(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/spec?generation=%d", o.node().public, generation), nil, nil)
			if err == nil && status == http.StatusOK && headers.Get(auditorium.HeaderGeneration) == strconv.FormatUint(generation, 10) {
				isRead = true
				o.stage.take(critic.Event{At: now(), What: critic.SpecRead, Generation: generation, Digest: string(got)})
				continue
			}
			select {
			case <-ctx.Done():
			case <-time.After(250 * time.Millisecond):
			}
		}
		// A spec that can't be read at all is as lost as a wrong one.
		if !isRead {
			o.stage.take(critic.Event{At: now(), What: critic.SpecRead, Generation: generation, Digest: "(unreadable)"})
		}
	}
}

// Play runs a scenario and judges it.
func Play(ctx context.Context, stage *Stage, scenario *Scenario, say func(string, ...any)) (*Report, error) {
	defer stage.Close()
	if scenario.needsCuts() {
		if err := stage.canCut(); err != nil {
			return nil, err
		}
	}
	say("opening %s: %d nodes, %d engines", stage.deployment.Name, len(stage.nodes), len(stage.engines))
	if err := stage.Open(ctx); err != nil {
		return nil, err
	}
	operator := &Operator{stage: stage, random: rand.New(rand.NewPCG(scenario.Seed, 7)), acked: map[uint64]string{}, orders: map[string]int{}}
	operator.putSpec(ctx, 0, "")
	opening, cancel := context.WithTimeout(ctx, 60*time.Second)
	err := stage.Ready(opening)
	cancel()
	if err != nil {
		return nil, err
	}
	say("every router is ready")

	span := house.Micros(scenario.SpanMS) * house.Millisecond
	scene, end := context.WithCancel(ctx)
	defer end()
	var workers sync.WaitGroup
	workers.Go(func() {
		for scene.Err() == nil {
			stage.scrape(scene)
			select {
			case <-scene.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	callsLog := filepath.Join(stage.folder, "calls.jsonl")
	callers, err := stage.startClaque(scenario, callsLog)
	if err != nil {
		return nil, err
	}
	stage.act(scene, scenario, operator, say)
	// Callers end by themselves: the span, and then their patience with open streams.
	select {
	case <-callers.ended:
	case <-time.After(span.Duration() + 60*time.Second):
		stage.problem("the callers did not come to an end")
		callers.halt()
	}
	say("the callers are done")
	operator.readBack(ctx)
	stage.scrape(ctx)
	end()
	workers.Wait()
	report, err := stage.report(scenario, operator, callsLog)
	return report, err
}

func (s *Stage) startClaque(scenario *Scenario, log string) (*actor, error) {
	words := []string{"--kinds", scenario.Deployment, "--rate", fmt.Sprint(scenario.Rate), "--span-us", fmt.Sprint(scenario.SpanMS * 1000),
		"--seed", fmt.Sprint(scenario.Seed), "--hot", fmt.Sprint(scenario.Hot), "--log", log}
	for _, node := range s.nodes {
		words = append(words, "--node", node.public)
	}
	callers := &actor{name: "claque", program: "claque", words: words}
	return callers, s.start(callers)
}

// act does the scenario's steps, each at its moment.
func (s *Stage) act(ctx context.Context, scenario *Scenario, operator *Operator, say func(string, ...any)) {
	begun := time.Now()
	var steps sync.WaitGroup
	defer steps.Wait()
	number := 0
	for _, step := range scenario.Steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begun.Add(time.Duration(step.AtMS) * time.Millisecond))):
		}
		first := number + 1
		number += max(step.Count, 2)
		steps.Go(func() {
			say("%6d ms  %s %s", step.AtMS, step.Do, step.Target)
			if err := s.step(ctx, step, first, operator); err != nil {
				s.problem("step at %d ms, %s %s: %v", step.AtMS, step.Do, step.Target, err)
			}
		})
	}
}

func (s *Stage) cutFor(ctx context.Context, ms int64, chosen ...*actor) error {
	if err := s.cut(chosen, 1); err != nil {
		return err
	}
	pause(ctx, ms)
	return s.cut(chosen, -1)
}

// took notes that a fault takes an actor.
func (s *Stage) took(a *actor) {
	if a.peer == "" {
		s.take(critic.Event{At: now(), What: critic.EngineFailed, Engine: a.name})
		return
	}
	s.take(critic.Event{At: now(), What: critic.NodeKilled, Node: a.public})
}

func pause(ctx context.Context, ms int64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
}

// again starts actors anew after a while; zero means never.
func (s *Stage) again(ctx context.Context, ms int64, actors ...*actor) error {
	if ms == 0 {
		return nil
	}
	pause(ctx, ms)
	for _, a := range actors {
		if err := s.start(a); err != nil {
			return err
		}
		if a.start != 0 {
			if err := s.list(a, "serving"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Stage) step(ctx context.Context, step Step, number int, operator *Operator) error {
	var index int
	if n, err := fmt.Sscanf(step.Target, "engine:%d", &index); n == 1 && err == nil {
		return s.stepEngine(ctx, step, s.engines[index])
	}
	switch step.Do {
	case "spec":
		operator.putSpec(ctx, number, "")
		return nil
	case "storm":
		for i := range max(step.Count, 1) {
			operator.putSpec(ctx, number+i, "")
		}
		return nil
	case "clash":
		return operator.clash(ctx, number)
	case "empty":
		operator.zone(ctx, step.Target, true)
		if step.ForMS > 0 {
			pause(ctx, step.ForMS)
			operator.zone(ctx, step.Target, false)
		}
		return nil
	case "repaired":
		s.take(critic.Event{At: now(), What: critic.Repaired})
		return nil
	case "cut-zone":
		chosen := []*actor{}
		for _, node := range s.nodes {
			if node.zone == step.Target {
				chosen = append(chosen, node)
			}
		}
		return s.cutFor(ctx, step.ForMS, chosen...)
	case "kill-core", "kill-all", "kill-zone":
		chosen := []*actor{}
		for _, a := range append(append([]*actor{}, s.nodes...), s.engines...) {
			isEngine := a.peer == ""
			if step.Do == "kill-core" && a.data != "" || step.Do == "kill-all" && !isEngine || step.Do == "kill-zone" && a.zone == step.Target {
				chosen = append(chosen, a)
			}
		}
		for _, a := range chosen {
			s.took(a)
			a.signal(syscall.SIGKILL)
		}
		for _, a := range chosen {
			a.halt()
		}
		return s.again(ctx, step.ForMS, chosen...)
	}
	node, err := s.target(ctx, step.Target)
	if err != nil {
		return err
	}
	switch step.Do {
	case "cut":
		return s.cutFor(ctx, step.ForMS, node)
	case "kill":
		s.took(node)
		node.halt()
		return s.again(ctx, step.ForMS, node)
	case "wipe":
		s.took(node)
		node.halt()
		if node.data != "" {
			if err := os.RemoveAll(node.data); err != nil {
				return StageBreakdown{"wipe", err}
			}
		}
		return s.again(ctx, step.ForMS, node)
	case "freeze":
		node.signal(syscall.SIGSTOP)
		pause(ctx, step.ForMS)
		node.signal(syscall.SIGCONT)
		return nil
	case "stop":
		node.lock.Lock()
		ended := node.ended
		node.lock.Unlock()
		s.take(critic.Event{At: now(), What: critic.NodeStopping, Node: node.public})
		node.signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(150 * time.Second):
			s.problem("%s did not stop", node.name)
			node.halt()
		}
		s.take(critic.Event{At: now(), What: critic.NodeStopped, Node: node.public})
		return s.again(ctx, step.ForMS, node)
	}
	return StageBreakdown{"step", StageMissing{step.Do}}
}

func (s *Stage) stepEngine(ctx context.Context, step Step, engine *actor) error {
	faults := func(content string) error {
		_, _, _, err := do(ctx, http.MethodPut, "http://"+engine.public+"/control/faults", []byte(content), nil)
		return err
	}
	failed := func() { s.take(critic.Event{At: now(), What: critic.EngineFailed, Engine: engine.name}) }
	switch step.Do {
	case "engine-kill":
		failed()
		engine.halt()
		return s.again(ctx, step.ForMS, engine)
	case "engine-freeze":
		failed()
		engine.signal(syscall.SIGSTOP)
		pause(ctx, step.ForMS)
		engine.signal(syscall.SIGCONT)
		return nil
	case "engine-dark":
		failed()
		if err := faults(`{"dark":true}`); err != nil {
			return err
		}
		pause(ctx, step.ForMS)
		return faults(`{}`)
	case "engine-break":
		failed()
		return faults(`{"break_after":700}`)
	case "not-run":
		return faults(fmt.Sprintf(`{"not_run":%d}`, max(step.Count, 1)))
	case "engine-retire":
		if _, _, _, err := do(ctx, http.MethodPut, "http://"+engine.public+"/control/leave", nil, nil); err != nil {
			return err
		}
		// Some node learns of it with the next report, which is half a second late.
		s.take(critic.Event{At: now() + 1500*house.Millisecond, What: critic.EngineLeaving, Engine: engine.name, Start: engine.start})
		pause(ctx, 6000)
		failed()
		engine.halt()
		return s.again(ctx, max(step.ForMS, 500), engine)
	case "engine-leave":
		node := s.nodes[int(engine.start)%len(s.nodes)]
		marked := now()
		status, _, body, err := do(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/engines/%s/leaving?start=%d", node.public, engine.name, engine.start), nil, nil)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return StageBreakdown{"mark " + engine.name, StageMissing{string(body)}}
		}
		s.take(critic.Event{At: marked, What: critic.EngineLeaving, Engine: engine.name, Start: engine.start})
		pause(ctx, 5000)
		failed()
		engine.halt()
		return s.again(ctx, max(step.ForMS, 500), engine)
	}
	return StageBreakdown{"step", StageMissing{step.Do}}
}

// clash puts two specs on one base; at most one may get a yes.
func (o *Operator) clash(ctx context.Context, number int) error {
	view, err := o.stage.Fleet(ctx)
	if err != nil {
		return err
	}
	base := strconv.FormatUint(view.SpecGeneration, 10)
	var both sync.WaitGroup
	both.Go(func() { o.putSpec(ctx, number, base) })
	both.Go(func() { o.putSpec(ctx, number+1, base) })
	both.Wait()
	return nil
}

func readEvents(path string) ([]critic.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, StageBreakdown{"read events", err}
	}
	defer file.Close()
	events := []critic.Event{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event critic.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil, StageBreakdown{"read " + path, err}
		}
		events = append(events, event)
	}
	if err := lines.Err(); err != nil {
		return nil, StageBreakdown{"read " + path, err}
	}
	return events, nil
}

func (s *Stage) report(scenario *Scenario, operator *Operator, callsLog string) (*Report, error) {
	paths, err := filepath.Glob(filepath.Join(s.folder, "engine-*.jsonl"))
	if err != nil {
		return nil, StageBreakdown{"list events", err}
	}
	s.lock.Lock()
	events := append([]critic.Event(nil), s.events...)
	s.lock.Unlock()
	for _, path := range append(paths, callsLog) {
		more, err := readEvents(path)
		if err != nil {
			return nil, err
		}
		events = append(events, more...)
	}
	report := &Report{Scenario: scenario.Name, Deployment: scenario.Deployment, Seed: scenario.Seed, Counters: map[string]float64{}, Orders: operator.orders}
	for _, name := range []string{"requests_total", "rounds_first_total", "retries_total", "resumes_total", "diverts_total", "admission_diverts_total",
		"served_total", "callers_gone_total", "declined_total", "broken_total", "peer_bytes_sent_total", "peer_messages_sent_total", "peer_messages_dropped_total"} {
		report.Counters[name] = s.total("dunlinloom_" + name)
	}
	report.Counters["peer_bytes_between_zones"] = s.crossed()
	events = append(events, critic.Event{At: now(), What: critic.Totals,
		First: uint64(report.Counters["rounds_first_total"]), Retries: uint64(report.Counters["retries_total"])})
	report.Review = critic.Judge(events, critic.BriefBounds())
	if report.Review.Calls > 0 {
		report.ServedShare = float64(report.Review.Outcomes[string(critic.Served)]) / float64(report.Review.Calls)
	}
	callers, served := map[string]bool{}, map[string]bool{}
	for _, event := range events {
		if event.What == critic.CallEnded {
			caller, _, _ := strings.Cut(event.Tag, "/")
			callers[caller] = true
			if event.Outcome == critic.Served {
				served[caller] = true
			}
		}
	}
	if len(callers) > 0 {
		report.CallersServed = float64(len(served)) / float64(len(callers))
	}
	s.lock.Lock()
	report.Problems = s.problems
	s.lock.Unlock()
	return report, nil
}
