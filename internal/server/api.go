package server

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/drain"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/router"
)

// HeaderSubmission carries the ID of an operator's submission, so that a retry gets the same reply.
const HeaderSubmission = "Dunlinloom-Submission"

// API is the public HTTP interface of a node. Its handlers run concurrently, one goroutine per request; its fields do
// not change once it serves.
type API struct {
	env             kernel.Env
	runner          *Runner
	forwarder       *relay.Forwarder // nil without a router
	connections     *Connections
	compiler        *fleetconfig.Compiler
	limitedListener *LimitedListener
	controlGuard    *ControlGuard // nil unless a deployment's control address is served
	// callerConnections are the connections of a deployment's callers; nil where there are none.
	callerConnections *drain.Listener
	archive           *history.Archive // nil where past configurations are not kept
	services          *kernel.Kernel
	isStopping        func() bool
	router            *router.Router // nil unless routes of a deployment are served
	invariants        *invariant.Monitor
}

// NewAPI builds the handler of a node's public address from the services registered with the kernel.
func NewAPI(env kernel.Env, services *kernel.Kernel, invariants *invariant.Monitor, stopping func() bool) (http.Handler, error) {
	runner, runnerErr := kernel.Find[*Runner](services, ServiceRunner)
	connections, connectionsErr := kernel.Find[*Connections](services, ServiceConnections)
	compiler, compilerErr := kernel.Find[*fleetconfig.Compiler](services, ServiceCompiler)
	limitedListener, limitedListenerErr := kernel.Find[*LimitedListener](services, ServiceLimitedListener)
	if err := errors.Join(runnerErr, connectionsErr, compilerErr, limitedListenerErr); err != nil {
		return nil, fmt.Errorf("open the API: %w", err)
	}
	// A controller routes no requests, so it has no forwarder and does not serve completions.
	forwarder, err := kernel.Find[*relay.Forwarder](services, ServiceForwarder)
	if err != nil {
		forwarder = nil
	}
	api := &API{
		env: env, runner: runner, forwarder: forwarder, connections: connections, compiler: compiler, limitedListener: limitedListener,
		archive: findOptional[history.Archive](services, ServiceArchive), services: services, isStopping: stopping, invariants: invariants,
	}
	mux := http.NewServeMux()
	if forwarder != nil {
		mux.Handle("POST /v1/completions", forwarder)
	}
	mux.HandleFunc("PUT /v1/spec", api.putConfig)
	mux.HandleFunc("GET /v1/spec", api.getConfig)
	mux.HandleFunc("GET /v1/spec/history", api.getHistory)
	mux.HandleFunc("POST /v1/spec/check", api.checkConfig)
	mux.HandleFunc("PUT /v1/zones/{zone}/evacuation", api.submitZoneOperation(cluster.DrainZone))
	mux.HandleFunc("DELETE /v1/zones/{zone}/evacuation", api.submitZoneOperation(cluster.UndrainZone))
	mux.HandleFunc("DELETE /v1/routers/{address}", api.deregisterRouter)
	mux.HandleFunc("GET /v1/submissions/{id}", api.getSubmission)
	mux.HandleFunc("POST /v1/engines/report", api.reportEngine)
	mux.HandleFunc("PUT /v1/engines/{id}/leaving", api.markDraining)
	mux.HandleFunc("GET /v1/fleet", api.getFleet)
	mux.HandleFunc("GET /v1/core", api.getCore)
	mux.HandleFunc("GET /v1/explain/{request}", api.explain)
	mux.HandleFunc("GET /v1/journal", api.getJournal)
	mux.HandleFunc("GET /healthz", api.health)
	mux.HandleFunc("GET /readyz", api.ready)
	mux.HandleFunc("GET /metrics", api.metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A stopping node closes its keep-alive connections, so that none is idle when it exits.
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	}), nil
}

// journalFile and archiver return the services of the data folder; nil without a folder, and while it is pending.
func (f *API) journalFile() *kernel.JournalFile {
	return findOptional[kernel.JournalFile](f.services, ServiceJournalFile)
}

func (f *API) archiver() *Archiver { return findOptional[Archiver](f.services, ServiceArchiver) }

// findOptional returns a service, or nil if it is not registered.
func findOptional[T any](services *kernel.Kernel, name string) *T {
	service, err := kernel.Find[*T](services, name)
	if err != nil {
		return nil
	}
	return service
}

type apiError struct {
	Error apiErrorFields `json:"error"`
}

type apiErrorFields struct {
	Type    string                        `json:"type"`
	Message string                        `json:"message"`
	Faults  []fleetconfig.ValidationError `json:"faults,omitempty"`
	More    int                           `json:"more_faults,omitempty"`
}

func (f *API) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		f.env.Log.V(2).Info("API response could not be written", "error", err.Error())
	}
}

func (f *API) writeError(w http.ResponseWriter, status int, kind, message string) {
	f.writeJSON(w, status, apiError{apiErrorFields{Type: kind, Message: message}})
}

// submissionID returns the submission ID from a request's header, or a random one if there is none.
func submissionID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderSubmission)
	if id == "" {
		return rand.Text(), nil
	}
	if len(id) > 128 {
		return "", relay.BadRequestError{Field: HeaderSubmission, Reason: "has more than 128 bytes"}
	}
	return id, nil
}

// replyStatus returns the HTTP status for a submission's outcome and reason.
func replyStatus(reply cluster.SubmitResponse) int {
	switch {
	case reply.Outcome == cluster.Accepted:
		return http.StatusOK
	case reply.Outcome == cluster.Unknown:
		return http.StatusGatewayTimeout
	case reply.Reason == "invalid_spec":
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

func (f *API) submit(w http.ResponseWriter, r *http.Request, submit *cluster.Submit) {
	w.Header().Set(HeaderSubmission, submit.ID)
	reply, err := f.runner.Submit(r.Context(), submit)
	if err != nil {
		// The operator closed the connection. The submission continues, and its outcome can be queried by its ID.
		panic(http.ErrAbortHandler)
	}
	if reply.Outcome == cluster.Unknown {
		w.Header().Set("Retry-After", "1")
	}
	f.writeJSON(w, replyStatus(reply), reply)
}

// isCurrent reports whether this node has a document and its lease is valid, so that it may answer from its own copy.
func (f *API) isCurrent(state *control.State) bool {
	return state.Document != nil && f.env.Clock.Now() < state.LeaseExpiresAt
}

func (f *API) submitZoneOperation(operation cluster.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := submissionID(r)
		if err != nil {
			f.writeError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		zone := r.PathValue("zone")
		if len(zone) > 128 {
			f.writeError(w, http.StatusBadRequest, "bad_request", "zone name has more than 128 bytes")
			return
		}
		f.submit(w, r, &cluster.Submit{ID: id, Operation: operation, Zone: zone})
	}
}

func (f *API) deregisterRouter(w http.ResponseWriter, r *http.Request) {
	id, err := submissionID(r)
	address := r.PathValue("address")
	if _, bad := netip.ParseAddrPort(address); err != nil || bad != nil {
		f.writeError(w, http.StatusBadRequest, "bad_request", "router must be given as its peer address (IP:port)")
		return
	}
	f.submit(w, r, &cluster.Submit{ID: id, Operation: cluster.DeregisterRouter, Zone: address})
}

// getSubmission returns the outcome of a submission. A submission that the core has not received is aborted by the
// query, so that the outcome is final.
func (f *API) getSubmission(w http.ResponseWriter, r *http.Request) {
	f.submit(w, r, &cluster.Submit{ID: r.PathValue("id"), Operation: cluster.AbortSubmission})
}

func (f *API) reportEngine(w http.ResponseWriter, r *http.Request) {
	var report registry.Report
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&report); err != nil {
		f.writeError(w, http.StatusBadRequest, "bad_request", "cannot decode the engine report: "+err.Error())
		return
	}
	if _, err := netip.ParseAddrPort(report.Address); err != nil || report.ID == "" || report.Start == 0 || report.Seq == 0 ||
		report.Outstanding < 0 || report.Age < 0 || report.Uptime < 0 {
		f.writeError(w, http.StatusBadRequest, "bad_request", "an engine report needs id, address (IP:port), start and seq, and no negative number")
		return
	}
	f.runner.ReportEngines([]registry.EngineRecord{{
		ID: report.ID, Address: report.Address, Zone: report.Zone, Pool: report.Pool, Start: report.Start, Seq: report.Seq,
		Load: report.Outstanding, Streams: report.Streams, Age: report.Age, Uptime: report.Uptime, IsDraining: report.IsDraining,
	}})
	w.WriteHeader(http.StatusNoContent)
}

func (f *API) markDraining(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	for _, engine := range f.runner.State().Engines {
		if engine.ID != id {
			continue
		}
		if text := r.URL.Query().Get("start"); text != "" && text != strconv.FormatUint(engine.Start, 10) {
			f.writeError(w, http.StatusConflict, "other_start", fmt.Sprintf("engine %s is at start %d", id, engine.Start))
			return
		}
		now := f.env.Clock.Now()
		marked := engine
		marked.IsDraining, marked.Age, marked.Uptime = true, max(now-engine.ReportedAt, 0), max(now-engine.StartedAt, 0)
		marked.ReachabilityAge = max(now-engine.ReachabilityChangedAt, 0)
		// The routers are notified first. Then the core commits the mark, so that it survives a restart of the
		// entire fleet.
		f.runner.ReportEngines([]registry.EngineRecord{marked})
		f.submit(w, r, &cluster.Submit{
			ID: fmt.Sprintf("leaving-%s-%d", id, engine.Start), Operation: cluster.MarkDraining, Engine: id, Start: engine.Start,
		})
		return
	}
	f.writeError(w, http.StatusNotFound, "unknown_engine", "this node does not know engine "+id)
}
