package localfleet

// This file holds the scenario steps that act on the whole fleet, on a zone or on the platform's list.

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"dunlinloom/internal/server"
)

const (
	// settleSpanMS is the time after a repair by which operator requests have to succeed again.
	settleSpanMS    = 12_500
	normalListLagUS = 500_000
	hotShare        = 0.9 // share of an overload's requests that use one prefix of each kind
)

func (run stepRun) putConfig(ctx context.Context) error {
	run.operator.putConfig(ctx, run.number, noBase)
	return nil
}

func (run stepRun) putManyConfigs(ctx context.Context) error {
	for i := range max(run.step.Count, 1) {
		run.operator.putConfig(ctx, run.number+i, noBase)
	}
	return nil
}

func (run stepRun) putLargeConfig(ctx context.Context) error {
	run.operator.putConfigOfSize(ctx, run.number, run.step.Count, noBase)
	return nil
}

func (run stepRun) putTwoConfigs(ctx context.Context) error {
	return run.operator.putTwoOnOneBase(ctx, run.number)
}

func (run stepRun) drainZone(ctx context.Context) error {
	run.operator.zone(ctx, run.step.Target, true)
	if run.step.ForMS > 0 {
		pause(ctx, run.step.ForMS)
		run.operator.zone(ctx, run.step.Target, false)
	}
	return nil
}

func (run stepRun) repair(ctx context.Context) error {
	if err := run.cluster.repair(); err != nil {
		return err
	}
	// Changing the configuration is part of what has to work again.
	pause(ctx, settleSpanMS)
	return run.putConfig(ctx)
}

func (run stepRun) cutZone(ctx context.Context) error {
	outside := func(node *process) bool { return node.zone != run.step.Target }
	chosen := slices.DeleteFunc(run.cluster.members(), outside)
	return run.cluster.cutFor(ctx, run.step.ForMS, outgoing|incoming, chosen, run.cluster.members())
}

func (run stepRun) splitCore(ctx context.Context) error {
	core := run.cluster.core()
	half := len(core) / 2
	return run.cluster.cutFor(ctx, run.step.ForMS, outgoing|incoming, core[:half], core[half:])
}

func (run stepRun) loseMessages(ctx context.Context) error {
	set := func(fault server.LinkFault) func() error {
		return func() error { return run.cluster.faults.SetLinks(fault) }
	}
	return failFor(ctx, run.step.ForMS, set(server.LinkFault{Loss: 0.2, Double: 0.1, DelayUS: 50_000}), set(server.LinkFault{}))
}

func (run stepRun) replaceCore(ctx context.Context) error {
	for _, node := range run.cluster.core() {
		if err := run.cluster.replaceAndWait(ctx, node, 500); err != nil {
			return err
		}
	}
	return nil
}

// retireAllEngines retires the engines one after another, at intervals of the step's for_ms.
func (run stepRun) retireAllEngines(ctx context.Context) error {
	var retired sync.WaitGroup
	defer retired.Wait()
	one := run
	one.step = Step{Do: "engine-retire", ForMS: 500}
	for _, engine := range run.cluster.engines {
		retired.Go(func() {
			if err := one.retireEngine(ctx, engine); err != nil {
				run.cluster.addFailure("retire engine %s: %v", engine.name, err)
			}
		})
		pause(ctx, run.step.ForMS)
	}
	return nil
}

func (run stepRun) delayListing(ctx context.Context) error {
	if err := run.cluster.setListLag(ctx, int64(run.step.Count)*1000); err != nil {
		return err
	}
	pause(ctx, run.step.ForMS)
	return run.cluster.setListLag(ctx, normalListLagUS)
}

// overload runs an additional load generator for the step's for_ms.
func (run stepRun) overload(ctx context.Context) error {
	hot := 0.0
	if run.step.Do == "hot-crowd" {
		hot = hotShare
	}
	name := fmt.Sprintf("crowd%d", run.step.AtMS)
	log := filepath.Join(run.cluster.folder, "calls-"+name+".jsonl")
	load := &Scenario{Deployment: run.cluster.deployment.Name, Seed: uint64(run.step.AtMS)}
	loadgen, err := run.cluster.startLoadgen(load, log, name, float64(run.step.Count), hot, run.step.ForMS)
	if err != nil {
		return err
	}
	select {
	case <-loadgen.Ended():
	case <-ctx.Done():
		loadgen.halt()
	}
	return nil
}

// killMany kills the controllers, all nodes, or all processes of a zone at once.
func (run stepRun) killMany(ctx context.Context) error {
	chosen := slices.DeleteFunc(append(run.cluster.members(), run.cluster.engines...), func(candidate *process) bool {
		return !run.wantsKill(candidate)
	})
	for _, victim := range chosen {
		run.cluster.recordFailure(victim)
		victim.signal(syscall.SIGKILL)
	}
	for _, victim := range chosen {
		victim.halt()
	}
	return run.cluster.restartAfter(ctx, run.step.ForMS, chosen...)
}

func (run stepRun) wantsKill(candidate *process) bool {
	switch run.step.Do {
	case "kill-core":
		return candidate.data != ""
	case "kill-all":
		return candidate.peer != ""
	default:
		return candidate.zone == run.step.Target
	}
}
