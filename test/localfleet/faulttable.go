package localfleet

import (
	"encoding/json"
	"sync"

	"dunlinloom/internal/server"
)

// Way is a direction between two nodes, by their peer addresses.
type Way struct{ From, To string }

func (w Way) String() string { return w.From + ">" + w.To }

// FaultTable is what fails on purpose in programs built with -tags faults. Each change is written to the
// file that they read.
type FaultTable struct {
	path  string
	lock  sync.Mutex
	cuts  map[Way]int // to how many cuts hold it
	lossy server.LinkFault
	disks map[string]server.DiskFault
}

// NewFaultTable makes a table in which nothing fails. The file is written with its first change.
func NewFaultTable(path string) *FaultTable {
	return &FaultTable{path: path, cuts: map[Way]int{}, disks: map[string]server.DiskFault{}}
}

// Cut closes ways, and Join opens them again; a way that several cuts hold opens with the last of them.
func (t *FaultTable) Cut(ways []Way) error { return t.count(ways, 1) }

// Join takes a cut back.
func (t *FaultTable) Join(ways []Way) error { return t.count(ways, -1) }

func (t *FaultTable) count(ways []Way, by int) error {
	return t.change(func() {
		for _, way := range ways {
			t.cuts[way] += by
		}
	})
}

// SetLinks has all messages between nodes suffer a fault; the zero fault: none.
func (t *FaultTable) SetLinks(fault server.LinkFault) error {
	return t.change(func() { t.lossy = fault })
}

// SetDisk has a node's data folder suffer a fault; the zero fault: none.
func (t *FaultTable) SetDisk(peer string, fault server.DiskFault) error {
	return t.change(func() { t.disks[peer] = fault })
}

// Clear ends every fault.
func (t *FaultTable) Clear() error {
	return t.change(func() {
		t.cuts, t.lossy, t.disks = map[Way]int{}, server.LinkFault{}, map[string]server.DiskFault{}
	})
}

// change edits the table and writes it.
func (t *FaultTable) change(edit func()) error {
	t.lock.Lock()
	defer t.lock.Unlock()
	edit()
	list := server.FaultInjection{Links: map[string]server.LinkFault{"*": t.lossy}, Disks: map[string]server.DiskFault{}}
	for way, count := range t.cuts {
		if count > 0 {
			list.Links[way.String()] = server.LinkFault{IsCut: true}
		}
	}
	for peer, fault := range t.disks {
		if fault != (server.DiskFault{}) {
			list.Disks[peer] = fault
		}
	}
	content, err := json.Marshal(list)
	if err != nil {
		return ClusterError{"encode the faults", err}
	}
	return replaceFile(t.path, content)
}
