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

// Measurements of single parts of a process, without a fleet.

// DispatchCost is the cost of requests at a router's dispatcher.
type DispatchCost struct {
	Admit          float64 // microseconds of processor time from a request's arrival until its engine is selected
	Complete       float64 // microseconds of processor time from there to the request's end, with 20 events
	PerOpenRequest float64 // heap bytes for each open request
	RoutingTable   float64 // heap bytes of the routing table with the compiled configuration
}

// dispatchRounds is the number of requests over which dispatch times are averaged.
const dispatchRounds = 2000

// routingTableOf returns a routing table with the numbers of routers, engines and routes in the given sizes.
func routingTableOf(sizes Sizes) (*relay.RoutingTable, error) {
	config, err := fleetconfig.Read(buildConfig(sizes, 0))
	if err != nil {
		return nil, fmt.Errorf("make a routing table: %w", err)
	}
	routingTable := &relay.RoutingTable{Revision: 1, Config: config, Drained: map[string]bool{}, LeaseExpiresAt: 1 << 60}
	for i := range sizes.Nodes {
		routingTable.Routers = append(routingTable.Routers, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
	}
	for i := range sizes.Engines {
		routingTable.Engines = append(routingTable.Engines, relay.Engine{
			ID: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Zone: fmt.Sprintf("zone-%02d", i%sizes.Zones),
			// Each of 15 pools has an equal number of engines.
			Pool: fmt.Sprintf("pool-%02d", i%15), Start: 1, HasReport: true, Load: int64(i%97) * 100, AsOf: sec, StartedAt: 1, IsStartKnown: true,
		})
	}
	return routingTable, nil
}

// MeasureDispatch measures requests at one router's dispatcher while sizes.Sessions other requests stay open.
func MeasureDispatch(sizes Sizes, seed uint64) (*DispatchCost, error) {
	sizes = sizes.WithDefaults()
	sizes.isPart = true
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("measure the dispatcher: %w", err)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cost := &DispatchCost{}
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
	cost.RoutingTable = withJournal - before - journalBytes()
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
	openCalls := []*relay.Call{}
	open := func() (*relay.Call, error) {
		now += 200
		call, rejection := dispatcher.Admit(now, request())
		if rejection != nil {
			return nil, fmt.Errorf("measure the dispatcher: %s: %s (%s)", rejection.Reason, rejection.Detail, rejection.Run)
		}
		return call, nil
	}
	idle := heapBytes()
	for range sizes.Sessions {
		call, err := open()
		if err != nil {
			return nil, err
		}
		openCalls = append(openCalls, call)
	}
	if sizes.Sessions > 0 {
		cost.PerOpenRequest = (heapBytes() - idle) / float64(sizes.Sessions)
	}
	admit, complete := int64(0), int64(0)
	for range dispatchRounds {
		begun := threadNanos()
		call, err := open()
		admit += threadNanos() - begun
		if err != nil {
			return nil, err
		}
		begun = threadNanos()
		if why := dispatcher.MayWrite(now, call); why != "" {
			return nil, fmt.Errorf("measure the dispatcher: %w", UnsettledError{"write a request", 0, why})
		}
		for range 20 {
			now += 50 * ms
			dispatcher.CountTokens(now, call, 17)
		}
		dispatcher.CloseAttempt(now, call, relay.Served, "")
		complete += threadNanos() - begun
	}
	cost.Admit, cost.Complete = float64(admit)/1e3/dispatchRounds, float64(complete)/1e3/dispatchRounds
	runtime.KeepAlive(openCalls)
	runtime.KeepAlive(routingTable)
	return cost, nil
}

func journalBytes() float64 {
	before := heapBytes()
	journal := kernel.NewJournal(4096)
	after := heapBytes()
	runtime.KeepAlive(journal)
	return after - before
}

// ConfigCost is the cost of one configuration and of the document that carries it.
type ConfigCost struct {
	Config      float64 // bytes of the configuration as the operator sends it
	Submit      float64 // bytes of the message that forwards the submission between nodes
	Full, Light float64 // bytes of an encoded lease grant whose document has, or lacks, its configuration
	Read        float64 // microseconds to read, check and compile the configuration
	Compiled    float64 // heap bytes of the compiled configuration
	Save        float64 // microseconds to encode and checksum a save, without any device
	File        float64 // microseconds for the object store to store one more configuration, on this machine's disk
	Stored      float64 // bytes by which the object store grows for each configuration
}

// MeasureConfig measures a configuration, the document that carries it, and its storage.
func MeasureConfig(sizes Sizes, seed uint64) (cost *ConfigCost, err error) {
	sizes = sizes.WithDefaults()
	sizes.isPart = true
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("measure a document: %w", err)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	config := buildConfig(sizes, seed)
	cost = &ConfigCost{Config: float64(len(config))}
	submit, err := json.Marshal(wire.Envelope{Message: wire.Message{Submit: &cluster.Submit{ID: "order-000001", Operation: cluster.PutConfig, Config: config}}})
	if err != nil {
		return nil, fmt.Errorf("measure a submission: %w", err)
	}
	cost.Submit = float64(len(submit))
	before, begun := heapBytes(), threadNanos()
	compiled, err := fleetconfig.Read(config)
	cost.Read = float64(threadNanos()-begun) / 1e3
	if err != nil {
		return nil, fmt.Errorf("measure a configuration: %w", err)
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
		return nil, fmt.Errorf("measure a save: %w", err)
	}
	begun = threadNanos()
	if err := store.Save(commands.Save{Token: 1, HardState: &cluster.HardState{Term: 1}, Document: document}); err != nil {
		return nil, fmt.Errorf("measure a save: %w", err)
	}
	cost.Save = float64(threadNanos()-begun) / 1e3
	return cost, cost.measureStore(sizes)
}

func grantSize(document *cluster.Document) (float64, error) {
	content, err := json.Marshal(wire.Envelope{Message: wire.Message{LeaseGrant: &wire.LeaseGrant{Document: document}}})
	if err != nil {
		return 0, fmt.Errorf("measure a document: %w", err)
	}
	return float64(len(content)), nil
}

// buildDocument returns a document with the largest number of entries that it can hold.
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

// storeRounds is the number of configurations over which storage times are averaged.
const storeRounds = 5

func (cost *ConfigCost) measureStore(sizes Sizes) (err error) {
	path, err := os.MkdirTemp("", "capacity-store-")
	if err != nil {
		return fmt.Errorf("store a configuration: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(path)) }()
	store, err := history.Open(path, "capacity", 1<<30)
	if err != nil {
		return fmt.Errorf("store a configuration: %w", err)
	}
	nanos, size := int64(0), int64(0)
	for i := range storeRounds + 1 {
		config := buildConfig(sizes, uint64(i)+1)
		begun := threadNanos()
		if err := store.Store(history.Metadata{Revision: uint64(i) + 1, Digest: history.Digest(config), ClusterID: "f"}, config); err != nil {
			return fmt.Errorf("store a configuration: %w", err)
		}
		nanos += threadNanos() - begun
		if i == 0 {
			// The first one creates the store and is not counted.
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
		return 0, fmt.Errorf("measure the store: %w", err)
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			return 0, fmt.Errorf("measure the store: %w", err)
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

// ConnectionCost is the cost of real connections over loopback.
type ConnectionCost struct {
	Messages float64 `json:"messages"` // sent per second and node
	Encoded  float64 `json:"encoded"`  // encoded bytes of these messages, per second and node
	OnWire   float64 `json:"on_wire"`  // compressed bytes with headers that are written to connections, per second and node
	Cores    float64 `json:"cores"`    // processor time of the whole process, in cores per node
	PerPeer  float64 `json:"per_peer"` // heap bytes for each additional peer
	Lost     float64 `json:"lost"`     // messages dropped per second and node
}

// MeasureConnections runs all nodes in this process, with real runners and real connections over loopback.
func MeasureConnections(sizes Sizes, seed uint64) (wire *ConnectionCost, err error) {
	sizes = sizes.WithDefaults()
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("measure connections: %w", err)
	}
	if sizes.Nodes > maxConnectionNodes {
		return nil, fmt.Errorf("measure connections: %w", OutOfBoundsError{"nodes over loopback", int64(sizes.Nodes), 5, maxConnectionNodes})
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	// This runs before anything else is allocated, so that the heap grows by the peers alone.
	wire = &ConnectionCost{PerPeer: heapPerPeer(ctx)}
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
	runners, connections := []*server.Runner{}, []*server.Connections{}
	for i, listener := range listeners {
		zone := fmt.Sprintf("zone-%02d", i%sizes.Zones)
		env := kernel.Env{
			Context: ctx, Clock: kernel.BootClock{}, Journal: kernel.NewJournal(16),
			Self: kernel.Identity{Fleet: "capacity", Address: listener.Addr().String(), Public: "127.0.0.1:1", Zone: zone},
		}
		settings := control.NodeSettings{
			Identity: env.Self, IsRouter: i >= sizes.Control, IsController: i < sizes.Control, HasFolder: i < sizes.Control, Seeds: seeds,
			Start: seed + uint64(i) + 1, RandomSeed: seed*1000 + uint64(i), Timing: cluster.DefaultTiming(), Journal: env.Journal,
			FolderState: control.FolderState{Member: cluster.MemberID("none-" + env.Self.Address)},
		}
		var store *storage.Store
		if i < sizes.Control {
			source := control.FolderSource{Fleet: "capacity", FreshID: func() string { return fmt.Sprintf("member-%d-%d", seed, i) }}
			if store, settings.FolderState, err = control.OpenStore(&memoryFolder{map[string][]byte{}}, source); err != nil {
				return nil, fmt.Errorf("open a store: %w", err)
			}
		}
		out := server.NewConnections(env, (&net.Dialer{Timeout: time.Second}).DialContext)
		runner := server.NewRunner(env, control.NewNode(settings, env.Clock.Now()), store, out, nil, &fleetconfig.Compiler{}, "")
		server := &http.Server{Handler: server.NewPeerHandler(runner.Deliver, runner.Unreadable, runner.FetchConfig, runner.PeerStatus)}
		defer server.Close()
		go server.Serve(listener)
		go runner.Run()
		runners, connections = append(runners, runner), append(connections, out)
	}
	deadline := wallNanos() + int64(sizes.Wall)*1000
	for !areServing(runners, sizes) {
		if wallNanos() > deadline {
			return nil, fmt.Errorf("measure connections: %w", TimeLimitError{"bootstrap the fleet", sizes.Wall})
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

// maxConnectionNodes bounds the number of nodes with real connections in one process.
const maxConnectionNodes = 48

func areServing(runners []*server.Runner, sizes Sizes) bool {
	for i, runner := range runners {
		state := runner.State()
		if state.Document == nil || len(state.Nodes) < len(runners) || i >= sizes.Control && state.LapseReason != "" {
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

// peerSamples is the number of peers over which the heap for each peer is averaged.
const peerSamples = 64

// heapPerPeer returns the heap bytes for each peer that messages are sent to. They exclude the
// connection, because every dial fails.
func heapPerPeer(ctx context.Context) float64 {
	ctx, end := context.WithCancel(ctx)
	defer end()
	before := heapBytes()
	connections := server.NewConnections(kernel.Env{Context: ctx, Clock: kernel.BootClock{}}, func(context.Context, string, string) (net.Conn, error) {
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

// tenantCount returns the number of tenants for a number of routes: one for each route, up to 7100.
func tenantCount(routes int) int { return max(1, min(7100, routes)) }
