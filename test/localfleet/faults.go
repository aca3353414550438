package localfleet

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"dunlinloom/internal/server"
)

// This file injects faults into programs that are built with -tags faults: cut network links, failing disks and
// loss of power.

// failFor begins a fault, waits, and ends the fault.
func failFor(ctx context.Context, ms int64, begin, end func() error) error {
	if err := begin(); err != nil {
		return err
	}
	pause(ctx, ms)
	return end()
}

func (cluster *Cluster) cutFor(ctx context.Context, ms int64, directions int, chosen, others []*process) error {
	links := linksBetween(chosen, others, directions)
	return failFor(ctx, ms, func() error { return cluster.faults.Cut(links) }, func() error { return cluster.faults.Restore(links) })
}

func (cluster *Cluster) failDiskFor(ctx context.Context, node *process, ms int64, fault server.DiskFault) error {
	return failFor(ctx, ms, func() error { return cluster.faults.SetDisk(node.peer, fault) }, func() error {
		return cluster.faults.SetDisk(node.peer, server.DiskFault{})
	})
}

func (cluster *Cluster) faultsFile() string { return filepath.Join(cluster.folder, "faults.json") }

// The directions of a cut, as seen from the chosen nodes.
const (
	outgoing = 1 << iota
	incoming
)

// linksBetween returns the links from the chosen nodes to the others, from the others to them, or both, as
// directions says.
func linksBetween(chosen, others []*process, directions int) []Link {
	links := []Link{}
	for _, one := range chosen {
		for _, other := range others {
			if slices.Contains(chosen, other) {
				continue
			}
			if directions&outgoing != 0 {
				links = append(links, Link{one.peer, other.peer})
			}
			if directions&incoming != 0 {
				links = append(links, Link{other.peer, one.peer})
			}
		}
	}
	return links
}

// replaceFile writes a temporary file and renames it into place, so that no process reads a partial file.
func replaceFile(path string, content []byte) error {
	if err := os.WriteFile(path+".new", content, 0o644); err != nil {
		return ClusterError{"write " + path, err}
	}
	if err := os.Rename(path+".new", path); err != nil {
		return ClusterError{"write " + path, err}
	}
	return nil
}

// cutPower kills a node and reverts every write whose sync had not completed.
func (cluster *Cluster) cutPower(node *process) error {
	node.halt()
	if node.data == "" {
		return nil
	}
	return RevertUnsynced(node.data)
}

// RevertUnsynced puts a data folder into the state that a loss of power leaves: whatever an incomplete write had
// replaced is restored, and files that it had created are removed.
func RevertUnsynced(data string) error {
	undo, err := os.ReadDir(data + server.UndoSuffix)
	if err != nil {
		return ClusterError{"cut the power", err}
	}
	for _, entry := range undo {
		undoFile := filepath.Join(data+server.UndoSuffix, entry.Name())
		if name, wasAbsent := strings.CutSuffix(entry.Name(), server.UndoAbsent); wasAbsent {
			err = errors.Join(os.RemoveAll(filepath.Join(data, name)), os.Remove(undoFile))
		} else {
			err = os.Rename(undoFile, filepath.Join(data, entry.Name()))
		}
		if err != nil {
			return ClusterError{"cut the power", err}
		}
	}
	return nil
}
