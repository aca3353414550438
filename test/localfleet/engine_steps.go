package localfleet

// This file holds the scenario steps that act on one engine.

import (
	"context"
	"fmt"
	"net/http"
	"syscall"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

const (
	retireSpanMS  = 6000 // from the engine's own report that it is draining until it is killed
	drainSpanMS   = 5000 // from marking the engine as draining at a node until it is killed
	minDowntimeMS = 500  // before a drained engine is restarted
	reportDelay   = 1500 * kernel.Millisecond
	breakAfter    = 700 // bytes of a stream that are sent before it breaks
)

// engine resolves a step's target "engine:N" to an engine.
func (cluster *Cluster) engine(target string) (*process, error) {
	var index int
	if count, err := fmt.Sscanf(target, "engine:%d", &index); count != 1 || err != nil || index >= len(cluster.engines) {
		return nil, ClusterError{"find " + target, ProcessMissingError{target}}
	}
	return cluster.engines[index], nil
}

// setFaults replaces the injected faults of an emulator; faults is the JSON body of its control request.
func setFaults(ctx context.Context, engine *process, faults string) error {
	return control(ctx, http.MethodPut, "http://"+engine.public+"/control/faults", []byte(faults))
}

func (cluster *Cluster) recordRecovered(engine *process) {
	cluster.record(checker.Event{At: now(), EventKind: checker.EngineRecovered, Engine: engine.name})
}

func (run stepRun) killEngine(ctx context.Context, engine *process) error {
	run.cluster.recordFailure(engine)
	engine.halt()
	return run.cluster.restartAfter(ctx, run.step.ForMS, engine)
}

// removeEngine kills an engine and removes it from the platform's list.
func (run stepRun) removeEngine(ctx context.Context, engine *process) error {
	run.cluster.recordFailure(engine)
	engine.halt()
	url := "http://" + run.cluster.platform.public + "/control/engines/" + engine.name
	if err := control(ctx, http.MethodDelete, url, nil); err != nil {
		return err
	}
	return run.cluster.restartAfter(ctx, run.step.ForMS, engine)
}

func (run stepRun) freezeEngine(ctx context.Context, engine *process) error {
	run.cluster.recordFailure(engine)
	engine.signal(syscall.SIGSTOP)
	pause(ctx, run.step.ForMS)
	engine.signal(syscall.SIGCONT)
	run.cluster.recordRecovered(engine)
	return nil
}

// makeEngineUnresponsive has an engine accept connections without responding on them.
func (run stepRun) makeEngineUnresponsive(ctx context.Context, engine *process) error {
	run.cluster.recordFailure(engine)
	if err := setFaults(ctx, engine, `{"dark":true}`); err != nil {
		return err
	}
	pause(ctx, run.step.ForMS)
	run.cluster.recordRecovered(engine)
	return setFaults(ctx, engine, `{}`)
}

func (run stepRun) breakStream(ctx context.Context, engine *process) error {
	run.cluster.recordFailure(engine)
	return setFaults(ctx, engine, fmt.Sprintf(`{"break_after":%d}`, breakAfter))
}

func (run stepRun) rejectRequests(ctx context.Context, engine *process) error {
	return setFaults(ctx, engine, fmt.Sprintf(`{"not_run":%d}`, max(run.step.Count, 1)))
}

// retireEngine has an engine announce in its own reports that it is draining, and kills it later.
func (run stepRun) retireEngine(ctx context.Context, engine *process) error {
	if err := control(ctx, http.MethodPut, "http://"+engine.public+"/control/leave", nil); err != nil {
		return err
	}
	// A node learns of the draining only from the engine's next report, which is half a second late.
	run.recordDraining(engine, now()+reportDelay)
	return run.endDraining(ctx, engine, retireSpanMS)
}

// markEngineDraining marks an engine as draining at one node, and kills it later.
func (run stepRun) markEngineDraining(ctx context.Context, engine *process) error {
	nodes := run.cluster.members()
	node := nodes[int(engine.start)%len(nodes)]
	drainedAt := now()
	url := fmt.Sprintf("http://%s/v1/engines/%s/leaving?start=%d", node.public, engine.name, engine.start)
	status, _, body, err := request(ctx, http.MethodPut, url, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return ClusterError{"mark " + engine.name, ProcessMissingError{string(body)}}
	}
	run.recordDraining(engine, drainedAt)
	return run.endDraining(ctx, engine, drainSpanMS)
}

func (run stepRun) recordDraining(engine *process, at kernel.Micros) {
	run.cluster.record(checker.Event{At: at, EventKind: checker.EngineDraining, Engine: engine.name, Start: engine.start})
}

// endDraining kills a draining engine after a delay, and restarts it.
func (run stepRun) endDraining(ctx context.Context, engine *process, afterMS int64) error {
	pause(ctx, afterMS)
	run.cluster.recordFailure(engine)
	engine.halt()
	return run.cluster.restartAfter(ctx, max(run.step.ForMS, minDowntimeMS), engine)
}
