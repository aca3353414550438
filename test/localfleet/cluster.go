package localfleet

// This file plans the processes of a run, starts and stops them, and queries the running fleet.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
	"dunlinloom/test/localport"
)

// poolCount is the number of pools that the engines are spread over. Each configuration omits one pool, so the
// engine that serves a request shows which configuration was in force.
const poolCount = 6

// Cluster runs the processes of one local fleet run.
type Cluster struct {
	bin, folder string
	deployment  Deployment
	platform    *process
	nodes       []*process
	replaced    []*process // nodes that were replaced by nodes at new addresses
	engines     []*process
	faults      *FaultTable

	lock         sync.Mutex // guards everything below
	events       []checker.Event
	counters     map[string]map[string]float64 // by node name and process start
	starts       map[string]int
	failures     []string
	replacements int // number of replacement nodes so far, which determines their addresses
	address      func(offset int) string
	ports        []*localport.Reservation
}

// ClusterError is a failure of the test harness itself, as opposed to a failure of the fleet under test.
type ClusterError struct {
	What  string
	Cause error
}

func (err ClusterError) Error() string { return fmt.Sprintf("%s: %v", err.What, err.Cause) }

// Unwrap returns the cause.
func (err ClusterError) Unwrap() error { return err.Cause }

func now() kernel.Micros { return kernel.Micros(time.Now().UnixMicro()) }

// NewCluster plans a local fleet run; Open starts it.
func NewCluster(bin, folder string, deployment Deployment, basePort int) *Cluster {
	s := &Cluster{
		bin: bin, folder: folder, deployment: deployment,
		counters: map[string]map[string]float64{}, starts: map[string]int{},
	}
	address := func(offset int) string {
		if basePort > 0 {
			return fmt.Sprintf("127.0.0.1:%d", basePort+offset)
		}
		// Without a base port, each address gets a port that stays reserved until Close.
		reservation, err := localport.Reserve()
		if err != nil {
			panic(ClusterError{"reserve a port", err})
		}
		s.ports = append(s.ports, reservation)
		return reservation.Address()
	}
	s.address = address
	s.faults = NewFaultTable(s.faultsFile())
	listing := address(0)
	s.platform = &process{name: "platform", program: "emulator", public: listing, arguments: []string{"--list", "--listen", listing}}
	seeds, peers := []string{}, []string{}
	for i := range deployment.Nodes {
		peers = append(peers, address(200+i))
		if deployment.Nodes[i].HasDisk && len(seeds) < 3 {
			seeds = append(seeds, peers[i])
		}
	}
	for i, plan := range deployment.Nodes {
		node := &process{name: fmt.Sprintf("node%d", i), program: plan.Program, zone: plan.Zone, public: address(100 + i), peer: peers[i]}
		node.arguments = []string{"--fleet", deployment.Name, "--public", node.public, "--peer", node.peer, "--zone", plan.Zone,
			"--platform", "http://" + s.platform.public + "/v1/engines"}
		for _, seed := range seeds {
			node.arguments = append(node.arguments, "--seed", seed)
		}
		if plan.HasDisk {
			node.data = filepath.Join(folder, node.name+"-data")
			node.arguments = append(node.arguments, "--data", node.data)
		}
		s.nodes = append(s.nodes, node)
	}
	for i := range deployment.Engines {
		zone := deployment.Zones[i%len(deployment.Zones)]
		engine := &process{name: fmt.Sprintf("e%02d", i), program: "emulator", zone: zone, public: address(300 + i), pool: fmt.Sprintf("p%d", i%poolCount)}
		engine.arguments = []string{"--listen", engine.public, "--id", engine.name, "--zone", zone, "--pool", engine.pool, "--log", filepath.Join(folder, "engine-"+engine.name+".jsonl"),
			"--cold-us", "3000000", "--cold-factor", "2", "--cold-bears", "24", "--decode-us", "4000", "--prefill-us", "60"}
		for _, node := range s.nodes {
			engine.arguments = append(engine.arguments, "--node", node.public)
		}
		s.engines = append(s.engines, engine)
	}
	return s
}

func (cluster *Cluster) record(event checker.Event) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.events = append(cluster.events, event)
}

func (cluster *Cluster) addFailure(format string, args ...any) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.failures = append(cluster.failures, fmt.Sprintf(format, args...))
}

// replace stops a node and returns an empty node at new addresses that takes its place. The caller starts it.
func (cluster *Cluster) replace(node *process) *process {
	node.halt()
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.replacements++
	fresh := &process{
		name: fmt.Sprintf("%s-again%d", node.name, cluster.replacements), program: node.program, zone: node.zone,
		public: cluster.address(400 + 2*cluster.replacements), peer: cluster.address(401 + 2*cluster.replacements),
	}
	fresh.arguments = []string{"--fleet", cluster.deployment.Name, "--public", fresh.public, "--peer", fresh.peer, "--zone", node.zone,
		"--platform", "http://" + cluster.platform.public + "/v1/engines"}
	if node.data != "" {
		fresh.data = filepath.Join(cluster.folder, fresh.name+"-data")
		fresh.arguments = append(fresh.arguments, "--data", fresh.data)
	}
	seedCount := 0
	for i, other := range cluster.nodes {
		if other == node {
			cluster.nodes[i] = fresh
			cluster.replaced = append(cluster.replaced, node)
			continue
		}
		// A new node is given up to three running nodes as its seeds.
		if other.IsRunning() && seedCount < 3 {
			fresh.arguments = append(fresh.arguments, "--seed", other.peer)
			seedCount++
		}
	}
	return fresh
}

// members returns a copy of the current nodes, because a scenario step may replace nodes at any time.
func (cluster *Cluster) members() []*process {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	return slices.Clone(cluster.nodes)
}

// isRemovedVoter reports whether the fleet has three voters and the peer is not one of them.
func (cluster *Cluster) isRemovedVoter(ctx context.Context, peer string) bool {
	view, err := cluster.Fleet(ctx)
	if err != nil || len(view.Voters) != 3 {
		return false
	}
	for _, voter := range view.Voters {
		if voter.Address == peer {
			return false
		}
	}
	return true
}

func (cluster *Cluster) processes() []*process {
	return slices.Concat([]*process{cluster.platform}, cluster.engines, cluster.members(), cluster.replaced)
}

// Open starts every process, waits until the platform accepts connections, and lists all engines there as serving.
func (cluster *Cluster) Open(ctx context.Context) error {
	for _, a := range cluster.processes() {
		if err := cluster.start(a); err != nil {
			return err
		}
	}
	if err := cluster.await(ctx, cluster.platform.public); err != nil {
		return err
	}
	for _, engine := range cluster.engines {
		if err := cluster.setListing(engine, "serving"); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the remaining processes, including suspended ones, and releases the reserved ports.
func (cluster *Cluster) Close() {
	for _, a := range cluster.processes() {
		a.signal(syscall.SIGCONT)
		a.halt()
	}
	for _, port := range cluster.ports {
		if err := port.Close(); err != nil {
			panic(ClusterError{"release a port", err})
		}
	}
	cluster.ports = nil
}

func (cluster *Cluster) await(ctx context.Context, address string) error {
	for {
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return connection.Close()
		}
		select {
		case <-ctx.Done():
			return ClusterError{"wait for " + address, ctx.Err()}
		case <-time.After(20 * time.Millisecond):
		}
	}
}

var client = &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func request(ctx context.Context, method, url string, body []byte, headers map[string]string) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, ClusterError{"create a request", err}
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, ClusterError{method + " " + url, err}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil, ClusterError{"read " + url, err}
	}
	return response.StatusCode, response.Header, got, nil
}

// StatusError is the response of an emulator that rejected a control request of a scenario.
type StatusError struct {
	Status int
	Body   string
}

func (err StatusError) Error() string { return fmt.Sprintf("status %d: %.200s", err.Status, err.Body) }

// control sends a control request to an emulator. Unlike request, it fails on any status other than a success,
// because a fault that was not injected would be evaluated as one that did no harm.
func control(ctx context.Context, method, url string, body []byte) error {
	status, _, got, err := request(ctx, method, url, body, nil)
	if err != nil {
		return err
	}
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return ClusterError{method + " " + url, StatusError{status, string(got)}}
	}
	return nil
}

// setListing sets an engine's state in the platform's list.
func (cluster *Cluster) setListing(engine *process, state string) error {
	content, err := json.Marshal(registry.ListingEngine{ID: engine.name, Address: engine.public, Zone: engine.zone, Pool: engine.pool, Start: engine.start, State: state})
	if err != nil {
		return ClusterError{"encode a listing", err}
	}
	return control(context.Background(), http.MethodPut, "http://"+cluster.platform.public+"/control/engines", content)
}

// Fleet asks one node after another for its view of the fleet and returns the first one from a node with a lease.
func (cluster *Cluster) Fleet(ctx context.Context) (*server.FleetView, error) {
	var last error
	for _, node := range cluster.members() {
		limit, cancel := context.WithTimeout(ctx, time.Second)
		status, _, body, err := request(limit, http.MethodGet, "http://"+node.public+"/v1/fleet", nil, nil)
		cancel()
		if err != nil || status != http.StatusOK {
			last = err
			continue
		}
		var view server.FleetView
		if err := json.Unmarshal(body, &view); err != nil {
			return nil, ClusterError{"decode a fleet view", err}
		}
		// The view of a node without a lease may be stale.
		if view.LeaseRemaining > 0 {
			return &view, nil
		}
	}
	return nil, ClusterError{"get the fleet view from a node with a lease", last}
}

// Ready waits until every node reports that it is ready for requests.
func (cluster *Cluster) Ready(ctx context.Context) error {
	for {
		count := 0
		for _, node := range cluster.nodes {
			limit, cancel := context.WithTimeout(ctx, time.Second)
			status, _, _, err := request(limit, http.MethodGet, "http://"+node.public+"/readyz", nil, nil)
			cancel()
			if err == nil && status == http.StatusOK {
				count++
			}
		}
		if count == len(cluster.nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ClusterError{fmt.Sprintf("%d of %d routers are ready", count, len(cluster.nodes)), ctx.Err()}
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// target resolves a step's target to a node. "node:N" is a node by index, "home:ZONE" the coordinator of a zone,
// and "router" a running node that has no data folder and coordinates no zone. Any other target is the leader.
func (cluster *Cluster) target(ctx context.Context, target string) (*process, error) {
	var index int
	if n, err := fmt.Sscanf(target, "node:%d", &index); n == 1 && err == nil {
		return cluster.members()[index], nil
	}
	view, err := cluster.Fleet(ctx)
	if err != nil {
		return nil, err
	}
	wanted := view.Leader
	if zone, isCoordinator := strings.CutPrefix(target, "home:"); isCoordinator {
		wanted = view.Coordinators[zone]
	}
	for _, node := range cluster.members() {
		isRouter := node.data == "" && node.IsRunning()
		for _, coordinator := range view.Coordinators {
			isRouter = isRouter && coordinator != node.peer
		}
		if target == "router" && isRouter || target != "router" && node.peer == wanted {
			return node, nil
		}
	}
	return nil, ClusterError{"find " + target, ProcessMissingError{wanted}}
}

// ProcessMissingError reports that no process of the cluster has the address.
type ProcessMissingError struct{ Address string }

func (err ProcessMissingError) Error() string { return fmt.Sprintf("no process at %q", err.Address) }
