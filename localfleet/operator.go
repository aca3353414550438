package localfleet

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"dunlinloom/checker"
	"dunlinloom/control"
	"dunlinloom/loadgen"
	"dunlinloom/relay"
	"dunlinloom/server"
)

// The operator of a run: sends orders, sends them again, and remembers what was acknowledged.

// Operator sends orders and remembers what was acknowledged.
type Operator struct {
	cluster *Cluster
	lock    sync.Mutex
	random  *rand.Rand
	count   int
	acked   map[uint64]string // revision to the digest of its configuration
	orders  map[string]int
}

// config makes the number-th configuration of a local fleet run; its bytes differ with the number, and
// it leaves one pool out. More bindings than the kinds need make it large.
func (s *Cluster) config(number, more int) (content []byte, pools []string) {
	kinds, _ := loadgen.KindsOf(s.deployment.Name)
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
	for _, zone := range s.deployment.Zones {
		zones = append(zones, map[string]any{"name": zone})
	}
	content, err := json.Marshal(map[string]any{"bindings": bindings, "zones": zones})
	if err != nil {
		panic(ClusterError{"encode a spec", err})
	}
	return content, pools
}

func (o *Operator) node() *actor {
	nodes := o.cluster.members()
	o.lock.Lock()
	defer o.lock.Unlock()
	return nodes[o.random.IntN(len(nodes))]
}

// order sends one order until it is answered for good, as an operator would: the
// same id again at another node.
func (o *Operator) order(ctx context.Context, name, method, path string, body []byte, onSent func(id string), onEnd func(control.SubmitReply)) {
	o.lock.Lock()
	o.count++
	id := fmt.Sprintf("%s-%d", name, o.count)
	o.lock.Unlock()
	onSent(id)
	for try := 0; try < 12 && ctx.Err() == nil; try++ {
		node := o.node()
		status, _, got, err := do(ctx, method, "http://"+node.public+path, body, map[string]string{server.HeaderSubmission: id})
		var reply control.SubmitReply
		if err == nil {
			err = json.Unmarshal(got, &reply)
		}
		isFinal := err == nil && (reply.Outcome == control.Yes || reply.Outcome == control.No)
		if !isFinal {
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		o.lock.Lock()
		o.orders[name+" "+string(reply.Outcome)+" "+reply.Reason]++
		o.lock.Unlock()
		_ = status
		onEnd(reply)
		return
	}
	o.lock.Lock()
	o.orders[name+" unanswered"]++
	o.lock.Unlock()
}

func (o *Operator) putConfig(ctx context.Context, number int, base string) {
	o.putLarge(ctx, number, 0, base)
}

// putLarge puts a configuration with so many bindings more than the kinds need.
func (o *Operator) putLarge(ctx context.Context, number, more int, base string) (isYes bool) {
	config, pools := o.cluster.config(number, more)
	path := "/v1/spec"
	if base != "" {
		path += "?base=" + url.QueryEscape(base)
	}
	o.order(ctx, "spec", http.MethodPut, path, config,
		func(id string) {
			o.cluster.take(checker.Event{At: now(), What: checker.ConfigSent, ID: id, Digest: digest(config), Pools: pools})
		},
		func(reply control.SubmitReply) {
			isYes = reply.Outcome == control.Yes
			event := checker.Event{At: now(), What: checker.ConfigYes, ID: reply.ID, Revision: reply.Revision, Digest: digest(config)}
			if reply.Outcome == control.No {
				event.What, event.Reason = checker.ConfigNo, reply.Reason
			} else {
				o.lock.Lock()
				o.acked[reply.Revision] = digest(config)
				o.lock.Unlock()
			}
			o.cluster.take(event)
		})
	return isYes
}

// digest stands for a configuration in the events, where megabytes would only be in the way.
func digest(config []byte) string { return fmt.Sprintf("%x", sha256.Sum256(config)) }

func (o *Operator) zone(ctx context.Context, zone string, isEmpty bool) {
	method, name := http.MethodPut, "empty"
	if !isEmpty {
		method, name = http.MethodDelete, "refill"
	}
	o.order(ctx, name, method, "/v1/zones/"+zone+"/evacuation", nil,
		func(string) {
			// From the moment a refill is asked for, requests may go there again.
			if !isEmpty {
				o.cluster.take(checker.Event{At: now(), What: checker.ZoneRefilling, Zone: zone})
			}
		},
		func(reply control.SubmitReply) {
			if !isEmpty {
				o.cluster.take(checker.Event{At: now(), What: checker.ZoneRefilled, Zone: zone, Revision: reply.Revision})
			}
			if isEmpty && reply.Outcome == control.Yes {
				o.cluster.take(checker.Event{At: now(), What: checker.ZoneEmptied, Zone: zone, Revision: reply.Revision})
			}
		})
}

// readBack reads every acknowledged configuration under its revision.
func (o *Operator) readBack(ctx context.Context) {
	o.lock.Lock()
	acked := map[uint64]string{}
	for revision, digest := range o.acked {
		acked[revision] = digest
	}
	o.lock.Unlock()
	// The whole history too, or a rejected configuration that took effect would not be seen.
	if status, _, got, err := do(ctx, http.MethodGet, "http://"+o.node().public+"/v1/spec/history", nil, nil); err == nil && status == http.StatusOK {
		var history struct {
			Revisions []uint64 `json:"generations"`
		}
		if err := json.Unmarshal(got, &history); err != nil {
			o.cluster.problem("the history can't be read: %v", err)
		}
		for _, revision := range history.Revisions {
			acked[revision] = ""
		}
	} else {
		o.cluster.problem("the history can't be read: status %d, %v", status, err)
	}
	for revision := range acked {
		isRead := false
		for try := 0; try < 40 && !isRead && ctx.Err() == nil; try++ {
			status, headers, got, err := do(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/spec?generation=%d", o.node().public, revision), nil, nil)
			if err == nil && status == http.StatusOK && headers.Get(relay.HeaderRevision) == strconv.FormatUint(revision, 10) {
				isRead = true
				o.cluster.take(checker.Event{At: now(), What: checker.ConfigRead, Revision: revision, Digest: digest(got)})
				continue
			}
			select {
			case <-ctx.Done():
			case <-time.After(250 * time.Millisecond):
			}
		}
		// A configuration that can't be read at all is as lost as a wrong one.
		if !isRead {
			o.cluster.take(checker.Event{At: now(), What: checker.ConfigRead, Revision: revision, Digest: "(unreadable)"})
		}
	}
}

// readNow reads the configuration in force and the emptied zones at every node that serves.
func (o *Operator) readNow(ctx context.Context) {
	for _, node := range o.cluster.members() {
		if status, _, _, err := do(ctx, http.MethodGet, "http://"+node.public+"/readyz", nil, nil); err != nil || status != http.StatusOK {
			continue
		}
		status, _, got, err := do(ctx, http.MethodGet, "http://"+node.public+"/v1/fleet", nil, nil)
		var view server.FleetView
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(got, &view)
		}
		if err != nil || status != http.StatusOK {
			o.cluster.problem("the fleet can't be read at %s: status %d, %v", node.name, status, err)
			continue
		}
		o.cluster.take(checker.Event{At: now(), What: checker.ConfigCurrent, Node: node.public, Revision: view.ConfigRevision})
		o.cluster.take(checker.Event{At: now(), What: checker.ZonesRead, Node: node.public, Zones: slices.Sorted(maps.Keys(view.Drained))})
	}
}

// clash puts two configurations on one base; at most one may get a yes.
func (o *Operator) clash(ctx context.Context, number int) error {
	view, err := o.cluster.Fleet(ctx)
	if err != nil {
		return err
	}
	base := strconv.FormatUint(view.ConfigRevision, 10)
	var both sync.WaitGroup
	both.Go(func() { o.putConfig(ctx, number, base) })
	both.Go(func() { o.putConfig(ctx, number+1, base) })
	both.Wait()
	return nil
}
