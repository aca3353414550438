package localfleet

// This file holds the scenario steps that act on one node.

import (
	"context"
	"os"
	"syscall"
	"time"

	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
)

// shutdownTimeout limits how long a node may take to stop after SIGTERM.
const shutdownTimeout = 150 * time.Second

func (run stepRun) cutNode(ctx context.Context, node *process) error {
	directions := map[string]int{"cut": outgoing | incoming, "cut-out": outgoing, "cut-in": incoming}[run.step.Do]
	return run.cluster.cutFor(ctx, run.step.ForMS, directions, []*process{node}, run.cluster.members())
}

func (run stepRun) failDisk(ctx context.Context, node *process) error {
	fault := map[string]server.DiskFault{
		"disk-slow":  {SlowUS: int64(run.step.Count) * 1000},
		"disk-stall": {IsStalled: true},
		"disk-full":  {IsFull: true},
	}[run.step.Do]
	return run.cluster.failDiskFor(ctx, node, run.step.ForMS, fault)
}

func (run stepRun) cutPower(ctx context.Context, node *process) error {
	run.cluster.recordFailure(node)
	if err := run.cluster.cutPower(node); err != nil {
		return err
	}
	return run.cluster.restartAfter(ctx, run.step.ForMS, node)
}

func (run stepRun) cutPowerAfterConfig(ctx context.Context, node *process) error {
	run.operator.putConfig(ctx, run.number, noBase)
	return run.cutPower(ctx, node)
}

func (run stepRun) replaceNode(ctx context.Context, node *process) error {
	return run.cluster.replaceAndWait(ctx, node, run.step.ForMS)
}

func (run stepRun) killNode(ctx context.Context, node *process) error {
	run.cluster.recordFailure(node)
	node.halt()
	return run.cluster.restartAfter(ctx, run.step.ForMS, node)
}

func (run stepRun) wipeNode(ctx context.Context, node *process) error {
	run.cluster.recordFailure(node)
	node.halt()
	if node.data != "" {
		if err := os.RemoveAll(node.data); err != nil {
			return ClusterError{"remove a data folder", err}
		}
	}
	return run.cluster.restartAfter(ctx, run.step.ForMS, node)
}

func (run stepRun) freezeNode(ctx context.Context, node *process) error {
	node.signal(syscall.SIGSTOP)
	pause(ctx, run.step.ForMS)
	node.signal(syscall.SIGCONT)
	return nil
}

func (run stepRun) stopNode(ctx context.Context, node *process) error {
	ended := node.Ended()
	run.cluster.record(checker.Event{At: now(), EventKind: checker.NodeStopping, Node: node.public})
	node.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(shutdownTimeout):
		run.cluster.addFailure("%s did not stop in time after SIGTERM", node.name)
		node.halt()
	}
	run.cluster.record(checker.Event{At: now(), EventKind: checker.NodeStopped, Node: node.public})
	return run.cluster.restartAfter(ctx, run.step.ForMS, node)
}

// stopNodeShort sends SIGTERM to a node, and kills it after the step's count in milliseconds, which may be before it
// has drained.
func (run stepRun) stopNodeShort(ctx context.Context, node *process) error {
	run.cluster.record(checker.Event{At: now(), EventKind: checker.NodeStopping, Node: node.public})
	node.signal(syscall.SIGTERM)
	pause(ctx, int64(run.step.Count))
	// Requests that break from here on are due to the kill, not to the graceful stop.
	run.cluster.recordFailure(node)
	node.halt()
	return run.cluster.restartAfter(ctx, run.step.ForMS, node)
}
