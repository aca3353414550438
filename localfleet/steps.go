package localfleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"dunlinloom/checker"
	"dunlinloom/loadgen"
	"dunlinloom/server"
)

// The steps of a scenario: what each verb does to nodes and to the fleet.

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

func (s *Cluster) listLag(ctx context.Context, us int64) error {
	_, _, _, err := do(ctx, http.MethodPut, "http://"+s.platform.public+"/control/lag", []byte(fmt.Sprint(us)), nil)
	return err
}
