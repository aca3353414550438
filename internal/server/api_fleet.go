package server

import (
	"net/http"
	"slices"
	"strconv"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// NodeView is one node in a FleetView.
type NodeView struct {
	registry.NodeRecord
	AgeUS kernel.Micros `json:"age_us"`
}

// FleetView is the fleet as one node sees it.
type FleetView struct {
	Self           kernel.Identity    `json:"self"`
	Revision       uint64             `json:"generation"`
	ConfigRevision uint64             `json:"spec_generation"`
	ClusterID      string             `json:"founding"`
	Leader         string             `json:"leader"`
	Role           string             `json:"role,omitempty"`
	Term           uint64             `json:"term,omitempty"`
	DiskFault      string             `json:"ailment,omitempty"`
	Core           *CoreView          `json:"core,omitempty"` // only at the leader
	LeaseRemaining kernel.Micros      `json:"licence_left_us"`
	Reason         string             `json:"why,omitempty"`
	Voters         []cluster.Member   `json:"voters"`
	Routers        []string           `json:"register"`
	Coordinators   map[string]string  `json:"homes"`
	Drained        map[string]uint64  `json:"evacuated"`
	Nodes          []NodeView         `json:"nodes"`
	Engines        []relay.EngineView `json:"engines"`
	Neighbours     []string           `json:"neighbours"`
	Traffic        []Traffic          `json:"traffic"`
	// IsPartial is set if Nodes holds only the nodes of this node's zone and a few of each other zone. The coordinators
	// know all nodes.
	IsPartial    bool `json:"nodes_partial,omitempty"`
	KnownRouters int  `json:"routers_known,omitempty"` // in the entire fleet
}

func (f *API) getFleet(w http.ResponseWriter, _ *http.Request) {
	state, now := f.runner.State(), f.env.Clock.Now()
	view := FleetView{
		Self: f.env.Self, ClusterID: state.ClusterID, Leader: state.Leader, Role: state.Role, Term: state.Term,
		DiskFault: state.DiskFault, LeaseRemaining: max(state.LeaseExpiresAt-now, 0), Reason: state.LapseReason, Neighbours: state.Neighbours, Traffic: f.traffic(state),
		IsPartial: !state.HasAllNodes(), KnownRouters: state.KnownRouters(),
	}
	if state.Health != nil {
		view.Core = &CoreView{state.Leader, state.Health, max(now-state.Health.ChangedAt, 0)}
	}
	if document := state.Document; document != nil {
		view.Revision, view.ConfigRevision = document.Revision, document.ConfigRevision
		view.Voters, view.Routers, view.Coordinators, view.Drained = document.Voters, document.Routers, document.Coordinators, document.DrainedZones
	}
	for _, node := range state.Nodes {
		view.Nodes = append(view.Nodes, NodeView{node, max(now-node.UpdatedAt, 0)})
	}
	if f.forwarder != nil {
		view.Engines = f.forwarder.Dispatcher.View(now)
	} else {
		for _, engine := range state.Engines {
			view.Engines = append(view.Engines, relay.EngineView{ID: engine.ID, Zone: engine.Zone, Address: engine.Address, Start: engine.Start, Foreign: float64(engine.Load)})
		}
	}
	f.writeJSON(w, http.StatusOK, view)
}

func (f *API) explain(w http.ResponseWriter, r *http.Request) {
	entries := f.env.Journal.Read("", r.PathValue("request"), 0)
	if journalFile := f.journalFile(); journalFile != nil {
		entries = kernel.MergeEntries(journalFile.Read(0, func(entry kernel.Entry) bool { return entry.Subject == r.PathValue("request") }), entries)
	}
	f.writeJSON(w, http.StatusOK, map[string]any{"node": f.env.Self, "entries": entries})
}

func (f *API) getJournal(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("last"))
	if err != nil {
		limit = 100
	}
	entries := f.env.Journal.Read(query.Get("part"), query.Get("subject"), limit)
	if text := query.Get("since_us"); text != "" {
		since, err := strconv.ParseInt(text, 10, 64)
		if err != nil || since < 0 {
			f.writeError(w, http.StatusBadRequest, "bad_request", "since_us is not a timestamp in microseconds")
			return
		}
		isWanted := func(entry kernel.Entry) bool {
			return entry.WallTime >= kernel.Micros(since) && (query.Get("part") == "" || entry.Component == query.Get("part")) &&
				(query.Get("subject") == "" || entry.Subject == query.Get("subject")) && (query.Get("requests") != "0" || !entry.IsRequest)
		}
		entries = slices.DeleteFunc(f.env.Journal.Read("", "", 0), func(entry kernel.Entry) bool { return !isWanted(entry) })
		if journalFile := f.journalFile(); journalFile != nil {
			entries = kernel.MergeEntries(journalFile.Read(kernel.Micros(since), isWanted), entries)
		}
	}
	f.writeJSON(w, http.StatusOK, map[string]any{"node": f.env.Self, "now_us": f.env.Clock.Now(), "entries": entries})
}

func (f *API) health(w http.ResponseWriter, _ *http.Request) {
	f.writeJSON(w, http.StatusOK, map[string]bool{"ok": true})
}

// ready serves the readiness check, by which the platform decides whether to send callers to this node.
func (f *API) ready(w http.ResponseWriter, _ *http.Request) {
	state := f.runner.State()
	switch {
	case f.isStopping():
		f.writeError(w, http.StatusServiceUnavailable, "stopping", "this node is stopping")
	case !f.isCurrent(state):
		f.writeError(w, http.StatusServiceUnavailable, "no_licence", state.LapseReason)
	case state.Document.ConfigRevision == 0:
		f.writeError(w, http.StatusServiceUnavailable, "no_spec", "no configuration has been put yet")
	case f.forwarder != nil && !f.forwarder.Dispatcher.KnowsEngines():
		// This holds only while no engine is known at all. With known engines that are down the node stays ready, and
		// tells callers when to retry.
		f.writeError(w, http.StatusServiceUnavailable, "no_engines", "this node does not know any engine yet")
	default:
		f.writeJSON(w, http.StatusOK, map[string]bool{"ok": true})
	}
}
