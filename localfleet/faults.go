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

func (s *Cluster) faultsFile() string { return filepath.Join(s.folder, "faults.json") }

// The ways that a cut closes.
const (
	wayOut = 1 << iota
	wayIn
)

// cut edits the list of cut ways between some nodes and others.
func (s *Cluster) cut(chosen, others []*actor, ways, by int) error {
	return s.fault(func() {
		for _, one := range chosen {
			for _, other := range others {
				if slices.Contains(chosen, other) {
					continue
				}
				if ways&wayOut != 0 {
					s.cuts[one.peer+">"+other.peer] += by
				}
				if ways&wayIn != 0 {
					s.cuts[other.peer+">"+one.peer] += by
				}
			}
		}
	})
}

// fault changes what fails on purpose and tells all processes.
func (s *Cluster) fault(edit func()) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	edit()
	list := server.FaultInjection{Ways: map[string]server.LinkFault{"*": s.lossy}, Disks: s.disks}
	for way, count := range s.cuts {
		if count > 0 {
			list.Ways[way] = server.LinkFault{IsCut: true}
		}
	}
	content, err := json.Marshal(list)
	if err != nil {
		return ClusterError{"encode the faults", err}
	}
	return replaceFile(s.faultsFile(), content)
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
func (s *Cluster) cutPower(node *actor) error {
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
