package localfleet

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
	"dunlinloom/test/loadgen"
)

// Operator simulates the operator of a fleet: it submits operations, repeats them, and keeps the acknowledged
// configurations.
type Operator struct {
	cluster      *Cluster
	lock         sync.Mutex
	random       *rand.Rand
	lastID       int
	repeats      sync.WaitGroup
	acknowledged map[uint64]string // configuration digests by revision
	orders       map[string]int
}

// config returns the configuration with the given number and the pools that it uses. The content depends on the
// number, which also selects the one pool that is omitted. The parameter more adds that many unused bindings, to make
// the configuration large.
func (cluster *Cluster) config(number, more int) (content []byte, pools []string) {
	kinds, _ := loadgen.KindsOf(cluster.deployment.Name)
	bindings, shares := []any{}, []any{}
	for i := range poolCount {
		if i != number%poolCount {
			pools = append(pools, fmt.Sprintf("p%d", i))
			shares = append(shares, map[string]any{"pool": pools[len(pools)-1], "weight": 100 + number%7})
		}
	}
	for i := range more {
		bindings = append(bindings, map[string]any{"name": fmt.Sprintf("more-%d", i), "match": map[string]any{"kind": fmt.Sprintf("no-such-%d", i)}, "shares": shares[:1]})
	}
	for _, kind := range kinds {
		bindings = append(bindings, map[string]any{
			"name": fmt.Sprintf("%s-%d", kind.Name, number), "match": map[string]any{"kind": kind.Name},
			"shares": shares, "ttftLimitUs": 8_000_000,
		})
	}
	zones := []any{}
	for _, zone := range cluster.deployment.Zones {
		zones = append(zones, map[string]any{"name": zone})
	}
	content, err := json.Marshal(map[string]any{"bindings": bindings, "zones": zones})
	if err != nil {
		panic(ClusterError{"encode a configuration", err})
	}
	return content, pools
}

func (operator *Operator) node() *process {
	nodes := operator.cluster.members()
	operator.lock.Lock()
	defer operator.lock.Unlock()
	return nodes[operator.random.IntN(len(nodes))]
}

// submit sends one operation, and retries it with the same id at randomly chosen nodes until it is accepted or
// rejected, or the attempts are used up. An accepted operation is sent once more later.
func (operator *Operator) submit(ctx context.Context, name, method, path string, body []byte, onSent func(id string), onEnd func(cluster.SubmitResponse)) {
	sent := operation{operator.nextID(name), method, path, body}
	onSent(sent.id)
	for attempt := 0; attempt < 12 && ctx.Err() == nil; attempt++ {
		reply, err := sent.send(ctx, operator.node())
		isFinal := err == nil && (reply.Outcome == cluster.Accepted || reply.Outcome == cluster.Rejected)
		if !isFinal {
			pause(ctx, resendPauseMS)
			continue
		}
		operator.count(name + " " + string(reply.Outcome) + " " + reply.Reason)
		onEnd(reply)
		if reply.Outcome == cluster.Accepted {
			operator.repeats.Go(func() { operator.repeat(ctx, sent) })
		}
		return
	}
	operator.count(name + " unanswered")
}

func (operator *Operator) nextID(name string) string {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	operator.lastID++
	return fmt.Sprintf("%s-%d", name, operator.lastID)
}

// count counts one outcome of an operation or a read.
func (operator *Operator) count(what string) {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	operator.orders[what]++
}

// noBase marks a configuration change without a base revision. All revisions are greater than it.
const noBase = 0

func (operator *Operator) putConfig(ctx context.Context, number int, base uint64) {
	operator.putConfigOfSize(ctx, number, 0, base)
}

// putConfigOfSize puts a configuration that has the given number of additional bindings, and reports whether it was
// accepted.
func (operator *Operator) putConfigOfSize(ctx context.Context, number, more int, base uint64) (isAccepted bool) {
	config, pools := operator.cluster.config(number, more)
	path := "/v1/spec"
	if base != noBase {
		path += fmt.Sprint("?base=", base)
	}
	operator.submit(ctx, "spec", http.MethodPut, path, config,
		func(id string) {
			operator.cluster.record(checker.Event{At: now(), EventKind: checker.ConfigSent, ID: id, Digest: digest(config), Pools: pools, HasBase: base != noBase, Base: base})
		},
		func(reply cluster.SubmitResponse) {
			isAccepted = reply.Outcome == cluster.Accepted
			event := checker.Event{At: now(), EventKind: checker.ConfigAccepted, ID: reply.ID, Revision: reply.Revision, Digest: digest(config)}
			if reply.Outcome == cluster.Rejected {
				event.EventKind, event.Reason = checker.ConfigRejected, reply.Reason
			} else {
				operator.lock.Lock()
				operator.acknowledged[reply.Revision] = digest(config)
				operator.lock.Unlock()
			}
			operator.cluster.record(event)
		})
	return isAccepted
}

// digest identifies a configuration in the events, which would otherwise grow by megabytes.
func digest(config []byte) string { return fmt.Sprintf("%x", sha256.Sum256(config)) }

func (operator *Operator) zone(ctx context.Context, zone string, isDrain bool) {
	method, name := http.MethodPut, "empty"
	if !isDrain {
		method, name = http.MethodDelete, "refill"
	}
	operator.submit(ctx, name, method, "/v1/zones/"+zone+"/evacuation", nil,
		func(string) {
			// Requests may go to the zone as soon as the end of the drain is requested.
			if !isDrain {
				operator.cluster.record(checker.Event{At: now(), EventKind: checker.ZoneUndraining, Zone: zone})
			}
		},
		func(reply cluster.SubmitResponse) {
			if !isDrain {
				operator.cluster.record(checker.Event{At: now(), EventKind: checker.ZoneUndrained, Zone: zone, Revision: reply.Revision})
			}
			if isDrain && reply.Outcome == cluster.Accepted {
				operator.cluster.record(checker.Event{At: now(), EventKind: checker.ZoneDrained, Zone: zone, Revision: reply.Revision})
			}
		})
}

// readBack reads every acknowledged configuration and every revision of the history, and records what was read.
func (operator *Operator) readBack(ctx context.Context) {
	operator.lock.Lock()
	revisions := map[uint64]string{}
	for revision, digest := range operator.acknowledged {
		revisions[revision] = digest
	}
	operator.lock.Unlock()
	// The history shows whether a rejected configuration took effect, which the acknowledged revisions do not.
	if status, _, got, err := request(ctx, http.MethodGet, "http://"+operator.node().public+"/v1/spec/history", nil, nil); err == nil && status == http.StatusOK {
		var history struct {
			Revisions []uint64 `json:"generations"`
		}
		if err := json.Unmarshal(got, &history); err != nil {
			operator.cluster.addFailure("decode the configuration history: %v", err)
		}
		for _, revision := range history.Revisions {
			revisions[revision] = ""
		}
	} else {
		operator.cluster.addFailure("read the configuration history: status %d, %v", status, err)
	}
	for revision := range revisions {
		isRead := false
		for attempt := 0; attempt < 40 && !isRead && ctx.Err() == nil; attempt++ {
			status, headers, got, err := request(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/spec?generation=%d", operator.node().public, revision), nil, nil)
			if err == nil && status == http.StatusOK && headers.Get(relay.HeaderRevision) == strconv.FormatUint(revision, 10) {
				isRead = true
				operator.cluster.record(checker.Event{At: now(), EventKind: checker.ConfigRead, Revision: revision, Digest: digest(got)})
				continue
			}
			select {
			case <-ctx.Done():
			case <-time.After(250 * time.Millisecond):
			}
		}
		// A configuration that cannot be read counts as lost, like one with the wrong content.
		if !isRead {
			operator.cluster.record(checker.Event{At: now(), EventKind: checker.ConfigRead, Revision: revision, Digest: "(unreadable)"})
		}
	}
}

// readCurrent reads the configuration in force and the drained zones at every node that is ready.
func (operator *Operator) readCurrent(ctx context.Context) {
	for _, node := range operator.cluster.members() {
		if status, _, _, err := request(ctx, http.MethodGet, "http://"+node.public+"/readyz", nil, nil); err != nil || status != http.StatusOK {
			continue
		}
		status, _, got, err := request(ctx, http.MethodGet, "http://"+node.public+"/v1/fleet", nil, nil)
		var view server.FleetView
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(got, &view)
		}
		if err != nil || status != http.StatusOK {
			operator.cluster.addFailure("read the fleet view at %s: status %d, %v", node.name, status, err)
			continue
		}
		operator.cluster.record(checker.Event{At: now(), EventKind: checker.ConfigCurrent, Node: node.public, Revision: view.ConfigRevision})
		operator.cluster.record(checker.Event{At: now(), EventKind: checker.ZonesRead, Node: node.public, Zones: slices.Sorted(maps.Keys(view.Drained))})
	}
}

// putTwoOnOneBase concurrently puts two configurations with the same base revision. At most one may be accepted.
func (operator *Operator) putTwoOnOneBase(ctx context.Context, number int) error {
	view, err := operator.cluster.Fleet(ctx)
	if err != nil {
		return err
	}
	base := view.ConfigRevision
	var both sync.WaitGroup
	both.Go(func() { operator.putConfig(ctx, number, base) })
	both.Go(func() { operator.putConfig(ctx, number+1, base) })
	both.Wait()
	return nil
}
