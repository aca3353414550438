package server

import (
	"net/http"

	"dunlinloom/internal/control"
	"dunlinloom/internal/kernel"
)

// CoreView is the health of the core as its leader sees it.
type CoreView struct {
	Leader string `json:"leader"` // its peer address
	*control.Health
	AgeUS kernel.Micros `json:"since_us"` // time since the health last changed
}

// getCore serves the health of the core. Only the leader knows it, so other nodes redirect to the leader.
func (f *API) getCore(w http.ResponseWriter, r *http.Request) {
	state, now := f.runner.State(), f.env.Clock.Now()
	if state.Health != nil {
		f.writeJSON(w, http.StatusOK, CoreView{state.Leader, state.Health, max(now-state.Health.ChangedAt, 0)})
		return
	}
	if public := publicAddress(state, state.Leader); public != "" && public != f.env.Self.Public {
		http.Redirect(w, r, "http://"+public+r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	w.Header().Set("Retry-After", "1")
	f.writeError(w, http.StatusServiceUnavailable, "no_leader", "this node does not know a leader of the core")
}

// publicAddress returns the public address of the node that has the given peer address, or "" if it is not known.
func publicAddress(state *control.State, peer string) string {
	for _, node := range state.Nodes {
		if node.Address == peer {
			return node.PublicAddress
		}
	}
	return ""
}
