package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// A zone's coordinator probes the zone's engines every probeInterval. After maxMissedProbes consecutive failures it
// counts an engine as unresponsive.
const (
	probeInterval   = 500 * time.Millisecond
	probeTimeout    = 700 * time.Millisecond
	maxMissedProbes = 3
)

// probeEngines probes the engines of this zone while this node is the zone's coordinator, until the environment ends.
// Any HTTP response counts as success: even an error status shows that the process is running.
func (r *Runner) probeEngines() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	missed := map[string]int{}
	for {
		select {
		case <-r.env.Done():
			return
		case <-ticker.C:
		}
		if state := r.State(); state.IsCoordinator {
			r.probeZone(state.Engines, missed)
		}
	}
}

// probeZone probes the engines of this zone concurrently and waits for all probes; missed counts each engine's
// consecutive failures. A change of an engine's responsiveness is posted to the node.
func (r *Runner) probeZone(engines []registry.EngineRecord, missed map[string]int) {
	var probes sync.WaitGroup
	var lock sync.Mutex // guards missed
	for _, engine := range engines {
		if !r.isProbed(engine) {
			continue
		}
		probes.Go(func() {
			isResponsive := probe(r.env, r.prober, engine.Address)
			lock.Lock()
			defer lock.Unlock()
			if isResponsive {
				missed[engine.ID] = 0
			} else {
				missed[engine.ID]++
			}
			if isUnresponsive := missed[engine.ID] >= maxMissedProbes; isUnresponsive != engine.IsUnresponsive && (isUnresponsive || isResponsive) {
				r.post(func() []commands.Command {
					return r.node.Probed(r.env.Clock.Now(), engine.ID, engine.Start, isUnresponsive)
				})
			}
		})
	}
	probes.Wait()
}

// isProbed reports whether this node probes an engine: a listed one of its zone that has an address. An engine that
// registers itself is not probed, since its heartbeats show that it is alive.
func (r *Runner) isProbed(engine registry.EngineRecord) bool {
	return engine.Zone == r.env.Self.Zone && !engine.IsUnlisted && engine.Address != "" && engine.AnnouncementSeq == 0
}

// canReach reports whether an engine's process can be reached: by a health request, or with NoProbes by a connection
// alone.
func (r *Runner) canReach(address string) bool {
	if !r.NoProbes {
		return probe(r.env, r.prober, address)
	}
	// A request would wait for a free slot like any other, so a busy engine would look dead. A connection is
	// accepted by the operating system, whether or not the engine is busy.
	ctx, cancel := context.WithTimeout(r.env, reachTimeout.Duration())
	defer cancel()
	connection, err := r.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Nothing was sent over the connection, so a failed close loses nothing.
	_ = connection.Close()
	return true
}

// reachTimeout is about a hundred times the time to connect within a region.
const reachTimeout = 300 * kernel.Millisecond

// probe reports whether an engine answers a health request, with any status.
func probe(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/health", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	// Only the fact that there was a response matters; its body is not read.
	_ = response.Body.Close()
	return true
}
