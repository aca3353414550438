package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/server"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
	"dunlinloom/test/childprocess"
	"dunlinloom/test/localfleet"
)

// The layout of the fleet. The first nodes have a disk. Nodes that replace others have the addresses from
// replacementOffset on.
const (
	DefaultNodes      = 5
	minNodes          = DefaultNodes
	maxNodes          = 150
	DefaultDisks      = 3
	maxDisks          = 9 // what a first start that tolerates two losses may have
	seedCount         = 3
	zoneCount         = 3
	replacementOffset = maxNodes
)

// Ports, the same on all nodes.
const (
	portPeers     = 7300
	portControl   = 8262
	portCallers   = 8263
	portReadiness = 8268
	portMetrics   = 9464
	portEngine    = 8080
)

// Time limits and retry budget that the deployment guarantees.
const (
	heartbeatInterval = 1200 * kernel.Millisecond
	gracePeriod       = 5 * kernel.Second
	drainTimeout      = 2 * kernel.Second
	contactTimeout    = 3 * kernel.Second
	syncSpan          = 4 * kernel.Second
	slackSpan         = 200 * kernel.Millisecond
	recoverSpan       = 12 * kernel.Second
	retryRatio        = 0.2
	retryWindow       = 10 * kernel.Second
	retrySlack        = 40
)

// node is one node of the fleet with its process.
type node struct {
	name    string
	zone    string
	hasDisk bool
	process *childprocess.Process
	file    string // path of its settings file
	data    string
	busy    sync.Mutex // held by the step that starts, stops or suspends it

	lock      sync.Mutex // guards the fields below
	ip        string
	seeds     []string
	bootstrap bool
	isWanted  bool // whether its process should be running
}

func (n *node) address(port int) string {
	n.lock.Lock()
	defer n.lock.Unlock()
	return fmt.Sprintf("%s:%d", n.ip, port)
}

func (n *node) setWanted(isWanted bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.isWanted = isWanted
}

// open creates and starts the nodes and engines.
func (f *fleet) open() error {
	if err := f.faults.Clear(); err != nil {
		return RunError{"write the fault table", err}
	}
	seeds := []string{}
	for i := range seedCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.nodeIP(i), portControl))
	}
	for i := range f.settings.Nodes {
		n := f.newNode(fmt.Sprintf("node%d", i), f.nodeIP(i), fmt.Sprint("z", i%zoneCount), i < f.settings.Disks)
		n.seeds, n.bootstrap = seeds, true
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	for _, service := range services() {
		for range enginesOf[service.Name] {
			if err := f.startEngine(service.Name, f.engineAddress()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) nodeIP(number int) string {
	return fmt.Sprintf("127.%d.1.%d", f.settings.Network, number+1)
}

func (f *fleet) newNode(name, ip, zone string, hasDisk bool) *node {
	n := &node{name: name, ip: ip, zone: zone, hasDisk: hasDisk, file: filepath.Join(f.settings.Folder, name+".toml")}
	if hasDisk {
		n.data = filepath.Join(f.settings.Folder, name+"-data")
	}
	n.process = &childprocess.Process{
		Name: name, Path: f.settings.Program, Arguments: []string{"platform", "--metrics-port", strconv.Itoa(portMetrics)},
		LogPath: filepath.Join(f.settings.Folder, name+".log"),
		Env: []string{
			platform.SettingsVariable + "=" + n.file, server.EnvFaults + "=" + filepath.Join(f.settings.Folder, "faults.json"),
			server.EnvSelf + "=" + n.address(portPeers),
			// Otherwise a build with the race detector sleeps for a second at exit, which would count as part of a stop.
			"GORACE=atexit_sleep_ms=0",
		},
	}
	n.process.OnEnd = func(err error) { f.processEnded(n, err) }
	return n
}

// processEnded handles the exit of a node's process and records a problem if it was not expected.
func (f *fleet) processEnded(n *node, err error) {
	n.lock.Lock()
	isWanted := n.isWanted
	n.lock.Unlock()
	if isWanted {
		f.problem("%s ended by itself: %v", n.name, err)
	}
}

// writeSettings writes a node's settings file.
func (f *fleet) writeSettings(n *node) error {
	n.lock.Lock()
	file := platform.NodeFile{
		Serves: platform.ServesAll(), IP: n.ip, Zone: n.zone, Region: "region", PortRange: [2]int{portPeers, portPeers + 15}, Seeds: n.seeds,
		Bootstrap: n.bootstrap, Quorum: n.hasDisk, DataDir: n.data, HeartbeatMS: int64(heartbeatInterval / ms),
		Bind: platform.NodeBind{
			Callers: fmt.Sprintf("%s:%d", n.ip, portCallers), Readiness: fmt.Sprintf("%s:%d", n.ip, portReadiness), Control: fmt.Sprintf("%s:%d", n.ip, portControl),
		},
		Caps:     platform.NodeCaps{CoreShare: 1, Processors: 2, MemoryMB: 240, Files: 4000, LinkMbps: 1000, DiskMB: 64},
		Tolerate: platform.NodeTolerance{Machines: f.settings.toleratedLosses()},
		Bounds: platform.NodeBounds{
			SeedLagS: 3, AddressReuseS: int(reuseSpan / kernel.Second), ContactMS: int64(contactTimeout / ms), AckMS: 4000, SyncS: int64(syncSpan / kernel.Second),
			DrainMS: int64(drainTimeout / ms), GracePeriodS: int64(gracePeriod / kernel.Second), ReadToleranceMS: int64(slackSpan / ms), ApplyMS: 2000, RevertMS: 250, ApplyExtensionMS: 5000,
			RetryRatio: retryRatio, RetryWindowS: int64(retryWindow / kernel.Second), RetrySlack: retrySlack,
			RecoverS: int64(recoverSpan / kernel.Second), RelayMS: 120,
		},
	}
	n.lock.Unlock()
	if f.tenancy != nil {
		b := &file.Bounds
		b.Revoked, b.RevokeMS = true, int64(revocationTimeout/ms)
		b.QuotaWindowS, b.QuotaOver, b.QuotaSlack = int64(quotaWindow/kernel.Second), quotaOver, quotaSlack
	}
	content, err := file.Encode()
	if err != nil {
		return RunError{"write settings", err}
	}
	if err := os.WriteFile(n.file+".new", content, 0o644); err != nil {
		return RunError{"write settings", err}
	}
	if err := os.Rename(n.file+".new", n.file); err != nil {
		return RunError{"write settings", err}
	}
	return nil
}

// startNode writes a node's current settings and starts its process.
func (f *fleet) startNode(n *node) error {
	if n.hasDisk {
		// The process makes the second one, but not while its disk fails.
		for _, folder := range []string{n.data, n.data + server.UndoSuffix} {
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return RunError{"create a data folder", err}
			}
		}
	}
	if err := f.writeSettings(n); err != nil {
		return err
	}
	n.setWanted(true)
	if err := n.process.Start(); err != nil {
		return RunError{"start a node", err}
	}
	return nil
}

// killNode kills a node's process, also if it is suspended.
func (f *fleet) killNode(n *node) error {
	n.setWanted(false)
	if err := n.process.Signal(syscall.SIGCONT); err != nil {
		return RunError{"resume a node", err}
	}
	if err := n.process.Halt(); err != nil {
		return RunError{"kill a node", err}
	}
	n.lock.Lock()
	n.bootstrap = false
	n.lock.Unlock()
	return nil
}

// powerOff kills a node's process and reverts the writes that were not synced to its disk.
func (f *fleet) powerOff(n *node) error {
	if err := f.killNode(n); err != nil || !n.hasDisk {
		return err
	}
	return localfleet.RevertUnsynced(n.data)
}

// wipe removes the data of a node whose process has ended.
func (f *fleet) wipe(n *node) error {
	for _, folder := range []string{n.data, n.data + server.UndoSuffix} {
		if err := os.RemoveAll(folder); err != nil {
			return RunError{"remove a data folder", err}
		}
	}
	return nil
}

// members returns a copy of the current nodes.
func (f *fleet) members() []*node {
	f.lock.Lock()
	defer f.lock.Unlock()
	return slices.Clone(f.nodes)
}

// isMember reports whether a node belongs to the fleet, that is, has not been replaced.
func (f *fleet) isMember(n *node) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return slices.Contains(f.nodes, n)
}

// retiredNodes returns a copy of the nodes that were replaced.
func (f *fleet) retiredNodes() []*node {
	f.lock.Lock()
	defer f.lock.Unlock()
	return slices.Clone(f.retired)
}

// anyNode returns a random node.
func (f *fleet) anyNode() *node {
	nodes := f.members()
	return nodes[f.draw(len(nodes))]
}

// readyPolls is the number of consecutive failed readiness polls after which a node receives no callers.
const readyPolls = 2

// watchReadiness polls the readiness of every node once per second, as a load balancer does.
func (f *fleet) watchReadiness(ctx context.Context) {
	for {
		var polls sync.WaitGroup
		for _, n := range f.members() {
			polls.Go(func() { f.pollReadiness(ctx, n) })
		}
		polls.Wait()
		if !pause(ctx, kernel.Second) {
			return
		}
	}
}

func (f *fleet) pollReadiness(ctx context.Context, n *node) {
	limit, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := f.client.Ready(limit, n.address(portReadiness))
	f.lock.Lock()
	defer f.lock.Unlock()
	if err == nil && answer.Status == http.StatusOK {
		f.ready[n.name] = 0
		return
	}
	f.ready[n.name]++
}

// openingSpan is how long a fleet may take to become ready.
const openingSpan = 30 * kernel.Second

// awaitReady waits until every node is ready.
func (f *fleet) awaitReady() error {
	end := f.clock.Now() + openingSpan
	for f.clock.Now() < end {
		count := 0
		for _, n := range f.members() {
			f.pollReadiness(f.context, n)
			f.lock.Lock()
			if f.ready[n.name] == 0 {
				count++
			}
			f.lock.Unlock()
		}
		if count == f.settings.Nodes {
			return nil
		}
		if !pause(f.context, 100*kernel.Millisecond) {
			break
		}
	}
	return RunError{"start the fleet", NotReadyError{}}
}

// NotReadyError reports that not all nodes became ready in time.
type NotReadyError struct{}

func (NotReadyError) Error() string { return "not all nodes became ready" }

// loseContact records that a node may lose contact with the others. A fault of a node with a disk may affect the
// whole control plane, so it is recorded for all nodes.
func (f *fleet) loseContact(n *node) {
	f.recordEvent(checker.RoutedEvent{EventKind: checker.ContactLost, Router: contactName(n)})
}

func (f *fleet) restoreContact(n *node) {
	f.recordEvent(checker.RoutedEvent{EventKind: checker.ContactRestored, Router: contactName(n)})
}

func contactName(n *node) string {
	if n.hasDisk {
		return ""
	}
	return n.name
}

// close ends every process and engine and closes the idle connections.
func (f *fleet) close() {
	f.endEngines()
	for _, n := range append(f.members(), f.retiredNodes()...) {
		if err := f.killNode(n); err != nil {
			f.settings.Logf("%v", err)
		}
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, connections := range f.idleConns {
		for _, connection := range connections {
			closeQuietly(connection)
		}
	}
}
