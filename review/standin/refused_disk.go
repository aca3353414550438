package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Spans of the case. The pages set 4.5 s at most for a full disk (crono-austral), sync_s = 4, contact_ms = 3000 and
// recover_s = 12.
const (
	downSpan     = 3 * time.Second  // after_ack_wipe of crono-austral: for_s = 3.0
	fullSpan     = 4 * time.Second  // from the start of the process
	restSpan     = 12 * time.Second // sync_s and contact_ms after the disk takes writes again, and 5 s more
	readbackSpan = 40 * time.Second // recover_s and contact_ms, and 25 s more
	recordSpan   = 15 * time.Second
	startSpan    = 30 * time.Second // within which the first configuration has to be taken
)

// refusedDisk plays a fleet of three machines with a disk and two without. The empty disk of the first machine takes no
// writes for fullSpan from a start on: with atFirstStart from the first start of the whole fleet, otherwise from the start
// after that machine has lost its disk. Once the disk has taken writes again for restSpan, the second machine loses its
// disk and starts again. The operator then reads back the configuration.
func refusedDisk(atFirstStart bool) int {
	trouble := env("TROUBLE", "1")
	isFull := trouble != "0" && trouble != "wipe"
	f := newFleet(3, 2, 3)
	defer f.stop()
	first, second := f.nodes[0], f.nodes[1]
	if atFirstStart && isFull {
		first.refuseWrites()
	}
	for _, n := range f.nodes {
		n.start()
	}
	if atFirstStart {
		time.Sleep(fullSpan)
		if isFull {
			first.takeWrites()
		}
	}
	order := func(version int, within time.Duration) int {
		route := strings.Replace(routesBase, `"tmo_ms":15000`, fmt.Sprintf(`"tmo_ms":%d`, 15000+version), 1)
		status, last := f.order("PUT", version-1, config(version, route), within)
		f.logf("operator: version %d on %d: %d; last answer %s", version, version-1, status, last)
		return status
	}
	if order(1, startSpan) != 200 {
		f.logf("the case could not run: no first configuration")
		return 2
	}
	if !atFirstStart {
		time.Sleep(time.Second)
		if trouble != "0" {
			f.loseDisk(first, isFull)
		}
		time.Sleep(fullSpan)
		if isFull {
			first.takeWrites()
		}
	}
	time.Sleep(restSpan)
	for version := 2; version <= 3; version++ {
		if order(version, 10*time.Second) != 200 {
			f.logf("version %d was not acknowledged before the second loss", version)
			return 2
		}
	}
	if trouble != "0" {
		f.loseDisk(second, false)
	}
	version, last := f.read(readbackSpan)
	f.logf("operator: read back version %d; last answer %s", version, last)
	if version != 3 {
		// Only for the record: whether a later start of the first machine's process helps.
		first.kill()
		first.start()
		later, last := f.read(recordSpan)
		f.logf("after another start of %s: read back version %d; last answer %s", first.name, later, last)
		f.logf("BROKEN: version 3 was acknowledged, and %v after the second machine is back the configuration does not come", readbackSpan)
		return 1
	}
	if order(4, 10*time.Second) != 200 {
		f.logf("note: version 4 was not acknowledged within 10 s")
	}
	f.logf("HELD: the acknowledged configuration was read back")
	return 0
}

// loseDisk kills a node's process, empties its disk and starts it again after downSpan. If isFull is set, the empty disk
// takes no writes until takeWrites.
func (f *Fleet) loseDisk(n *Node, isFull bool) {
	n.kill()
	n.wipe()
	f.logf("platform: %s has no power and loses its disk", n.name)
	time.Sleep(downSpan)
	if isFull {
		n.refuseWrites()
	}
	n.start()
	f.logf("platform: %s starts again with an empty disk, which takes no writes: %v", n.name, isFull)
}

// lockPath is the first file that a process makes in an empty data folder.
func (n *Node) lockPath() string { return filepath.Join(n.data(), "lock") }

// refuseWrites makes the empty disk of a node refuse the first write of its process: a folder stands in the place of the
// file that the process makes first. The data folder can be opened and listed.
func (n *Node) refuseWrites() {
	if err := os.MkdirAll(n.lockPath(), 0o755); err != nil {
		fatal(err)
	}
	n.f.logf("platform: the disk of %s takes no writes", n.name)
}

// takeWrites ends the time in which the disk takes no writes. The data folder is empty then, and the process goes on.
func (n *Node) takeWrites() {
	if err := os.Remove(n.lockPath()); err != nil {
		fatal(err)
	}
	n.f.logf("platform: the disk of %s takes writes again", n.name)
}
