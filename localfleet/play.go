package localfleet

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

	"dunlinloom/checker"
	"dunlinloom/control"
	"dunlinloom/kernel"
	"dunlinloom/loadgen"
	"dunlinloom/relay"
	"dunlinloom/server"
)

// Report is what a local fleet run ends with.
type Report struct {
	Scenario    string         `json:"scenario"`
	Deployment  string         `json:"deployment"`
	Seed        uint64         `json:"seed"`
	Review      checker.Review `json:"review"`
	ServedShare float64        `json:"served_share"` // of all tries
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
	cluster *Cluster
	lock    sync.Mutex
	random  *rand.Rand
	count   int
	acked   map[uint64]string // revision to the digest of its configuration
	orders  map[string]int
}

// configuration makes the number-th configuration of a local fleet run; its bytes differ with the number, and
// it leaves one pool out. More bindings than the kinds need make it large.
func (s *Cluster) config(number, more int) (content []byte, pools []string) {
	kinds, _ := loadgen.KindsOf(s.deployment.Name)
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
		panic(ClusterError{"encode a spec", err})
	}
	return content, pools
}

func (o *Operator) node() *actor {
	nodes := o.cluster.members()
	o.lock.Lock()
	defer o.lock.Unlock()
	return nodes[o.random.IntN(len(nodes))]
}

// order sends one order until it is answered for good, as an operator would: the
// same id again at another node.
func (o *Operator) order(ctx context.Context, name, method, path string, body []byte, onSent func(id string), onEnd func(control.SubmitReply)) {
	o.lock.Lock()
	o.count++
	id := fmt.Sprintf("%s-%d", name, o.count)
	o.lock.Unlock()
	onSent(id)
	for try := 0; try < 12 && ctx.Err() == nil; try++ {
		node := o.node()
		status, _, got, err := do(ctx, method, "http://"+node.public+path, body, map[string]string{server.HeaderSubmission: id})
		var reply control.SubmitReply
		if err == nil {
			err = json.Unmarshal(got, &reply)
		}
		isFinal := err == nil && (reply.Outcome == control.Yes || reply.Outcome == control.No)
		if !isFinal {
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		o.lock.Lock()
		o.orders[name+" "+string(reply.Outcome)+" "+reply.Reason]++
		o.lock.Unlock()
		_ = status
		onEnd(reply)
		return
	}
	o.lock.Lock()
	o.orders[name+" unanswered"]++
	o.lock.Unlock()
}

func (o *Operator) putConfig(ctx context.Context, number int, base string) {
	o.putLarge(ctx, number, 0, base)
}

// putLarge puts a configuration with so many bindings more than the kinds need.
func (o *Operator) putLarge(ctx context.Context, number, more int, base string) (isYes bool) {
	config, pools := o.cluster.config(number, more)
	path := "/v1/spec"
	if base != "" {
		path += "?base=" + url.QueryEscape(base)
	}
	o.order(ctx, "spec", http.MethodPut, path, config,
		func(id string) {
			o.cluster.take(checker.Event{At: now(), What: checker.ConfigSent, ID: id, Digest: digest(config), Pools: pools})
		},
		func(reply control.SubmitReply) {
			isYes = reply.Outcome == control.Yes
			event := checker.Event{At: now(), What: checker.ConfigYes, ID: reply.ID, Revision: reply.Revision, Digest: digest(config)}
			if reply.Outcome == control.No {
				event.What, event.Reason = checker.ConfigNo, reply.Reason
			} else {
				o.lock.Lock()
				o.acked[reply.Revision] = digest(config)
				o.lock.Unlock()
			}
			o.cluster.take(event)
		})
	return isYes
}

// digest stands for a configuration in the events, where megabytes would only be in the way.
func digest(config []byte) string { return fmt.Sprintf("%x", sha256.Sum256(config)) }

func (o *Operator) zone(ctx context.Context, zone string, isEmpty bool) {
	method, name := http.MethodPut, "empty"
	if !isEmpty {
		method, name = http.MethodDelete, "refill"
	}
	o.order(ctx, name, method, "/v1/zones/"+zone+"/evacuation", nil,
		func(string) {
			// From the moment a refill is asked for, requests may go there again.
			if !isEmpty {
				o.cluster.take(checker.Event{At: now(), What: checker.ZoneRefilling, Zone: zone})
			}
		},
		func(reply control.SubmitReply) {
			if !isEmpty {
				o.cluster.take(checker.Event{At: now(), What: checker.ZoneRefilled, Zone: zone, Revision: reply.Revision})
			}
			if isEmpty && reply.Outcome == control.Yes {
				o.cluster.take(checker.Event{At: now(), What: checker.ZoneEmptied, Zone: zone, Revision: reply.Revision})
			}
		})
}

// readBack reads every acknowledged configuration under its revision.
func (o *Operator) readBack(ctx context.Context) {
	o.lock.Lock()
	acked := map[uint64]string{}
	for revision, digest := range o.acked {
		acked[revision] = digest
	}
	o.lock.Unlock()
	// The whole history too, or a rejected configuration that took effect would not be seen.
	if status, _, got, err := do(ctx, http.MethodGet, "http://"+o.node().public+"/v1/spec/history", nil, nil); err == nil && status == http.StatusOK {
		var history struct {
			Revisions []uint64 `json:"generations"`
		}
		if err := json.Unmarshal(got, &history); err != nil {
			o.cluster.problem("the history can't be read: %v", err)
		}
		for _, revision := range history.Revisions {
			acked[revision] = ""
		}
	} else {
		o.cluster.problem("the history can't be read: status %d, %v", status, err)
	}
	for revision := range acked {
		isRead := false
		for try := 0; try < 40 && !isRead && ctx.Err() == nil; try++ {
			status, headers, got, err := do(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/spec?generation=%d", o.node().public, revision), nil, nil)
			if err == nil && status == http.StatusOK && headers.Get(relay.HeaderRevision) == strconv.FormatUint(revision, 10) {
				isRead = true
				o.cluster.take(checker.Event{At: now(), What: checker.ConfigRead, Revision: revision, Digest: digest(got)})
				continue
			}
			select {
			case <-ctx.Done():
			case <-time.After(250 * time.Millisecond):
			}
		}
		// A configuration that can't be read at all is as lost as a wrong one.
		if !isRead {
			o.cluster.take(checker.Event{At: now(), What: checker.ConfigRead, Revision: revision, Digest: "(unreadable)"})
		}
	}
}

// readNow reads the configuration in force and the emptied zones at every node that serves.
func (o *Operator) readNow(ctx context.Context) {
	for _, node := range o.cluster.members() {
		if status, _, _, err := do(ctx, http.MethodGet, "http://"+node.public+"/readyz", nil, nil); err != nil || status != http.StatusOK {
			continue
		}
		status, _, got, err := do(ctx, http.MethodGet, "http://"+node.public+"/v1/fleet", nil, nil)
		var view server.FleetView
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(got, &view)
		}
		if err != nil || status != http.StatusOK {
			o.cluster.problem("the fleet can't be read at %s: status %d, %v", node.name, status, err)
			continue
		}
		o.cluster.take(checker.Event{At: now(), What: checker.ConfigCurrent, Node: node.public, Revision: view.ConfigRevision})
		o.cluster.take(checker.Event{At: now(), What: checker.ZonesRead, Node: node.public, Zones: slices.Sorted(maps.Keys(view.Drained))})
	}
}

// Play runs a scenario and judges it.
func Play(ctx context.Context, cluster *Cluster, scenario *Scenario, say func(string, ...any)) (*Report, error) {
	defer cluster.Close()
	if scenario.needsCuts() {
		if err := cluster.canCut(); err != nil {
			return nil, err
		}
	}
	say("opening %s: %d nodes, %d engines", cluster.deployment.Name, len(cluster.nodes), len(cluster.engines))
	if err := cluster.Open(ctx); err != nil {
		return nil, err
	}
	operator := &Operator{cluster: cluster, random: rand.New(rand.NewPCG(scenario.Seed, 7)), acked: map[uint64]string{}, orders: map[string]int{}}
	operator.putConfig(ctx, 0, "")
	opening, cancel := context.WithTimeout(ctx, 60*time.Second)
	err := cluster.Ready(opening)
	cancel()
	if err != nil {
		return nil, err
	}
	say("every router is ready")

	span := kernel.Micros(scenario.SpanMS) * kernel.Millisecond
	routingTable, end := context.WithCancel(ctx)
	defer end()
	var workers sync.WaitGroup
	workers.Go(func() {
		for routingTable.Err() == nil {
			cluster.scrape(routingTable)
			select {
			case <-routingTable.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	callsLog := filepath.Join(cluster.folder, "calls.jsonl")
	callers, err := cluster.startLoadgen(scenario, callsLog, "c", scenario.Rate, scenario.Hot, scenario.SpanMS)
	if err != nil {
		return nil, err
	}
	cluster.act(routingTable, scenario, operator, say)
	// Callers end by themselves: the span, and then their patience with open streams.
	select {
	case <-callers.ended:
	case <-time.After(span.Duration() + 60*time.Second):
		cluster.problem("the callers did not come to an end")
		callers.halt()
	}
	say("the callers are done")
	operator.readBack(ctx)
	operator.readNow(ctx)
	cluster.scrape(ctx)
	end()
	workers.Wait()
	report, err := cluster.report(scenario, operator, callsLog)
	return report, err
}

func (s *Cluster) startLoadgen(scenario *Scenario, log, name string, rate, hot float64, spanMS int64) (*actor, error) {
	words := []string{"--kinds", scenario.Deployment, "--rate", fmt.Sprint(rate), "--span-us", fmt.Sprint(spanMS * 1000), "--prefix", name,
		"--seed", fmt.Sprint(scenario.Seed), "--hot", fmt.Sprint(hot), "--log", log, "--nodes-file", s.nodesFile()}
	if err := s.tellNodes(); err != nil {
		return nil, err
	}
	callers := &actor{name: "loadgen-" + name, program: "loadgen", words: words}
	return callers, s.start(callers)
}

func (s *Cluster) nodesFile() string { return filepath.Join(s.folder, "nodes.json") }

// tellNodes writes down which nodes there are, for the callers' side of the platform.
func (s *Cluster) tellNodes() error {
	nodes := []loadgen.Node{}
	for _, node := range s.members() {
		nodes = append(nodes, loadgen.Node{Address: node.public, Zone: node.zone})
	}
	content, err := json.Marshal(nodes)
	if err != nil {
		return ClusterError{"encode the nodes", err}
	}
	if err := os.WriteFile(s.nodesFile()+".new", content, 0o644); err != nil {
		return ClusterError{"write the nodes", err}
	}
	if err := os.Rename(s.nodesFile()+".new", s.nodesFile()); err != nil {
		return ClusterError{"write the nodes", err}
	}
	return nil
}

// act does the scenario's steps, each at its moment.
func (s *Cluster) act(ctx context.Context, scenario *Scenario, operator *Operator, say func(string, ...any)) {
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

func (s *Cluster) cutFor(ctx context.Context, ms int64, ways int, chosen, others []*actor) error {
	if err := s.cut(chosen, others, ways, 1); err != nil {
		return err
	}
	pause(ctx, ms)
	return s.cut(chosen, others, ways, -1)
}

// during has something fail on purpose for a while.
func (s *Cluster) during(ctx context.Context, ms int64, begin, end func()) error {
	if err := s.fault(begin); err != nil {
		return err
	}
	pause(ctx, ms)
	return s.fault(end)
}

func (s *Cluster) diskFails(ctx context.Context, node *actor, ms int64, how server.DiskFault) error {
	return s.during(ctx, ms, func() { s.disks[node.peer] = how }, func() { delete(s.disks, node.peer) })
}

// core gives the nodes that have a data folder.
func (s *Cluster) core() []*actor {
	return slices.DeleteFunc(s.members(), func(node *actor) bool { return node.data == "" })
}

// takePlace replaces a node and, of a controller, waits until the core is whole again.
func (s *Cluster) takePlace(ctx context.Context, node *actor, ms int64) error {
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
			return ClusterError{"replace " + node.name, ClusterMissing{fresh.peer}}
		}
	}
	return nil
}

// repair starts every process and lifts every fault.
func (s *Cluster) repair(ctx context.Context) error {
	for _, a := range append(s.members(), s.engines...) {
		a.signal(syscall.SIGCONT)
		if err := s.raise(a); err != nil {
			return err
		}
	}
	repaired := checker.Event{At: now(), What: checker.Repaired}
	for _, node := range s.members() {
		repaired.Roster = append(repaired.Roster, node.public)
	}
	kinds, _ := loadgen.KindsOf(s.deployment.Name)
	for _, kind := range kinds {
		repaired.Kinds = append(repaired.Kinds, kind.Name)
	}
	s.take(repaired)
	return s.fault(func() {
		s.cuts, s.lossy, s.disks = map[string]int{}, server.LinkFault{}, map[string]server.DiskFault{}
	})
}

// took notes that a fault takes an actor.
func (s *Cluster) took(a *actor) {
	if a.peer == "" {
		s.take(checker.Event{At: now(), What: checker.EngineFailed, Engine: a.name})
		return
	}
	s.take(checker.Event{At: now(), What: checker.NodeKilled, Node: a.public})
}

func pause(ctx context.Context, ms int64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
}

// again starts actors anew after a while; zero means never.
func (s *Cluster) again(ctx context.Context, ms int64, actors ...*actor) error {
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
func (s *Cluster) raise(a *actor) error {
	if err := s.start(a); err != nil {
		return err
	}
	if a.start == 0 {
		return nil
	}
	s.take(checker.Event{At: now(), What: checker.EngineMended, Engine: a.name})
	return s.list(a, "serving")
}

func (s *Cluster) step(ctx context.Context, step Step, number int, operator *Operator) error {
	var index int
	if n, err := fmt.Sscanf(step.Target, "engine:%d", &index); n == 1 && err == nil {
		return s.stepEngine(ctx, step, s.engines[index])
	}
	switch step.Do {
	case "spec":
		operator.putConfig(ctx, number, "")
		return nil
	case "storm":
		for i := range max(step.Count, 1) {
			operator.putConfig(ctx, number+i, "")
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
		operator.putConfig(ctx, number, "")
		return nil
	case "cut-zone":
		chosen := slices.DeleteFunc(s.members(), func(node *actor) bool { return node.zone != step.Target })
		return s.cutFor(ctx, step.ForMS, wayOut|wayIn, chosen, s.members())
	case "split-core":
		core := s.core()
		return s.cutFor(ctx, step.ForMS, wayOut|wayIn, core[:len(core)/2], core[len(core)/2:])
	case "lossy":
		return s.during(ctx, step.ForMS, func() { s.lossy = server.LinkFault{Loss: 0.2, Double: 0.1, DelayUS: 50_000} },
			func() { s.lossy = server.LinkFault{} })
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
		overload, err := s.startLoadgen(&Scenario{Deployment: s.deployment.Name, Seed: uint64(step.AtMS)}, filepath.Join(s.folder, "calls-"+name+".jsonl"), name, float64(step.Count), hot, step.ForMS)
		if err != nil {
			return err
		}
		select {
		case <-overload.ended:
		case <-ctx.Done():
			overload.halt()
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
		return s.diskFails(ctx, node, step.ForMS, server.DiskFault{SlowUS: int64(step.Count) * 1000})
	case "disk-stall":
		return s.diskFails(ctx, node, step.ForMS, server.DiskFault{IsStalled: true})
	case "disk-full":
		return s.diskFails(ctx, node, step.ForMS, server.DiskFault{IsFull: true})
	case "power-at-yes":
		operator.putConfig(ctx, number, "")
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
				return ClusterError{"wipe", err}
			}
		}
		return s.again(ctx, step.ForMS, node)
	case "freeze":
		node.signal(syscall.SIGSTOP)
		pause(ctx, step.ForMS)
		node.signal(syscall.SIGCONT)
		return nil
	case "stop-short":
		s.take(checker.Event{At: now(), What: checker.NodeStopping, Node: node.public})
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
		s.take(checker.Event{At: now(), What: checker.NodeStopping, Node: node.public})
		node.signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(150 * time.Second):
			s.problem("%s did not stop", node.name)
			node.halt()
		}
		s.take(checker.Event{At: now(), What: checker.NodeStopped, Node: node.public})
		return s.again(ctx, step.ForMS, node)
	}
	return ClusterError{"step", ClusterMissing{step.Do}}
}

func (s *Cluster) stepEngine(ctx context.Context, step Step, engine *actor) error {
	faults := func(content string) error {
		_, _, _, err := do(ctx, http.MethodPut, "http://"+engine.public+"/control/faults", []byte(content), nil)
		return err
	}
	failed := func() { s.take(checker.Event{At: now(), What: checker.EngineFailed, Engine: engine.name}) }
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
		s.take(checker.Event{At: now(), What: checker.EngineMended, Engine: engine.name})
		return nil
	case "engine-dark":
		failed()
		if err := faults(`{"dark":true}`); err != nil {
			return err
		}
		pause(ctx, step.ForMS)
		s.take(checker.Event{At: now(), What: checker.EngineMended, Engine: engine.name})
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
		s.take(checker.Event{At: now() + 1500*kernel.Millisecond, What: checker.EngineLeaving, Engine: engine.name, Start: engine.start})
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
			return ClusterError{"mark " + engine.name, ClusterMissing{string(body)}}
		}
		s.take(checker.Event{At: marked, What: checker.EngineLeaving, Engine: engine.name, Start: engine.start})
		pause(ctx, 5000)
		failed()
		engine.halt()
		return s.again(ctx, max(step.ForMS, 500), engine)
	}
	return ClusterError{"step", ClusterMissing{step.Do}}
}

func (s *Cluster) listLag(ctx context.Context, us int64) error {
	_, _, _, err := do(ctx, http.MethodPut, "http://"+s.platform.public+"/control/lag", []byte(fmt.Sprint(us)), nil)
	return err
}

// clash puts two configurations on one base; at most one may get a yes.
func (o *Operator) clash(ctx context.Context, number int) error {
	view, err := o.cluster.Fleet(ctx)
	if err != nil {
		return err
	}
	base := strconv.FormatUint(view.ConfigRevision, 10)
	var both sync.WaitGroup
	both.Go(func() { o.putConfig(ctx, number, base) })
	both.Go(func() { o.putConfig(ctx, number+1, base) })
	both.Wait()
	return nil
}

func readEvents(path string) ([]checker.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, ClusterError{"read events", err}
	}
	defer file.Close()
	events := []checker.Event{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event checker.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil, ClusterError{"read " + path, err}
		}
		events = append(events, event)
	}
	if err := lines.Err(); err != nil {
		return nil, ClusterError{"read " + path, err}
	}
	return events, nil
}

func (s *Cluster) report(scenario *Scenario, operator *Operator, callsLog string) (*Report, error) {
	paths, err := filepath.Glob(filepath.Join(s.folder, "engine-*.jsonl"))
	crowds, overloadErr := filepath.Glob(filepath.Join(s.folder, "calls-*.jsonl"))
	if err := errors.Join(err, overloadErr); err != nil {
		return nil, ClusterError{"list events", err}
	}
	paths = append(paths, crowds...)
	s.lock.Lock()
	events := append([]checker.Event(nil), s.events...)
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
	events = append(events, checker.Event{At: now(), What: checker.Totals,
		First: uint64(report.Counters["rounds_first_total"]), Retries: uint64(report.Counters["retries_total"])})
	report.Review = checker.Judge(events, checker.BriefBounds())
	if report.Review.Calls > 0 {
		report.ServedShare = float64(report.Review.Outcomes[string(checker.Served)]) / float64(report.Review.Calls)
	}
	callers, served := map[string]bool{}, map[string]bool{}
	for _, event := range events {
		if event.What == checker.CallEnded {
			caller, _, _ := strings.Cut(event.Tag, "/")
			callers[caller] = true
			if event.Outcome == checker.Served {
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
