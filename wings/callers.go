package wings

import (
	"net/http"
	"time"

	"dunlinloom/flyloft"
	"dunlinloom/foyer"
	"dunlinloom/house"
	"dunlinloom/playbill"
)

// Spans of the connections to engines.
const (
	engineDial    = 300 * house.Millisecond // a connection within a region comes up in milliseconds
	engineRest    = 10 * house.Second       // for which one idles where the engine says nothing
	engineSilence = 4 * house.Second        // after which unanswered bytes end a connection
)

// NewCallers makes the handler of a deployment's callers, who speak by the wire.
func NewCallers(s *Services, wire foyer.Wire) (http.Handler, error) {
	deployment := s.Deployment()
	budget := deployment.Bounds.Budget
	chooser := foyer.NewChooser(s.Cue.Self.Address, s.Cue.Self.Zone, foyer.Retry{Ratio: budget.Ratio, Window: budget.Window, Slack: budget.Slack})
	router := foyer.NewRouter(foyer.Settings{
		Cue: s.Cue, Wire: wire, Chooser: chooser,
		Pool:    foyer.NewPool(s.Cue.Clock, foyer.PlainDialer(engineSilence), engineDial, engineRest),
		MaxLive: int64(deployment.Settings.Live), MaxBodies: deployment.Limits.BodiesBytes,
		Suspect: func(engine foyer.Engine) { s.Runner.SuspectEngine(engine.ID) },
	})
	shown := &routeScenes{shelf: s.Shelf}
	s.Runner.Watch(func(state *flyloft.State) {
		if scene := shown.scene(state); scene != nil {
			chooser.Show(scene)
		}
	})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		turn := 0
		for {
			select {
			case <-s.Cue.Done():
				return
			case <-ticker.C:
				router.Sweep()
				if turn++; turn%10 == 0 {
					s.Cue.Log.Info("counts", "counts", chooser.Counts(), "live", router.Live())
				}
			}
		}
	}()
	return router, nil
}

// routeScenes turns pictures of the control plane into scenes of routed requests.
type routeScenes struct {
	shelf          *playbill.Shelf
	spec           *playbill.Spec
	specGeneration uint64
	engineRev      uint64
	routers        int
	isShown        bool
}

// scene gives the next scene, or nil when nothing changed that routing depends on.
func (r *routeScenes) scene(state *flyloft.State) *foyer.Scene {
	routers := 0
	for _, node := range state.Nodes {
		if node.IsRouter {
			routers++
		}
	}
	generation := uint64(0)
	if state.Document != nil {
		generation = state.Document.SpecGeneration
	}
	if r.isShown && generation == r.specGeneration && state.EngineRev == r.engineRev && routers == r.routers {
		return nil
	}
	if generation != r.specGeneration {
		spec, err := r.shelf.Read(state.Document.Spec)
		if err == nil {
			// One that can't be read here was read by the leader; the older one must not
			// outlive it, but there is nothing else to go by.
			r.spec = spec
		}
	}
	r.specGeneration, r.engineRev, r.routers, r.isShown = generation, state.EngineRev, routers, true
	scene := &foyer.Scene{Spec: r.spec, Routers: max(routers, 1)}
	for _, engine := range state.Engines {
		if engine.IsUnlisted || engine.Address == "" {
			continue
		}
		scene.Engines = append(scene.Engines, foyer.Engine{
			ID: engine.ID, Address: engine.Address, Zone: engine.Zone, Service: engine.Pool, Slots: engine.Slots,
			IsLeaving: engine.IsLeaving, IsDark: engine.IsDark,
		})
	}
	return scene
}
