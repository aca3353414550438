package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
)

// Single parts of a process, measured apart from the fleet.

// DispatchCost is what requests cost a router's dispatcher.
type DispatchCost struct {
	Admit          float64 // microseconds of processor time from a request's arrival to its engine
	Complete       float64 // and from there to its end, 20 events
	PerOpenRequest float64 // bytes of heap for a request that is open
	RoutingTable   float64 // bytes of heap of the routing table and the compiled configuration
}

// dispatchRounds is how many requests a dispatcher is timed over.
const dispatchRounds = 2000

// routingTableOf makes a routing table of so many engines under a configuration of so many routes.
func routingTableOf(sizes Sizes) (*relay.RoutingTable, error) {
	config, err := fleetconfig.Read(buildConfig(sizes, 0))
	if err != nil {
		return nil, fmt.Errorf("make a routing table: %w", err)
	}
	routingTable := &relay.RoutingTable{Revision: 1, Config: config, Drained: map[string]bool{}, LeaseUntil: 1 << 60}
	for i := range sizes.Nodes {
		routingTable.Routers = append(routingTable.Routers, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
	}
	for i := range sizes.Engines {
		routingTable.Engines = append(routingTable.Engines, relay.Engine{
			ID: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Zone: fmt.Sprintf("zone-%02d", i%sizes.Zones),
			// A fifteenth of the engines serves each model.
			Pool: fmt.Sprintf("pool-%02d", i%15), Start: 1, HasReport: true, Load: int64(i%97) * 100, AsOf: sec, StartedAt: 1, IsStartKnown: true,
		})
	}
	return routingTable, nil
}

// MeasureDispatch times requests of so many prefixes and tenants at one router's dispatcher, while
// so many are held open.
func MeasureDispatch(sizes Sizes, seed uint64) (*DispatchCost, error) {
	sizes = sizes.WithDefaults()
	sizes.isPart = true
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("measure a desk: %w", err)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	load := &DispatchCost{}
	before := heapBytes()
	routingTable, err := routingTableOf(sizes)
	if err != nil {
		return nil, err
	}
	journal := kernel.NewJournal(4096)
	withJournal := heapBytes()
	dispatcher := relay.NewDispatcher("10.0.0.1:7000", "zone-00", func(now kernel.Micros, subject, decision, why string) {
		journal.RecordRequest(now, "relay", subject, decision, why)
	})
	dispatcher.SetRoutingTable(routingTable)
	load.RoutingTable = withJournal - before - journalBytes()
	now := 100 * sec
	number := int(seed) * 1000003
	request := func() relay.Request {
		number++
		route := number * 7919 % sizes.Routes
		prefix := make([]uint32, 64)
		for i := range prefix {
			prefix[i] = uint32(number*2654435761%sizes.Prefixes + i)
		}
		return relay.Request{
			ID: fmt.Sprintf("call-%09d", number), Kind: fmt.Sprintf("tenant-%05d", route%sizes.Tenants),
			Model: fmt.Sprintf("model-%04d", route/sizes.Tenants), Prefix: prefix, PromptTokens: 900, MaxTokens: 340,
		}
	}
	held := []*relay.Call{}
	open := func() (*relay.Call, error) {
		now += 200
		call, rejection := dispatcher.Admit(now, request())
		if rejection != nil {
			return nil, fmt.Errorf("measure a desk: %s: %s (%s)", rejection.Reason, rejection.Detail, rejection.Run)
		}
		return call, nil
	}
	idle := heapBytes()
	for range sizes.Sessions {
		call, err := open()
		if err != nil {
			return nil, err
		}
		held = append(held, call)
	}
	if sizes.Sessions > 0 {
		load.PerOpenRequest = (heapBytes() - idle) / float64(sizes.Sessions)
	}
	arrive, rest := int64(0), int64(0)
	for range dispatchRounds {
		begun := threadNanos()
		call, err := open()
		arrive += threadNanos() - begun
		if err != nil {
			return nil, err
		}
		begun = threadNanos()
		if why := dispatcher.MayWrite(now, call); why != "" {
			return nil, fmt.Errorf("measure a desk: %w", UnsettledError{"write a request", 0, why})
		}
		for range 20 {
			now += 50 * ms
			dispatcher.CountTokens(now, call, 17)
		}
		dispatcher.CloseAttempt(now, call, relay.Served, "")
		rest += threadNanos() - begun
	}
	load.Admit, load.Complete = float64(arrive)/1e3/dispatchRounds, float64(rest)/1e3/dispatchRounds
	runtime.KeepAlive(held)
	runtime.KeepAlive(routingTable)
	return load, nil
}

func journalBytes() float64 {
	before := heapBytes()
	journal := kernel.NewJournal(4096)
	after := heapBytes()
	runtime.KeepAlive(journal)
	return after - before
}

// ConfigCost is what one configuration and one document weigh.
type ConfigCost struct {
	Config      float64 // bytes as the operator sends it
	Submit      float64 // and as the order travels between nodes
	Full, Light float64 // a document with and without its configuration, as encoded
	Read        float64 // microseconds to read, check and compile the configuration
	Compiled    float64 // bytes of heap of the compiled configuration
	Save        float64 // microseconds to encode and sum a save, without a device
	File        float64 // microseconds for the object store to file one more, on this machine's disk
	Stored      float64 // bytes that the object store grows by
}

// MeasureConfig weighs a configuration, the document that carries it and its place in the store.
func MeasureConfig(sizes Sizes, seed uint64) (cost *ConfigCost, err error) {
	sizes = sizes.WithDefaults()
	sizes.isPart = true
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("weigh a document: %w", err)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	config := buildConfig(sizes, seed)
	cost = &ConfigCost{Config: float64(len(config))}
	submit, err := json.Marshal(wire.Envelope{Message: wire.Message{Submit: &cluster.Submit{ID: "order-000001", Operation: cluster.PutConfig, Config: config}}})
	if err != nil {
		return nil, fmt.Errorf("weigh a submission: %w", err)
	}
	cost.Submit = float64(len(submit))
	before, begun := heapBytes(), threadNanos()
	compiled, err := fleetconfig.Read(config)
	cost.Read = float64(threadNanos()-begun) / 1e3
	if err != nil {
		return nil, fmt.Errorf("weigh a configuration: %w", err)
	}
	cost.Compiled = heapBytes() - before
	runtime.KeepAlive(compiled)
	document := buildDocument(sizes, config)
	if cost.Full, err = grantSize(document); err != nil {
		return nil, err
	}
	light := *document
	light.Config = nil
	if cost.Light, err = grantSize(&light); err != nil {
		return nil, err
	}
	store, _, _, err := storage.OpenStore(&memoryFolder{map[string][]byte{}}, "capacity", func() string { return "member" })
	if err != nil {
		return nil, fmt.Errorf("weigh a save: %w", err)
	}
	begun = threadNanos()
	if err := store.Save(commands.Save{Token: 1, HardState: &cluster.HardState{Term: 1}, Document: document}); err != nil {
		return nil, fmt.Errorf("weigh a save: %w", err)
	}
	cost.Save = float64(threadNanos()-begun) / 1e3
	return cost, cost.measureStore(sizes)
}

func grantSize(document *cluster.Document) (float64, error) {
	content, err := json.Marshal(wire.Envelope{Message: wire.Message{LeaseGrant: &wire.LeaseGrant{Document: document}}})
	if err != nil {
		return 0, fmt.Errorf("weigh a document: %w", err)
	}
	return float64(len(content)), nil
}

// buildDocument fills a document with all that it keeps at most.
func buildDocument(sizes Sizes, config []byte) *cluster.Document {
	document := &cluster.Document{
		ClusterID: "0123456789abcdef0123456789abcdef", Revision: 100000, Term: 7, Config: config, ConfigRevision: 100000,
		Coordinators: map[string]string{}, DrainedZones: map[string]uint64{}, Draining: map[string]cluster.DrainingMark{},
	}
	for i := range sizes.Nodes {
		document.Routers = append(document.Routers, fmt.Sprintf("10.%d.%d.%d:7000", i%sizes.Zones, i/250, i%250))
	}
	for i := range sizes.Zones {
		document.Coordinators[fmt.Sprintf("region-%d-zone-%02d", i%sizes.Regions, i)] = document.Routers[i%len(document.Routers)]
	}
	for i := range 3 {
		document.Voters = append(document.Voters, cluster.Member{ID: cluster.MemberID(fmt.Sprintf("member-%026d", i)), Address: document.Routers[i%len(document.Routers)], Zone: "region-0-zone-00"})
	}
	for i := range 512 {
		document.Submissions = append(document.Submissions, cluster.Submission{ID: fmt.Sprintf("order-%026d", i), Digest: history.Digest([]byte{byte(i)}), Revision: uint64(99000 + i)})
	}
	for i := range 64 {
		document.ConfigChain = append(document.ConfigChain, cluster.ConfigRef{Revision: uint64(99000 + i), Digest: history.Digest([]byte{byte(i)})})
	}
	for i := range min(256, sizes.Engines/10) {
		document.Draining[fmt.Sprintf("engine-%04d", i)] = cluster.DrainingMark{Start: 1700000000000000, Revision: uint64(99000 + i)}
	}
	return document
}

// storeRounds is how many configurations the store is timed over.
const storeRounds = 5

func (cost *ConfigCost) measureStore(sizes Sizes) (err error) {
	path, err := os.MkdirTemp("", "capacity-store-")
	if err != nil {
		return fmt.Errorf("file a configuration: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(path)) }()
	store, err := history.Open(path, "capacity", 1<<30)
	if err != nil {
		return fmt.Errorf("file a configuration: %w", err)
	}
	nanos, size := int64(0), int64(0)
	for i := range storeRounds + 1 {
		config := buildConfig(sizes, uint64(i)+1)
		begun := threadNanos()
		if err := store.Store(history.Metadata{Revision: uint64(i) + 1, Digest: history.Digest(config), ClusterID: "f"}, config); err != nil {
			return fmt.Errorf("file a configuration: %w", err)
		}
		nanos += threadNanos() - begun
		if i == 0 {
			// The first one makes the store.
			nanos = 0
			if size, err = directorySize(path); err != nil {
				return err
			}
		}
	}
	grown, err := directorySize(path)
	if err != nil {
		return err
	}
	cost.File, cost.Stored = float64(nanos)/1e3/storeRounds, float64(grown-size)/storeRounds
	return nil
}

func directorySize(path string) (int64, error) {
	sum := int64(0)
	entries, err := os.ReadDir(path)
	if err != nil {
		return 0, fmt.Errorf("weigh the store: %w", err)
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			return 0, fmt.Errorf("weigh the store: %w", err)
		}
		if !entry.IsDir() {
			sum += info.Size()
			continue
		}
		below, err := directorySize(path + "/" + entry.Name())
		if err != nil {
			return 0, err
		}
		sum += below
	}
	return sum, nil
}

// ConnectionCost is what real channels over loopback cost.
type ConnectionCost struct {
	Messages float64 `json:"messages"` // sent by one node in a second
	Encoded  float64 `json:"encoded"`  // bytes of them, as encoded
	OnWire   float64 `json:"on_wire"`  // bytes written to channels: compressed, with heads
	Cores    float64 `json:"cores"`    // of the whole process, by node
	PerPeer  float64 `json:"per_peer"` // bytes of heap for one more node that is written to
	Lost     float64 `json:"lost"`     // messages dropped, by node
}

// MeasureConnections runs real shells with real channels over loopback, all in this process.
func MeasureConnections(sizes Sizes, seed uint64) (wire *ConnectionCost, err error) {
	sizes = sizes.WithDefaults()
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("measure channels: %w", err)
	}
	if sizes.Nodes > maxConnectionNodes {
		return nil, fmt.Errorf("measure channels: %w", OutOfBoundsError{"nodes over loopback", int64(sizes.Nodes), 5, maxConnectionNodes})
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	// Before anything else lives here, so that only this is in the heap's growth.
	wire = &ConnectionCost{PerPeer: heapPerPeer(life)}
	listeners, seeds := []net.Listener{}, []string{}
	for range sizes.Nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for nodes: %w", err)
		}
		defer listener.Close()
		listeners = append(listeners, listener)
	}
	for _, listener := range listeners[:3] {
		seeds = append(seeds, listener.Addr().String())
	}
	shells, connections := []*server.Runner{}, []*server.Connections{}
	for i, listener := range listeners {
		zone := fmt.Sprintf("zone-%02d", i%sizes.Zones)
		env := kernel.Env{
			Context: life, Clock: kernel.BootClock{}, Journal: kernel.NewJournal(16),
			Self: kernel.Identity{Fleet: "capacity", Address: listener.Addr().String(), Public: "127.0.0.1:1", Zone: zone},
		}
		settings := control.NodeSettings{
			Identity: env.Self, IsRouter: i >= sizes.Control, IsController: i < sizes.Control, HasFolder: i < sizes.Control, Seeds: seeds,
			Start: seed + uint64(i) + 1, RandomSeed: seed*1000 + uint64(i), Timing: cluster.DefaultTiming(), Journal: env.Journal,
			Member: cluster.MemberID("none-" + env.Self.Address),
		}
		var store *storage.Store
		if i < sizes.Control {
			if store, settings.HardState, settings.Document, err = storage.OpenStore(&memoryFolder{map[string][]byte{}}, "capacity", func() string { return fmt.Sprintf("member-%d-%d", seed, i) }); err != nil {
				return nil, fmt.Errorf("open a store: %w", err)
			}
			settings.Member = store.Member()
		}
		out := server.NewConnections(env, (&net.Dialer{Timeout: time.Second}).DialContext)
		shell := server.NewRunner(env, control.NewNode(settings, env.Clock.Now()), store, out, nil, &fleetconfig.Compiler{}, "")
		server := &http.Server{Handler: server.NewPeerHandler(shell.Deliver, shell.Unreadable, shell.FetchConfig, func() storage.PeerStatus { return shell.Witness(settings.Member) })}
		defer server.Close()
		go server.Serve(listener)
		go shell.Run()
		shells, connections = append(shells, shell), append(connections, out)
	}
	deadline := wallNanos() + int64(sizes.Wall)*1000
	for !areServing(shells, sizes) {
		if wallNanos() > deadline {
			return nil, fmt.Errorf("measure channels: %w", TimeLimitError{"found the fleet", sizes.Wall})
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	before, process, begun := sumConnections(connections), processNanos(), wallNanos()
	time.Sleep(sizes.Span.Duration())
	after, spent := sumConnections(connections), float64(processNanos()-process)
	seconds := float64(wallNanos()-begun) / 1e9
	by := seconds * float64(sizes.Nodes)
	wire.Messages, wire.Encoded, wire.OnWire = (after.Messages-before.Messages)/by, (after.Encoded-before.Encoded)/by, (after.OnWire-before.OnWire)/by
	wire.Lost, wire.Cores = (after.Lost-before.Lost)/by, spent/1e9/by
	return wire, nil
}

// maxConnectionNodes bounds real channels in one process.
const maxConnectionNodes = 48

func areServing(shells []*server.Runner, sizes Sizes) bool {
	for i, shell := range shells {
		state := shell.State()
		if state.Document == nil || len(state.Nodes) < len(shells) || i >= sizes.Control && state.LapseReason != "" {
			return false
		}
	}
	return true
}

func sumConnections(connections []*server.Connections) ConnectionCost {
	sum := ConnectionCost{}
	for _, one := range connections {
		sum.Messages += float64(one.Sent.Load())
		sum.Lost += float64(one.Dropped.Load())
		for _, kinds := range one.BytesByKind() {
			for _, bytes := range kinds {
				sum.Encoded += float64(bytes)
			}
		}
		for _, bytes := range one.BytesByPeer() {
			sum.OnWire += float64(bytes)
		}
	}
	return sum
}

// peerSamples is how many nodes a process writes to while the heap of one is measured.
const peerSamples = 64

// heapPerPeer is the heap that goes with a node that is written to, without its channel: the
// dialer rejects.
func heapPerPeer(life context.Context) float64 {
	life, end := context.WithCancel(life)
	defer end()
	before := heapBytes()
	connections := server.NewConnections(kernel.Env{Context: life, Clock: kernel.BootClock{}}, func(context.Context, string, string) (net.Conn, error) {
		return nil, net.ErrClosed
	})
	for i := range peerSamples {
		connections.Send(wire.Envelope{To: fmt.Sprintf("127.0.0.1:%d", 1+i), Message: wire.Message{BootstrapProbe: &wire.BootstrapProbe{}}})
	}
	time.Sleep(200 * time.Millisecond)
	grown := heapBytes() - before
	runtime.KeepAlive(connections)
	return grown / peerSamples
}

// tenantCount keeps names of routes apart however many tenants share them.
func tenantCount(routes int) int { return max(1, min(7100, routes)) }
