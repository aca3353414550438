package localfleet

import (
	"context"
)

// stepRun is the execution of one step.
type stepRun struct {
	cluster  *Cluster
	operator *Operator
	step     Step
	number   int // number of the first configuration that the step may put
}

type (
	fleetStep  func(run stepRun, ctx context.Context) error
	targetStep func(run stepRun, ctx context.Context, target *process) error
)

// fleetSteps maps the verbs that target a zone or have no target to their functions.
var fleetSteps = map[string]fleetStep{
	"spec":       stepRun.putConfig,
	"storm":      stepRun.putManyConfigs,
	"large-spec": stepRun.putLargeConfig,
	"clash":      stepRun.putTwoConfigs,
	"empty":      stepRun.drainZone,
	"repaired":   stepRun.repair,
	"cut-zone":   stepRun.cutZone,
	"split-core": stepRun.splitCore,
	"lossy":      stepRun.loseMessages,
	"swap-core":  stepRun.replaceCore,
	"roll":       stepRun.retireAllEngines,
	"list-lag":   stepRun.delayListing,
	"crowd":      stepRun.overload,
	"hot-crowd":  stepRun.overload,
	"kill-core":  stepRun.killMany,
	"kill-all":   stepRun.killMany,
	"kill-zone":  stepRun.killMany,
}

// nodeSteps maps the verbs that target a node to their functions.
var nodeSteps = map[string]targetStep{
	"cut":          stepRun.cutNode,
	"cut-out":      stepRun.cutNode,
	"cut-in":       stepRun.cutNode,
	"disk-slow":    stepRun.failDisk,
	"disk-stall":   stepRun.failDisk,
	"disk-full":    stepRun.failDisk,
	"power":        stepRun.cutPower,
	"power-at-yes": stepRun.cutPowerAfterConfig,
	"replace":      stepRun.replaceNode,
	"kill":         stepRun.killNode,
	"wipe":         stepRun.wipeNode,
	"freeze":       stepRun.freezeNode,
	"stop":         stepRun.stopNode,
	"stop-short":   stepRun.stopNodeShort,
}

// engineSteps maps the verbs that target an engine to their functions.
var engineSteps = map[string]targetStep{
	"engine-kill":   stepRun.killEngine,
	"engine-gone":   stepRun.removeEngine,
	"engine-freeze": stepRun.freezeEngine,
	"engine-dark":   stepRun.makeEngineUnresponsive,
	"engine-break":  stepRun.breakStream,
	"engine-retire": stepRun.retireEngine,
	"engine-leave":  stepRun.markEngineDraining,
	"not-run":       stepRun.rejectRequests,
}

// apply resolves the step's target and runs the function of its verb.
func (run stepRun) apply(ctx context.Context) error {
	if do, isFleet := fleetSteps[run.step.Do]; isFleet {
		return do(run, ctx)
	}
	if do, isEngine := engineSteps[run.step.Do]; isEngine {
		engine, err := run.cluster.engine(run.step.Target)
		if err != nil {
			return err
		}
		return do(run, ctx, engine)
	}
	do, isNode := nodeSteps[run.step.Do]
	if !isNode {
		return ClusterError{"step", ProcessMissingError{run.step.Do}}
	}
	node, err := run.cluster.target(ctx, run.step.Target)
	if err != nil {
		return err
	}
	return do(run, ctx, node)
}
