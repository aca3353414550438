package localfleet

import (
	"encoding/json"
	"sync"

	"dunlinloom/internal/server"
)

// Link is a one-way network link between two nodes, which are named by their peer addresses.
type Link struct{ From, To string }

func (w Link) String() string { return w.From + ">" + w.To }

// FaultTable holds the faults that programs built with -tags faults inject. Each change is written to the file that
// these programs read.
type FaultTable struct {
	path      string
	lock      sync.Mutex
	cuts      map[Link]int // the number of cuts in force for each link
	linkFault server.LinkFault
	disks     map[string]server.DiskFault
}

// NewFaultTable returns a table without faults. The file is written on the first change.
func NewFaultTable(path string) *FaultTable {
	return &FaultTable{path: path, cuts: map[Link]int{}, disks: map[string]server.DiskFault{}}
}

// Cut drops all messages on the given links until Restore. Cuts are counted: a link that was cut several times works
// again only after as many calls of Restore.
func (t *FaultTable) Cut(links []Link) error { return t.adjustCuts(links, 1) }

// Restore reverts one cut of each link.
func (t *FaultTable) Restore(links []Link) error { return t.adjustCuts(links, -1) }

func (t *FaultTable) adjustCuts(links []Link, delta int) error {
	return t.change(func() {
		for _, link := range links {
			t.cuts[link] += delta
		}
	})
}

// SetLinks applies a fault to all messages between nodes. The zero value removes it.
func (t *FaultTable) SetLinks(fault server.LinkFault) error {
	return t.change(func() { t.linkFault = fault })
}

// SetDisk applies a fault to a node's data folder. The zero value removes it.
func (t *FaultTable) SetDisk(peer string, fault server.DiskFault) error {
	return t.change(func() { t.disks[peer] = fault })
}

// Clear ends every fault.
func (t *FaultTable) Clear() error {
	return t.change(func() {
		t.cuts, t.linkFault, t.disks = map[Link]int{}, server.LinkFault{}, map[string]server.DiskFault{}
	})
}

// change applies an edit and writes the table to the file.
func (t *FaultTable) change(edit func()) error {
	t.lock.Lock()
	defer t.lock.Unlock()
	edit()
	list := server.FaultInjection{Links: map[string]server.LinkFault{"*": t.linkFault}, Disks: map[string]server.DiskFault{}}
	for link, count := range t.cuts {
		if count > 0 {
			list.Links[link.String()] = server.LinkFault{IsCut: true}
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
