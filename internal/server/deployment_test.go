package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
)

// defaultFormat is the product's own configuration format, used as the Format of a deployment.
type defaultFormat struct{}

func (defaultFormat) Read(document []byte) (*fleetconfig.Config, error) {
	return fleetconfig.Read(document)
}

func (defaultFormat) Change(document, _ []byte) ([]byte, error) { return document, nil }

func validDeployment(c *qt.C, seeds []string, peer string) *Deployment {
	settings := DefaultSettings()
	settings.Peer, settings.Zone, settings.Seeds, settings.Data = peer, "z0", seeds, c.TempDir()
	settings.ArchiveMB = 0
	return &Deployment{
		Settings: settings, Callers: freeAddress(c), Control: freeAddress(c), Readiness: freeAddress(c), CanVote: true, Bootstrap: true, Voters: 3,
		Format: defaultFormat{}, Bounds: DeploymentBounds{GracePeriod: 2 * kernel.Second},
	}
}

func TestDeploymentsNameEveryFault(t *testing.T) {
	c := qt.New(t)
	d := validDeployment(c, nil, "10.0.0.1:7000")
	c.Assert(d.Check(), qt.IsNil)
	d.Settings.Data, d.Settings.Zone, d.Format, d.Control, d.Callers, d.Readiness = "", "", nil, "10.0.0.1:7000", "host:1", "0.0.0.0:5"
	d.Settings.LeaseUS = 5_000_000
	var faults *fleetconfig.InvalidConfigError
	c.Assert(errors.As(d.Check(), &faults), qt.IsTrue)
	paths := []string{}
	for _, fault := range faults.List {
		paths = append(paths, fault.Path)
	}
	c.Assert(paths, qt.DeepEquals, []string{"callers", "control", "readiness", "zone", "data", "form", "lease_us"})
	// A router without a vote needs neither a data folder nor a control address.
	router := validDeployment(c, nil, "10.0.0.1:7000")
	router.CanVote, router.Control, router.Settings.Data = false, "", ""
	c.Assert(router.Check(), qt.IsNil)
	router.Callers = ""
	c.Assert(router.Check(), qt.IsNotNil)
}

// deployedNode is a complete node of a deployment that runs inside the test process.
type deployedNode struct {
	*Deployment
	stop   context.CancelFunc
	ended  chan error
	hangup chan os.Signal
	next   atomic.Pointer[Deployment]
	// services receives the node's services when its control handler is built.
	services chan *Services
}

func startDeployed(c *qt.C, d *Deployment, callers http.Handler) *deployedNode {
	return startDeployedWith(c, d, callers, func(*Services) http.Handler { return http.NotFoundHandler() })
}

// startDeployedWith starts a node whose control address is served by the handler that control returns.
func startDeployedWith(c *qt.C, d *Deployment, callers http.Handler, control func(*Services) http.Handler) *deployedNode {
	return startAdapted(c, d, func(*Services) (http.Handler, error) { return callers, nil }, control)
}

// startDeployedRouter starts a node whose callers are served by the router.
func startDeployedRouter(c *qt.C, d *Deployment) *deployedNode {
	callers := func(services *Services) (http.Handler, error) {
		return NewCallerHandler(services, router.DefaultWire())
	}
	return startAdapted(c, d, callers, func(*Services) http.Handler { return http.NotFoundHandler() })
}

// startAdapted starts a node whose callers and control address are served by the handlers that the functions return.
func startAdapted(c *qt.C, d *Deployment, callers func(*Services) (http.Handler, error), control func(*Services) http.Handler) *deployedNode {
	n := &deployedNode{Deployment: d, ended: make(chan error, 1), hangup: make(chan os.Signal), services: make(chan *Services, 1)}
	n.next.Store(d)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	adapter := Adapter{
		Program: "test", ReadinessPath: "/ready", Reload: func() (*Deployment, error) { return n.next.Load(), nil },
		Callers: callers,
		Control: func(services *Services) (http.Handler, error) {
			n.services <- services
			return control(services), nil
		},
	}
	c.Assert(d.Check(), qt.IsNil)
	go func() { n.ended <- RunDeployment(ctx, n.hangup, klog.Background(), d, adapter) }()
	return n
}

// get sends a GET request over a new connection and returns the response's status.
func get(address, path string) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := getURL(client, "http://"+address+path)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

// awaitStatus repeats a request until it returns the expected status. Only the test's timeout ends it otherwise.
func awaitStatus(address, path string, status int) {
	for {
		if got, err := get(address, path); err == nil && got == status {
			return
		}
	}
}

// awaitRegistered repeats an engine's heartbeat until it is acknowledged. On a heavily loaded machine a node may not hear
// from its leader for seconds; it then returns an IsolatedError, the only error that is tolerated.
func awaitRegistered(c *qt.C, runner *Runner, beat registry.EngineRecord) {
	for {
		_, err := runner.Register(context.Background(), beat)
		if err == nil {
			return
		}
		c.Assert(errors.As(err, new(control.IsolatedError)), qt.IsTrue, qt.Commentf("%v", err))
		beat.Seq++
	}
}

func TestADeploymentFromItsStartToAPlannedStop(t *testing.T) {
	c := qt.New(t)
	startedAt, release := make(chan bool, 1), make(chan bool)
	callers := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			startedAt <- true
			<-release
		}
		_, err := fmt.Fprint(w, "whole")
		c.Check(err, qt.IsNil)
	})
	seeds := []string{freeAddress(c), freeAddress(c), freeAddress(c)}
	nodes := []*deployedNode{}
	for _, seed := range seeds {
		nodes = append(nodes, startDeployed(c, validDeployment(c, seeds, seed), callers))
	}
	services := []*Services{}
	// A deployment's configurations carry increasing versions.
	versioned := strings.Replace(configOne, "{", `{"version":"1",`, 1)
	for _, node := range nodes {
		services = append(services, <-node.services)
	}
	awaitStatus(nodes[0].Readiness, "/ready", http.StatusServiceUnavailable)
	for try := 0; ; try++ {
		reply, err := services[0].Runner.Submit(context.Background(), &cluster.Submit{ID: fmt.Sprint("first", try), Operation: cluster.PutConfig, Config: []byte(versioned)})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Outcome, qt.Not(qt.Equals), cluster.Rejected, qt.Commentf("%v", reply))
		if reply.Outcome == cluster.Accepted {
			break
		}
	}
	c.Assert(services[0].UnreadyReason(), qt.Equals, "this node knows no usable engine")
	// The node's replies to a read and to an engine's registration have to reach the caller. A caller whose reply was
	// dropped by the runner would wait forever.
	newest, err := services[2].Runner.LinearizableRead(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(newest.ConfigRevision > 0, qt.IsTrue)
	services[1].Runner.ReportEngines([]registry.EngineRecord{{ID: "e", Address: "10.9.9.9:1", Zone: "z0", Pool: "p", Start: 1, Seq: 1}})
	awaitRegistered(c, services[1].Runner, registry.EngineRecord{ID: "e", Address: "10.9.9.9:1", Zone: "z0", Pool: "p", Start: 1, Seq: 2})
	for _, node := range nodes {
		awaitStatus(node.Readiness, "/ready", http.StatusOK)
	}
	// A signal reloads the settings without interrupting service.
	changed := *nodes[0].Deployment
	changed.Bounds.GracePeriod = 7 * kernel.Second
	nodes[0].next.Store(&changed)
	nodes[0].hangup <- os.Interrupt
	nodes[0].hangup <- os.Interrupt // received only after the first one has been handled
	c.Assert(services[0].Deployment().Bounds.GracePeriod, qt.Equals, 7*kernel.Second)

	// A planned stop: the node is not ready at once, still serves, and completes the requests in progress.
	slow := make(chan string, 1)
	go func() {
		response, err := getURL(http.DefaultClient, "http://"+nodes[0].Callers+"/slow")
		if err != nil {
			slow <- err.Error()
			return
		}
		defer checkClose(c, response.Body)
		body, err := io.ReadAll(response.Body)
		slow <- fmt.Sprint(string(body), err)
	}()
	<-startedAt
	nodes[0].stop()
	awaitStatus(nodes[0].Readiness, "/ready", http.StatusServiceUnavailable)
	// Over a connection that the caller would keep alive.
	quick, err := getURL(&http.Client{Transport: &http.Transport{}}, "http://"+nodes[0].Callers+"/quick")
	c.Assert(err, qt.IsNil)
	c.Assert(quick.Body.Close(), qt.IsNil)
	c.Assert(quick.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(quick.Close, qt.IsTrue)
	close(release)
	c.Assert(<-slow, qt.Equals, "whole<nil>")
	c.Assert(<-nodes[0].ended, qt.IsNil)
	_, err = get(nodes[0].Callers, "/quick")
	c.Assert(err, qt.IsNotNil)
	for _, node := range nodes[1:] {
		node.stop()
	}
	for _, node := range nodes[1:] {
		c.Assert(<-node.ended, qt.IsNil)
	}
}

func TestADeploymentServesWithoutItsDisk(t *testing.T) {
	c := qt.New(t)
	seed := freeAddress(c)
	d := validDeployment(c, []string{seed}, seed)
	file := filepath.Join(c.TempDir(), "file")
	c.Assert(os.WriteFile(file, nil, 0o600), qt.IsNil)
	d.Settings.Data = filepath.Join(file, "data")
	node := startDeployed(c, d, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := fmt.Fprint(w, "served")
		c.Check(err, qt.IsNil)
	}))
	services := <-node.services
	awaitStatus(d.Callers, "/", http.StatusOK)
	c.Assert(services.Runner.State().Role, qt.Equals, "")
	node.stop()
	c.Assert(<-node.ended, qt.IsNil)
}

// After a restart a node knows the configuration and the engines from its snapshot before it has contacted another node.
func TestADeploymentStartsFromItsSnapshot(t *testing.T) {
	c := qt.New(t)
	seed := freeAddress(c)
	d := validDeployment(c, []string{seed}, seed)
	callers := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	first := startDeployed(c, d, callers)
	services := <-first.services
	versioned := strings.Replace(configOne, "{", `{"version":"1",`, 1)
	for try, isKept := 0, false; !isKept; try++ {
		reply, err := services.Runner.Submit(context.Background(), &cluster.Submit{ID: fmt.Sprint("first", try), Operation: cluster.PutConfig, Config: []byte(versioned)})
		c.Assert(err, qt.IsNil)
		isKept = reply.Outcome == cluster.Accepted
	}
	awaitRegistered(c, services.Runner, registry.EngineRecord{ID: "engine-1", Address: "10.9.9.9:1", Zone: "z0", Pool: "p", Seq: 1})
	for {
		content, err := os.ReadFile(filepath.Join(d.Settings.Data, "snapshot.json"))
		if err == nil && strings.Contains(string(content), "engine-1") {
			break
		}
	}
	kept := services.Runner.State().Document
	first.stop()
	c.Assert(<-first.ended, qt.IsNil)

	again := *d
	again.Bootstrap, again.Settings.Seeds = false, []string{freeAddress(c)}
	second := startDeployed(c, &again, callers)
	services = <-second.services
	state := services.Runner.State()
	// The configuration is compiled in another goroutine.
	for state.Document == nil {
		state = services.Runner.State()
	}
	// The document is that of the first run: an election in this run would give another term.
	c.Assert(state.Document.Term, qt.Equals, kept.Term)
	c.Assert(state.Document.ConfigRevision, qt.Equals, kept.ConfigRevision)
	c.Assert(string(state.Document.Config), qt.Equals, versioned)
	c.Assert(state.Engines, qt.HasLen, 1)
	second.stop()
	c.Assert(<-second.ended, qt.IsNil)
}
