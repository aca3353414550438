package rehearsal

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
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
	// Crossing is the bytes that nodes encoded for nodes of other zones, by kind of message.
	Crossing map[string]float64 `json:"crossing_bytes_by_kind"`
	Orders   map[string]int     `json:"orders"`
	Problems []string           `json:"problems,omitempty"`
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

// spec makes the number-th spec of a rehearsal; its bytes differ with the number, and
// it leaves one pool out. More bindings than the kinds need make it large.
func (s *Stage) spec(number, more int) (content []byte, pools []string) {
	kinds, _ := claque.KindsOf(s.deployment.Name)
	bindings, shares := []any{}, []any{}
	for i := range poolCount {
		if i != number%poolCount {
			pools = append(pools, fmt.Sprintf("p%d", i))
			shares = append(shares, map[string]any{"pool": pools[len(pools)-1], "weight": 100 + number%7})
		}
	}
	for i := range more {
		bindings = append(bindings, map[string]any{"name": fmt.Sprintf("more-%d", i), "match": map[string]any{"kind": fmt.Sprintf("no-such-%d", i)}, "shares": shares[:1]})
	}
	for _, kind := range kinds {
		bindings = append(bindings, map[string]any{
			"name": fmt.Sprintf("%s-%d", kind.Name, number), "match": map[string]any{"kind": kind.Name},
			"shares": shares, "ttftLimitUs": 8_000_000,
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
	return content, pools
}

func (o *Operator) node() *actor {
	nodes := o.stage.members()
	o.lock.Lock()
	defer o.lock.Unlock()
	return nodes[o.random.IntN(len(nodes))]
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
	o.putLarge(ctx, number, 0, base)
}

// putLarge puts a spec with so many bindings more than the kinds need.
func (o *Operator) putLarge(ctx context.Context, number, more int, base string) (isYes bool) {
	spec, pools := o.stage.spec(number, more)
	path := "/v1/spec"
	if base != "" {
		path += "?base=" + url.QueryEscape(base)
	}
	o.order(ctx, "spec", http.MethodPut, path, spec,
		func(id string) {
			o.stage.take(critic.Event{At: now(), What: critic.SpecSent, ID: id, Digest: digest(spec), Pools: pools})
		},
		func(receipt flyloft.SubmitReceipt) {
			isYes = receipt.Outcome == flyloft.Yes
			event := critic.Event{At: now(), What: critic.SpecYes, ID: receipt.ID, Generation: receipt.Generation, Digest: digest(spec)}
			if receipt.Outcome == flyloft.No {
				event.What, event.Reason = critic.SpecNo, receipt.Reason
			} else {
				o.lock.Lock()
				o.acked[receipt.Generation] = digest(spec)
				o.lock.Unlock()
			}
			o.stage.take(event)
		})
	return isYes
}

// digest stands for a spec in the events, where megabytes would only be in the way.
func digest(spec []byte) string { return fmt.Sprintf("%x", sha256.Sum256(spec)) }

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
				o.stage.take(critic.Event{At: now(), What: critic.SpecRead, Generation: generation, Digest: digest(got)})
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

// readNow reads the spec in force and the emptied zones at every node that serves.
func (o *Operator) readNow(ctx context.Context) {
	for _, node := range o.stage.members() {
		if status, _, _, err := do(ctx, http.MethodGet, "http://"+node.public+"/readyz", nil, nil); err != nil || status != http.StatusOK {
			continue
		}
		status, _, got, err := do(ctx, http.MethodGet, "http://"+node.public+"/v1/fleet", nil, nil)
		var view wings.FleetView
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(got, &view)
		}
		if err != nil || status != http.StatusOK {
			o.stage.problem("the fleet can't be read at %s: status %d, %v", node.name, status, err)
			continue
		}
		o.stage.take(critic.Event{At: now(), What: critic.SpecCurrent, Node: node.public, Generation: view.SpecGeneration})
		o.stage.take(critic.Event{At: now(), What: critic.ZonesRead, Node: node.public, Zones: slices.Sorted(maps.Keys(view.Evacuated))})
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
	callers, err := stage.startClaque(scenario, callsLog, "c", scenario.Rate, scenario.Hot, scenario.SpanMS)
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
	operator.readNow(ctx)
	stage.scrape(ctx)
	end()
	workers.Wait()
	report, err := stage.report(scenario, operator, callsLog)
	return report, err
}

func (s *Stage) startClaque(scenario *Scenario, log, name string, rate, hot float64, spanMS int64) (*actor, error) {
	words := []string{"--kinds", scenario.Deployment, "--rate", fmt.Sprint(rate), "--span-us", fmt.Sprint(spanMS * 1000), "--prefix", name,
		"--seed", fmt.Sprint(scenario.Seed), "--hot", fmt.Sprint(hot), "--log", log, "--nodes-file", s.nodesFile()}
	if err := s.tellNodes(); err != nil {
		return nil, err
	}
	callers := &actor{name: "claque-" + name, program: "claque", words: words}
	return callers, s.start(callers)
}

func (s *Stage) nodesFile() string { return filepath.Join(s.folder, "nodes.json") }

// tellNodes writes down which nodes there are, for the callers' side of the platform.
func (s *Stage) tellNodes() error {
	nodes := []claque.Node{}
	for _, node := range s.members() {
		nodes = append(nodes, claque.Node{Address: node.public, Zone: node.zone})
	}
	content, err := json.Marshal(nodes)
	if err != nil {
		return StageBreakdown{"encode the nodes", err}
	}
	if err := os.WriteFile(s.nodesFile()+".new", content, 0o644); err != nil {
		return StageBreakdown{"write the nodes", err}
	}
	if err := os.Rename(s.nodesFile()+".new", s.nodesFile()); err != nil {
		return StageBreakdown{"write the nodes", err}
	}
	return nil
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

func (s *Stage) cutFor(ctx context.Context, ms int64, ways int, chosen, others []*actor) error {
	if err := s.cut(chosen, others, ways, 1); err != nil {
		return err
	}
	pause(ctx, ms)
	return s.cut(chosen, others, ways, -1)
}

// during has something fail on purpose for a while.
func (s *Stage) during(ctx context.Context, ms int64, begin, end func()) error {
	if err := s.mishap(begin); err != nil {
		return err
	}
	pause(ctx, ms)
	return s.mishap(end)
}

func (s *Stage) diskFails(ctx context.Context, node *actor, ms int64, how wings.DiskMishap) error {
	return s.during(ctx, ms, func() { s.disks[node.peer] = how }, func() { delete(s.disks, node.peer) })
}

// core gives the nodes that have a data folder.
func (s *Stage) core() []*actor {
	return slices.DeleteFunc(s.members(), func(node *actor) bool { return node.data == "" })
}

// takePlace replaces a node and, of a prompter, waits until the core is whole again.
func (s *Stage) takePlace(ctx context.Context, node *actor, ms int64) error {
	s.took(node)
	fresh := s.replace(node)
	if err := s.tellNodes(); err != nil {
		return err
	}
	pause(ctx, ms)
	if err := s.start(fresh); err != nil {
		return err
	}
	// The next one may go once the core is whole without this one.
	for begun := time.Now(); node.data != "" && !s.isDropped(ctx, node.peer); pause(ctx, 200) {
		if time.Since(begun) > 40*time.Second || ctx.Err() != nil {
			return StageBreakdown{"replace " + node.name, StageMissing{fresh.peer}}
		}
	}
	return nil
}

// repair starts every process and lifts every fault.
func (s *Stage) repair(ctx context.Context) error {
	for _, a := range append(s.members(), s.engines...) {
		a.signal(syscall.SIGCONT)
		if err := s.raise(a); err != nil {
			return err
		}
	}
	repaired := critic.Event{At: now(), What: critic.Repaired}
	for _, node := range s.members() {
		repaired.Roster = append(repaired.Roster, node.public)
	}
	kinds, _ := claque.KindsOf(s.deployment.Name)
	for _, kind := range kinds {
		repaired.Kinds = append(repaired.Kinds, kind.Name)
	}
	s.take(repaired)
	return s.mishap(func() {
		s.cuts, s.lossy, s.disks = map[string]int{}, wings.WayMishap{}, map[string]wings.DiskMishap{}
	})
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
		if err := s.raise(a); err != nil {
			return err
		}
	}
	return nil
}

// raise starts an actor that does not run, and has the platform list an engine.
func (s *Stage) raise(a *actor) error {
	if err := s.start(a); err != nil {
		return err
	}
	if a.start == 0 {
		return nil
	}
	s.take(critic.Event{At: now(), What: critic.EngineMended, Engine: a.name})
	return s.list(a, "serving")
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
		if err := s.repair(ctx); err != nil {
			return err
		}
		// An order is part of what has to work again.
		pause(ctx, 12_500)
		operator.putSpec(ctx, number, "")
		return nil
	case "cut-zone":
		chosen := slices.DeleteFunc(s.members(), func(node *actor) bool { return node.zone != step.Target })
		return s.cutFor(ctx, step.ForMS, wayOut|wayIn, chosen, s.members())
	case "split-core":
		core := s.core()
		return s.cutFor(ctx, step.ForMS, wayOut|wayIn, core[:len(core)/2], core[len(core)/2:])
	case "lossy":
		return s.during(ctx, step.ForMS, func() { s.lossy = wings.WayMishap{Loss: 0.2, Double: 0.1, DelayUS: 50_000} },
			func() { s.lossy = wings.WayMishap{} })
	case "swap-core":
		for _, node := range s.core() {
			if err := s.takePlace(ctx, node, 500); err != nil {
				return err
			}
		}
		return nil
	case "roll":
		var rolled sync.WaitGroup
		defer rolled.Wait()
		for _, engine := range s.engines {
			rolled.Go(func() {
				if err := s.stepEngine(ctx, Step{Do: "engine-retire", ForMS: 500}, engine); err != nil {
					s.problem("roll %s: %v", engine.name, err)
				}
			})
			pause(ctx, step.ForMS)
		}
		return nil
	case "list-lag":
		if err := s.listLag(ctx, int64(step.Count)*1000); err != nil {
			return err
		}
		pause(ctx, step.ForMS)
		return s.listLag(ctx, 500_000)
	case "crowd", "hot-crowd":
		hot := 0.0
		if step.Do == "hot-crowd" {
			hot = 0.9
		}
		name := fmt.Sprintf("crowd%d", step.AtMS)
		crowd, err := s.startClaque(&Scenario{Deployment: s.deployment.Name, Seed: uint64(step.AtMS)}, filepath.Join(s.folder, "calls-"+name+".jsonl"), name, float64(step.Count), hot, step.ForMS)
		if err != nil {
			return err
		}
		select {
		case <-crowd.ended:
		case <-ctx.Done():
			crowd.halt()
		}
		return nil
	case "large-spec":
		operator.putLarge(ctx, number, step.Count, "")
		return nil
	case "kill-core", "kill-all", "kill-zone":
		chosen := []*actor{}
		for _, a := range append(s.members(), s.engines...) {
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
		return s.cutFor(ctx, step.ForMS, wayOut|wayIn, []*actor{node}, s.members())
	case "cut-out":
		return s.cutFor(ctx, step.ForMS, wayOut, []*actor{node}, s.members())
	case "cut-in":
		return s.cutFor(ctx, step.ForMS, wayIn, []*actor{node}, s.members())
	case "disk-slow":
		return s.diskFails(ctx, node, step.ForMS, wings.DiskMishap{SlowUS: int64(step.Count) * 1000})
	case "disk-stall":
		return s.diskFails(ctx, node, step.ForMS, wings.DiskMishap{IsStalled: true})
	case "disk-full":
		return s.diskFails(ctx, node, step.ForMS, wings.DiskMishap{IsFull: true})
	case "power-at-yes":
		operator.putSpec(ctx, number, "")
		fallthrough
	case "power":
		s.took(node)
		if err := s.cutPower(node); err != nil {
			return err
		}
		return s.again(ctx, step.ForMS, node)
	case "replace":
		return s.takePlace(ctx, node, step.ForMS)
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
	case "stop-short":
		s.take(critic.Event{At: now(), What: critic.NodeStopping, Node: node.public})
		node.signal(syscall.SIGTERM)
		pause(ctx, int64(step.Count))
		// What is torn from here on is the kill's, and nobody's who promised to drain.
		s.took(node)
		node.halt()
		return s.again(ctx, step.ForMS, node)
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
	case "engine-gone":
		failed()
		engine.halt()
		if _, _, _, err := do(ctx, http.MethodDelete, "http://"+s.platform.public+"/control/engines/"+engine.name, nil, nil); err != nil {
			return err
		}
		return s.again(ctx, step.ForMS, engine)
	case "engine-freeze":
		failed()
		engine.signal(syscall.SIGSTOP)
		pause(ctx, step.ForMS)
		engine.signal(syscall.SIGCONT)
		s.take(critic.Event{At: now(), What: critic.EngineMended, Engine: engine.name})
		return nil
	case "engine-dark":
		failed()
		if err := faults(`{"dark":true}`); err != nil {
			return err
		}
		pause(ctx, step.ForMS)
		s.take(critic.Event{At: now(), What: critic.EngineMended, Engine: engine.name})
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
		nodes := s.members()
		node := nodes[int(engine.start)%len(nodes)]
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

func (s *Stage) listLag(ctx context.Context, us int64) error {
	_, _, _, err := do(ctx, http.MethodPut, "http://"+s.platform.public+"/control/lag", []byte(fmt.Sprint(us)), nil)
	return err
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
	crowds, crowdErr := filepath.Glob(filepath.Join(s.folder, "calls-*.jsonl"))
	if err := errors.Join(err, crowdErr); err != nil {
		return nil, StageBreakdown{"list events", err}
	}
	paths = append(paths, crowds...)
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
	report.Counters["owners_longest_us"] = s.most("dunlinloom_owners_longest_us")
	report.Counters["peer_bytes_between_zones"], report.Crossing = s.crossed()
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
