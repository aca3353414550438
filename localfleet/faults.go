package localfleet

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"dunlinloom/server"
)

// Faults that programs built with -tags faults inject: cut ways, failing disks, lost power.

func (cluster *Cluster) cutFor(ctx context.Context, ms int64, ways int, chosen, others []*process) error {
	if err := cluster.cut(chosen, others, ways, 1); err != nil {
		return err
	}
	pause(ctx, ms)
	return cluster.cut(chosen, others, ways, -1)
}

// injectFor has something fail on purpose for a while.
func (cluster *Cluster) injectFor(ctx context.Context, ms int64, begin, end func()) error {
	if err := cluster.inject(begin); err != nil {
		return err
	}
	pause(ctx, ms)
	return cluster.inject(end)
}

func (cluster *Cluster) diskFails(ctx context.Context, node *process, ms int64, how server.DiskFault) error {
	return cluster.injectFor(ctx, ms, func() { cluster.disks[node.peer] = how }, func() { delete(cluster.disks, node.peer) })
}

func (cluster *Cluster) faultsFile() string { return filepath.Join(cluster.folder, "faults.json") }

// The ways that a cut closes.
const (
	wayOut = 1 << iota
	wayIn
)

// cut edits the list of cut ways between some nodes and others.
func (cluster *Cluster) cut(chosen, others []*process, ways, by int) error {
	return cluster.inject(func() {
		for _, one := range chosen {
			for _, other := range others {
				if slices.Contains(chosen, other) {
					continue
				}
				if ways&wayOut != 0 {
					cluster.cuts[one.peer+">"+other.peer] += by
				}
				if ways&wayIn != 0 {
					cluster.cuts[other.peer+">"+one.peer] += by
				}
			}
		}
	})
}

// inject changes what fails on purpose and tells all processes.
func (cluster *Cluster) inject(edit func()) error {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	edit()
	list := server.FaultInjection{Ways: map[string]server.LinkFault{"*": cluster.lossy}, Disks: cluster.disks}
	for way, count := range cluster.cuts {
		if count > 0 {
			list.Ways[way] = server.LinkFault{IsCut: true}
		}
	}
	content, err := json.Marshal(list)
	if err != nil {
		return ClusterError{"encode the faults", err}
	}
	return replaceFile(cluster.faultsFile(), content)
}

// replaceFile writes a file aside and renames it into place, so that no process reads half of it.
func replaceFile(path string, content []byte) error {
	if err := os.WriteFile(path+".new", content, 0o644); err != nil {
		return ClusterError{"write " + path, err}
	}
	if err := os.Rename(path+".new", path); err != nil {
		return ClusterError{"write " + path, err}
	}
	return nil
}

// cutPower kills a node and takes back every write that had not returned as synced.
func (cluster *Cluster) cutPower(node *process) error {
	node.halt()
	if node.data == "" {
		return nil
	}
	undo, err := os.ReadDir(node.data + server.UndoSuffix)
	if err != nil {
		return ClusterError{"cut the power", err}
	}
	for _, entry := range undo {
		kept := filepath.Join(node.data+server.UndoSuffix, entry.Name())
		if name, wasAbsent := strings.CutSuffix(entry.Name(), server.UndoAbsent); wasAbsent {
			err = errors.Join(os.RemoveAll(filepath.Join(node.data, name)), os.Remove(kept))
		} else {
			err = os.Rename(kept, filepath.Join(node.data, entry.Name()))
		}
		if err != nil {
			return ClusterError{"cut the power", err}
		}
	}
	return nil
}
