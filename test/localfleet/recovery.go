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

// core returns the controllers, which are the nodes with a data folder.
func (cluster *Cluster) core() []*process {
	return slices.DeleteFunc(cluster.members(), func(node *process) bool { return node.data == "" })
}

// replaceAndWait replaces a node. For a controller, it waits until there are three voters without the old one.
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
	// The next controller may be replaced only once the fleet has three voters without this one.
	for begun := time.Now(); node.data != "" && !cluster.isRemovedVoter(ctx, node.peer); pause(ctx, 200) {
		if time.Since(begun) > 40*time.Second || ctx.Err() != nil {
			return ClusterError{"replace " + node.name, ProcessMissingError{fresh.peer}}
		}
	}
	return nil
}

// repair resumes and starts every process and removes every fault.
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

// recordFailure records that a fault makes a process unavailable.
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

// restartAfter restarts processes after a delay. A delay of zero means that they are not restarted.
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

// restart starts a process unless it is running. An engine is also listed as serving at the platform.
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
