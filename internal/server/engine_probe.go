package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dunlinloom/internal/kernel"
)

// Probing: a home tries its zone's engines so often, and after so many silences
// in a row calls one dark.
const (
	probeInterval   = 500 * time.Millisecond
	probeTimeout    = 700 * time.Millisecond
	maxMissedProbes = 3
)

// probeEngines looks whether the engines of this zone still answer. Any answer
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
		state := r.State()
		if !state.IsCoordinator {
			continue
		}
		var probes sync.WaitGroup
		var lock sync.Mutex
		for _, engine := range state.Engines {
			// Who registers itself is known by its beats and is not to be bothered.
			if engine.Zone != r.env.Self.Zone || engine.IsUnlisted || engine.Address == "" || engine.AnnouncementSeq > 0 {
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
					r.post(func() []any { return r.node.Probed(r.env.Clock.Now(), engine.ID, engine.Start, isUnresponsive) })
				}
			})
		}
		probes.Wait()
	}
}

// canReach looks whether an engine is there at all.
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
	made.Close()
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
	response.Body.Close()
	return true
}
