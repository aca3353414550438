package soak

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
)

// Limits in every configuration.
const (
	configIdle = 15 * kernel.Second
	configBody = 1 << 20
)

// operator changes the configuration and reads it.
type operator struct {
	fleet *fleet
	calls atomic.Int64

	lock    sync.Mutex // guards the fields below
	random  *rand.Rand
	number  int
	version uint64 // latest version known to be in force
	content map[uint64][]byte
	routes  []fleetconfig.Route
	highest uint64 // highest version drawn or read so far
}

func newOperator(f *fleet) *operator {
	o := &operator{fleet: f, random: rand.New(rand.NewPCG(f.settings.Seed, 7)), content: map[uint64][]byte{}}
	for _, kind := range kinds() {
		o.routes = append(o.routes, kind.Route)
	}
	return o
}

// operation is one configuration change, which is sent until it is accepted or rejected.
type operation struct {
	name      string
	base      uint64
	version   uint64
	body      []byte
	isChange  bool
	isInvalid bool
	result    []byte // the complete configuration that results from it
}

func digestOf(content []byte) string {
	return fmt.Sprintf("%x", sha256.Sum256(content))[:16]
}

// Time limits and intervals of an operator's calls, and the inverse shares of lost responses and repeated operations.
const (
	callTimeout       = kernel.Second // time limit of one call, after which another node is tried
	operationInterval = 12 * kernel.Second
	maxBackoff        = kernel.Second
	readInterval      = 150 * ms
	lostOneIn         = 5 // calls whose response may be lost
	repeatOneIn       = 3 // accepted operations that are sent again
)

// begin puts the first configuration.
func (o *operator) begin() error {
	until := o.fleet.clock.Now() + openingSpan
	first := o.newOperation(0, o.nextVersion(), o.routes, false)
	for o.fleet.clock.Now() < until {
		if o.retryUntilAnswered(o.fleet.context, first) == operationAccepted {
			return nil
		}
	}
	return RunError{"put the first configuration", NotReadyError{}}
}

// nextVersion returns an unused version. Versions increase by steps of random size.
func (o *operator) nextVersion() uint64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.highest += 1 + uint64(o.random.IntN(3))
	return o.highest
}

// newOperation returns an operation based on a version: a complete configuration, or a change of one route.
func (o *operator) newOperation(base, version uint64, routes []fleetconfig.Route, isChange bool) *operation {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.number++
	made := &operation{name: fmt.Sprint("order-", o.number), base: base, version: version, isChange: isChange}
	var err error
	if isChange {
		changed := routes[o.random.IntN(len(routes))]
		changed.LatencyTarget += kernel.Micros(o.random.IntN(50)) * ms
		made.body, err = platform.EncodeRouteChange(version, []fleetconfig.Route{changed}, nil)
		if err == nil {
			made.result, err = platform.ApplyChange(o.content[base], made.body)
		}
	} else {
		caps := fleetconfig.Caps{BodyBytes: configBody, HeaderBytes: 16 << 10, HeaderTimeout: 3 * kernel.Second, IdleTimeout: configIdle}
		made.body, err = platform.EncodeConfig(version, routes, services(), caps, o.fleet.tenancy.configured())
		made.result = made.body
	}
	if err != nil {
		panic(RunError{"encode an operation", err}) // package platform can encode whatever it can decode
	}
	return made
}

// newTenantOperation returns an operation based on a version that sets the tenants to their intended configuration.
func (o *operator) newTenantOperation(base, version uint64) (made *operation, err error) {
	tenants := o.fleet.tenancy.configured()
	o.lock.Lock()
	defer o.lock.Unlock()
	o.number++
	made = &operation{name: fmt.Sprint("order-", o.number), base: base, version: version, isChange: true}
	if made.body, err = platform.EncodeTenantChange(version, tenants, nil); err != nil {
		return nil, err
	}
	made.result, err = platform.ApplyChange(o.content[base], made.body)
	return made, err
}

// putTenants puts the intended configuration of the tenants until isDone or until operationInterval has passed. It
// reports whether isDone.
func (o *operator) putTenants(ctx context.Context, isDone func() bool) bool {
	until := o.fleet.clock.Now() + operationInterval
	for o.fleet.clock.Now() < until && ctx.Err() == nil {
		base, isKnown := o.current(ctx)
		if isDone() {
			return true
		}
		if isKnown {
			made, err := o.newTenantOperation(base, o.nextVersion())
			if err != nil {
				o.fleet.problem("encode a change of the tenants: %v", err)
				return false
			}
			o.retryUntilAnswered(ctx, made)
		}
		pause(ctx, 50*ms)
	}
	return isDone()
}

// varyRoutes returns the routes of the next configuration. Latency targets change, the safe route moves to a random
// service, and half of the configurations have an additional route.
func (o *operator) varyRoutes() []fleetconfig.Route {
	o.lock.Lock()
	defer o.lock.Unlock()
	routes := slices.Clone(o.routes)
	for i := range routes {
		routes[i].LatencyTarget += kernel.Micros(o.random.IntN(100)) * ms
		if routes[i].Name == routeSafe {
			routes[i].Splits = singleSplit([]string{servicePlain, serviceText}[o.random.IntN(2)])
		}
	}
	if o.random.IntN(2) == 0 {
		extra := routes[len(routes)-1]
		extra.Name, extra.Host = fmt.Sprint("extra-", o.number), "extra.example"
		routes = append(routes, extra)
	}
	return routes
}

// operationOutcome is the outcome of an operation.
type operationOutcome int

const (
	operationUnknown operationOutcome = iota
	operationAccepted
	operationRejected
)

// retryUntilAnswered sends an operation to random nodes until it is accepted or rejected, or until operationInterval
// has passed.
func (o *operator) retryUntilAnswered(ctx context.Context, sent *operation) operationOutcome {
	o.allowServices(sent)
	o.fleet.tenancy.recordKeysSent(sent.result)
	until, wait := o.fleet.clock.Now()+operationInterval, 50*ms
	for o.fleet.clock.Now() < until && ctx.Err() == nil {
		status := o.send(ctx, sent, o.fleet.anyNode())
		switch {
		case status >= 200 && status < 300:
			o.recordInForce(sent)
			return operationAccepted
		case status >= 400 && status < 500 && status != 408 && status != 429:
			return operationRejected
		}
		if !pause(ctx, wait) {
			break
		}
		wait = min(wait*2, maxBackoff)
	}
	return operationUnknown
}

// allowServices records, before an operation is sent, to which services it would send the requests of each route.
func (o *operator) allowServices(sent *operation) {
	routes, err := platform.RoutesOf(sent.result)
	if err != nil {
		return // an invalid operation must not take effect, so it allows no service
	}
	o.fleet.lock.Lock()
	defer o.fleet.lock.Unlock()
	for _, route := range routes {
		for _, split := range route.Splits {
			if known := o.fleet.services[route.Name]; !slices.Contains(known, split.Service) {
				o.fleet.services[route.Name] = append(known, split.Service)
			}
		}
	}
}

// recordInForce records that an operation's configuration is in force.
func (o *operator) recordInForce(sent *operation) {
	o.fleet.tenancy.recordKeysInForce(sent.version, sent.result)
	o.lock.Lock()
	defer o.lock.Unlock()
	o.content[sent.version] = sent.result
	o.version = max(o.version, sent.version)
}

// send sends an operation once and returns the status of the response, or zero if there was none or it was lost.
func (o *operator) send(ctx context.Context, sent *operation, n *node) int {
	call := int(o.calls.Add(1))
	o.lock.Lock()
	isLost := o.random.IntN(lostOneIn) == 0
	lostAfter := kernel.Micros(o.random.Int64N(int64(40 * ms)))
	o.lock.Unlock()
	span := callTimeout
	if isLost {
		span = lostAfter
	}
	limit, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	o.fleet.recordOperation(checker.OperationEvent{EventKind: checker.OperationSent, Call: call, Node: n.name, Operation: sent.name, Base: sent.base, Version: sent.version,
		Digest: digestOf(sent.result), IsInvalid: sent.isInvalid})
	put := o.fleet.client.PutConfig
	if sent.isChange {
		put = o.fleet.client.PatchConfig
	}
	answer, err := put(limit, n.address(portControl), sent.base, sent.body)
	status := answer.Status
	if err != nil {
		status = 0
	}
	o.fleet.recordOperation(checker.OperationEvent{EventKind: checker.OperationEnded, Call: call, Node: n.name, Operation: sent.name, Status: status})
	return status
}

// run sends one operation after another until the context ends.
func (o *operator) run(ctx context.Context) {
	for pause(ctx, kernel.Micros(500+o.drawInt(2000))*ms) {
		base, isKnown := o.current(ctx)
		if !isKnown {
			continue
		}
		switch o.drawInt(8) {
		case 0:
			o.sendConflicting(ctx, base)
		case 1:
			o.sendInvalid(ctx, base)
		case 2, 3:
			o.change(ctx, o.newOperation(base, o.nextVersion(), o.routesOf(base), true))
		default:
			o.change(ctx, o.newOperation(base, o.nextVersion(), o.varyRoutes(), false))
		}
	}
}

func (o *operator) drawInt(bound int) int {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.random.IntN(bound)
}

func (o *operator) routesOf(version uint64) []fleetconfig.Route {
	o.lock.Lock()
	defer o.lock.Unlock()
	routes, err := platform.RoutesOf(o.content[version])
	if err != nil {
		panic(RunError{"decode the routes of a configuration", err})
	}
	return routes
}

// current reads the version that is in force from a random node.
func (o *operator) current(ctx context.Context) (version uint64, isKnown bool) {
	for range heartbeatAttempts {
		if version, content := o.readOnce(ctx, o.fleet.anyNode(), false); version > 0 {
			o.lock.Lock()
			o.content[version], o.version = content, max(o.version, version)
			o.highest = max(o.highest, version)
			o.lock.Unlock()
			return version, true
		}
	}
	return 0, false
}

// change sends an operation, and repeats some operations after their acknowledgement.
func (o *operator) change(ctx context.Context, made *operation) {
	if o.retryUntilAnswered(ctx, made) != operationAccepted || o.drawInt(repeatOneIn) > 0 {
		return
	}
	pause(ctx, kernel.Micros(o.drawInt(1500))*ms)
	o.send(ctx, made, o.fleet.anyNode())
}

// sendConflicting concurrently sends two different changes with the same base version and the same new version.
func (o *operator) sendConflicting(ctx context.Context, base uint64) {
	version := o.nextVersion()
	first, second := o.newOperation(base, version, o.varyRoutes(), false), o.newOperation(base, version, o.varyRoutes(), false)
	var both sync.WaitGroup
	for _, made := range []*operation{first, second} {
		both.Go(func() { o.retryUntilAnswered(ctx, made) })
	}
	both.Wait()
}

// sendInvalid sends an invalid operation, which no node may accept.
func (o *operator) sendInvalid(ctx context.Context, base uint64) {
	routes := o.varyRoutes()
	switch o.drawInt(3) {
	case 0:
		routes[0].Timeout = 0
	case 1:
		routes[1].Splits = singleSplit("nowhere")
	default:
		routes[2].Host, routes[2].Prefix = routes[3].Host, routes[3].Prefix
	}
	made := o.newOperation(base, o.nextVersion(), routes, false)
	made.isInvalid = true
	o.retryUntilAnswered(ctx, made)
}

// read periodically reads the configuration from random nodes until the context ends.
func (o *operator) read(ctx context.Context) {
	for pause(ctx, readInterval) {
		o.readOnce(ctx, o.fleet.anyNode(), false)
	}
}

// readOnce reads the configuration at one node. It returns version zero if there was no usable response.
func (o *operator) readOnce(ctx context.Context, n *node, isLast bool) (version uint64, content []byte) {
	call := int(o.calls.Add(1))
	limit, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	o.fleet.recordOperation(checker.OperationEvent{EventKind: checker.ReadSent, Call: call, Node: n.name})
	answer, err := o.fleet.client.GetConfig(limit, n.address(portControl))
	if err != nil || !answer.IsAcknowledged() {
		return 0, nil
	}
	version, err = platform.VersionOf(answer.Body)
	if err != nil {
		o.fleet.problem("%s returned a configuration that can't be read: %v", n.name, err)
		return 0, nil
	}
	o.fleet.tenancy.recordKeysInForce(version, answer.Body)
	o.fleet.recordOperation(checker.OperationEvent{EventKind: checker.ReadAnswered, Call: call, Node: n.name, Version: version, Digest: digestOf(answer.Body), Status: answer.Status, IsLast: isLast})
	return version, answer.Body
}

// readBackSpan is how long a read is retried at each node at the end of the run.
const readBackSpan = 5 * kernel.Second

// readBack reads the configuration at every node after the fleet has recovered.
func (o *operator) readBack(ctx context.Context) {
	for _, n := range o.fleet.members() {
		isRead := false
		for until := time.Now().Add(readBackSpan.Duration()); !isRead && time.Now().Before(until); {
			version, _ := o.readOnce(ctx, n, true)
			isRead = version > 0
		}
		if !isRead {
			o.fleet.problem("%s did not return the configuration at the end of the run", n.name)
		}
	}
}
