package localfleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"dunlinloom/test/checker"
	"dunlinloom/test/loadgen"
)

// What the steps of a scenario have in common: failures, repair, replacement and restarts.

// core gives the nodes that have a data folder.
func (cluster *Cluster) core() []*process {
	return slices.DeleteFunc(cluster.members(), func(node *process) bool { return node.data == "" })
}

// replaceAndWait replaces a node and, of a controller, waits until the core is whole again.
func (cluster *Cluster) replaceAndWait(ctx context.Context, node *process, ms int64) error {
	cluster.recordFailure(node)
	fresh := cluster.replace(node)
	if err := cluster.writeNodes(); err != nil {
		return err
	}
	pause(ctx, ms)
	if err := cluster.start(fresh); err != nil {
		return err
	}
	// The next one may go once the core is whole without this one.
	for begun := time.Now(); node.data != "" && !cluster.isDropped(ctx, node.peer); pause(ctx, 200) {
		if time.Since(begun) > 40*time.Second || ctx.Err() != nil {
			return ClusterError{"replace " + node.name, ProcessMissingError{fresh.peer}}
		}
	}
	return nil
}

// repair starts every process and lifts every fault.
func (cluster *Cluster) repair() error {
	for _, a := range append(cluster.members(), cluster.engines...) {
		a.signal(syscall.SIGCONT)
		if err := cluster.restart(a); err != nil {
			return err
		}
	}
	repaired := checker.Event{At: now(), EventKind: checker.Repaired}
	for _, node := range cluster.members() {
		repaired.Roster = append(repaired.Roster, node.public)
	}
	kinds, _ := loadgen.KindsOf(cluster.deployment.Name)
	for _, kind := range kinds {
		repaired.Kinds = append(repaired.Kinds, kind.Name)
	}
	cluster.record(repaired)
	return cluster.faults.Clear()
}

// recordFailure notes that a fault takes a process.
func (cluster *Cluster) recordFailure(a *process) {
	if a.peer == "" {
		cluster.record(checker.Event{At: now(), EventKind: checker.EngineFailed, Engine: a.name})
		return
	}
	cluster.record(checker.Event{At: now(), EventKind: checker.NodeKilled, Node: a.public})
}

func pause(ctx context.Context, ms int64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
}

// restartAfter starts processes anew after a while; zero means never.
func (cluster *Cluster) restartAfter(ctx context.Context, ms int64, processes ...*process) error {
	if ms == 0 {
		return nil
	}
	pause(ctx, ms)
	for _, a := range processes {
		if err := cluster.restart(a); err != nil {
			return err
		}
	}
	return nil
}

// restart starts a process that does not run, and has the platform list an engine.
func (cluster *Cluster) restart(a *process) error {
	if err := cluster.start(a); err != nil {
		return err
	}
	if a.start == 0 {
		return nil
	}
	cluster.record(checker.Event{At: now(), EventKind: checker.EngineRecovered, Engine: a.name})
	return cluster.setListing(a, "serving")
}

func (cluster *Cluster) setListLag(ctx context.Context, us int64) error {
	return control(ctx, http.MethodPut, "http://"+cluster.platform.public+"/control/lag", []byte(fmt.Sprint(us)))
}
