package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// Platform emulates the platform's list of engines, which shows each change after a lag.
type Platform struct {
	lock     sync.Mutex
	lag      kernel.Micros
	revision uint64
	engines  map[string]listedEngine
	history  []snapshot
}

type listedEngine struct {
	engine    registry.ListingEngine
	startedAt time.Time
}

type snapshot struct {
	at       time.Time
	revision uint64
	engines  []listedEngine
}

// NewPlatform returns an empty list with the given lag.
func NewPlatform(lag kernel.Micros) *Platform {
	return &Platform{lag: lag, engines: map[string]listedEngine{}, history: []snapshot{{revision: 1}}, revision: 1}
}

// Set adds an engine to the list, or replaces the engine with the same ID.
func (p *Platform) Set(engine registry.ListingEngine) {
	p.update(func() { p.engines[engine.ID] = listedEngine{engine, time.Now().Add(-engine.Uptime.Duration())} })
}

// Remove removes an engine from the list.
func (p *Platform) Remove(id string) { p.update(func() { delete(p.engines, id) }) }

func (p *Platform) update(edit func()) {
	p.lock.Lock()
	defer p.lock.Unlock()
	edit()
	p.revision++
	now := snapshot{at: time.Now(), revision: p.revision}
	for _, entry := range p.engines {
		now.engines = append(now.engines, entry)
	}
	p.history = append(p.history, now)
}

// List returns the newest state of the list that is at least as old as the lag.
func (p *Platform) List() registry.Listing {
	p.lock.Lock()
	defer p.lock.Unlock()
	shown := p.history[0]
	for _, snapshot := range p.history {
		if time.Since(snapshot.at) >= p.lag.Duration() {
			shown = snapshot
		}
	}
	listing := registry.Listing{Revision: shown.revision, Engines: []registry.ListingEngine{}}
	for _, listed := range shown.engines {
		engine := listed.engine
		engine.Uptime = kernel.MicrosOf(time.Since(listed.startedAt))
		listing.Engines = append(listing.Engines, engine)
	}
	return listing
}

// Handler returns the HTTP API of the list, including the control endpoints with which a local fleet run changes it.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/engines", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.List()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("PUT /control/engines", func(w http.ResponseWriter, r *http.Request) {
		var engine registry.ListingEngine
		if err := json.NewDecoder(r.Body).Decode(&engine); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(engine)
	})
	mux.HandleFunc("PUT /control/lag", func(w http.ResponseWriter, r *http.Request) {
		var lag kernel.Micros
		if err := json.NewDecoder(r.Body).Decode(&lag); err != nil || lag < 0 {
			http.Error(w, "the lag must be a non-negative whole number of microseconds", http.StatusBadRequest)
			return
		}
		p.lock.Lock()
		defer p.lock.Unlock()
		p.lag = lag
	})
	mux.HandleFunc("DELETE /control/engines/{id}", func(_ http.ResponseWriter, r *http.Request) { p.Remove(r.PathValue("id")) })
	return mux
}
