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

// Probing: a zone's coordinator tries its zone's engines so often, and after so many failed probes
// in a row counts one as unresponsive.
const (
	probeInterval   = 500 * time.Millisecond
	probeTimeout    = 700 * time.Millisecond
	maxMissedProbes = 3
)

// probeEngines probes whether the engines of this zone still answer. Any answer
// will do: a status says that a process is there, whatever it thinks of the path.
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

// probeZone probes the engines of this zone at once and waits for all; missed counts each engine's failed
// probes in a row.
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

// isProbed tells whether this node probes an engine: one of its zone that has an address. One that registers
// itself is known by its heartbeats and is spared the probes.
func (r *Runner) isProbed(engine registry.EngineRecord) bool {
	return engine.Zone == r.env.Self.Zone && !engine.IsUnlisted && engine.Address != "" && engine.AnnouncementSeq == 0
}

// canReach probes whether an engine's process exists.
func (r *Runner) canReach(address string) bool {
	if !r.NoProbes {
		return probe(r.env, r.prober, address)
	}
	// A request would wait for a place like any other, so that a busy engine looked like a
	// dead one; a connection comes up by itself, or doesn't.
	ctx, cancel := context.WithTimeout(r.env, reachTimeout.Duration())
	defer cancel()
	made, err := r.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Nothing was sent over it: a close that fails loses nothing.
	_ = made.Close()
	return true
}

// reachTimeout is a hundred times what a connection within a region takes.
const reachTimeout = 300 * kernel.Millisecond

func probe(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/health", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	// That there was an answer is all that counts; its body is not read.
	_ = response.Body.Close()
	return true
}
