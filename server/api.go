package server

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"dunlinloom/control"
	"dunlinloom/fleetconfig"
	"dunlinloom/history"
	"dunlinloom/kernel"
	"dunlinloom/relay"
)

// HeaderSubmission names an operator's order, so that a repeated send gets the same reply.
const HeaderSubmission = "Dunlinloom-Submission"

// API is the public HTTP side of a node.
type API struct {
	env             kernel.Env
	runner          *Runner
	forwarder       *relay.Forwarder // nil without a router
	connections     *Connections
	compiler        *fleetconfig.Compiler
	limitedListener *LimitedListener
	// Nil where nothing of the past is kept.
	archive     *history.Archive
	archiver    *Archiver
	journalFile *kernel.JournalFile
	stopping    func() bool
}

// NewAPI builds the handler of a node's public address out of the services that
// the kernel holds.
func NewAPI(env kernel.Env, stage *kernel.Kernel, stopping func() bool) (http.Handler, error) {
	runner, runnerErr := kernel.Find[*Runner](stage, ServiceRunner)
	connections, connectionsErr := kernel.Find[*Connections](stage, ServiceConnections)
	compiler, compilerErr := kernel.Find[*fleetconfig.Compiler](stage, ServiceCompiler)
	limitedListener, limitedListenerErr := kernel.Find[*LimitedListener](stage, ServiceLimitedListener)
	if err := errors.Join(runnerErr, connectionsErr, compilerErr, limitedListenerErr); err != nil {
		return nil, fmt.Errorf("open the face: %w", err)
	}
	// Only a node with a data folder keeps the past.
	kept, err := kernel.Find[*history.Archive](stage, ServiceArchive)
	if err != nil {
		kept = nil
	}
	archiver, err := kernel.Find[*Archiver](stage, ServiceArchiver)
	if err != nil {
		archiver = nil
	}
	journalFile, err := kernel.Find[*kernel.JournalFile](stage, ServiceJournalFile)
	if err != nil {
		journalFile = nil
	}
	// A controller routes nothing, so it has no forwarder and no completions.
	forwarder, err := kernel.Find[*relay.Forwarder](stage, ServiceForwarder)
	if err != nil {
		forwarder = nil
	}
	f := &API{env, runner, forwarder, connections, compiler, limitedListener, kept, archiver, journalFile, stopping}
	mux := http.NewServeMux()
	if forwarder != nil {
		mux.Handle("POST /v1/completions", forwarder)
	}
	mux.HandleFunc("PUT /v1/spec", f.putConfig)
	mux.HandleFunc("GET /v1/spec", f.getConfig)
	mux.HandleFunc("GET /v1/spec/history", f.history)
	mux.HandleFunc("POST /v1/spec/check", f.checkConfig)
	mux.HandleFunc("PUT /v1/zones/{zone}/evacuation", f.orderZone(control.EmptyZone))
	mux.HandleFunc("DELETE /v1/zones/{zone}/evacuation", f.orderZone(control.RefillZone))
	mux.HandleFunc("DELETE /v1/routers/{address}", f.forget)
	mux.HandleFunc("GET /v1/submissions/{id}", f.submission)
	mux.HandleFunc("POST /v1/engines/report", f.report)
	mux.HandleFunc("PUT /v1/engines/{id}/leaving", f.leaving)
	mux.HandleFunc("GET /v1/fleet", f.fleet)
	mux.HandleFunc("GET /v1/core", f.core)
	mux.HandleFunc("GET /v1/explain/{request}", f.explain)
	mux.HandleFunc("GET /v1/journal", f.journal)
	mux.HandleFunc("GET /healthz", f.health)
	mux.HandleFunc("GET /readyz", f.ready)
	mux.HandleFunc("GET /metrics", f.metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A stopping node winds its channels down, so that none idles when it goes.
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	}), nil
}

type faceError struct {
	Error faceErrorFields `json:"error"`
}

type faceErrorFields struct {
	Type    string              `json:"type"`
	Message string              `json:"message"`
	Faults  []fleetconfig.Fault `json:"faults,omitempty"`
	More    int                 `json:"more_faults,omitempty"`
}

func (f *API) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		f.env.Log.V(2).Info("a reply could not be delivered", "error", err.Error())
	}
}

func (f *API) fail(w http.ResponseWriter, status int, kind, message string) {
	f.reply(w, status, faceError{faceErrorFields{Type: kind, Message: message}})
}

// readConfig reads and checks a configuration from a request's body; false when it answered.
func (f *API) readConfig(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		f.fail(w, http.StatusInternalServerError, "channel", err.Error())
		return nil, false
	}
	// One that says it is too large is not even begun to be read.
	if r.ContentLength > fleetconfig.MaxBytes {
		w.Header().Set("Connection", "close")
		f.fail(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("a spec has at most %d bytes", fleetconfig.MaxBytes))
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleetconfig.MaxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		f.fail(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("a spec has at most %d bytes", fleetconfig.MaxBytes))
		return nil, false
	}
	if err != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return nil, false
	}
	_, err = f.compiler.Read(body)
	var faults *fleetconfig.Faults
	var above fleetconfig.TooLarge
	switch {
	case errors.As(err, &faults):
		f.reply(w, http.StatusUnprocessableEntity, faceError{faceErrorFields{"invalid_spec", "the spec has faults", faults.List, faults.More}})
		return nil, false
	case errors.As(err, &above):
		f.fail(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return nil, false
	case err != nil:
		f.fail(w, http.StatusUnprocessableEntity, "invalid_spec", err.Error())
		return nil, false
	}
	return body, true
}

func (f *API) checkConfig(w http.ResponseWriter, r *http.Request) {
	if _, isGood := f.readConfig(w, r); isGood {
		f.reply(w, http.StatusOK, map[string]bool{"ok": true})
	}
}

func submissionID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderSubmission)
	if id == "" {
		return rand.Text(), nil
	}
	if len(id) > 128 {
		return "", relay.BadRequest{Field: HeaderSubmission, Why: "has more than 128 bytes"}
	}
	return id, nil
}

func (f *API) putConfig(w http.ResponseWriter, r *http.Request) {
	id, err := submissionID(r)
	if err != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	submit := &control.Submit{ID: id, Order: control.PutConfig}
	if text := r.URL.Query().Get("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			f.fail(w, http.StatusBadRequest, "bad_request", "base is not a generation")
			return
		}
		submit.Base = &base
	}
	body, isGood := f.readConfig(w, r)
	if !isGood {
		return
	}
	submit.Config = body
	f.submit(w, r, submit)
}

// statuses of replies by outcome and reason.
func replyStatus(reply control.SubmitReply) int {
	switch {
	case reply.Outcome == control.Yes:
		return http.StatusOK
	case reply.Outcome == control.Unproved:
		return http.StatusGatewayTimeout
	case reply.Reason == "invalid_spec":
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

func (f *API) submit(w http.ResponseWriter, r *http.Request, submit *control.Submit) {
	w.Header().Set(HeaderSubmission, submit.ID)
	reply, err := f.runner.Submit(r.Context(), submit)
	if err != nil {
		// The operator hung up; the order goes on and can be asked for by its id.
		panic(http.ErrAbortHandler)
	}
	if reply.Outcome == control.Unproved {
		w.Header().Set("Retry-After", "1")
	}
	f.reply(w, replyStatus(reply), reply)
}

// isCurrent tells whether this node may speak for the present state of the fleet.
func (f *API) isCurrent(state *control.State) bool {
	return state.Document != nil && f.env.Clock.Now() < state.Until
}

func (f *API) orderZone(order control.Order) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := submissionID(r)
		if err != nil {
			f.fail(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		zone := r.PathValue("zone")
		if len(zone) > 128 {
			f.fail(w, http.StatusBadRequest, "bad_request", "a zone's name has at most 128 bytes")
			return
		}
		f.submit(w, r, &control.Submit{ID: id, Order: order, Zone: zone})
	}
}

func (f *API) forget(w http.ResponseWriter, r *http.Request) {
	id, err := submissionID(r)
	address := r.PathValue("address")
	if _, bad := netip.ParseAddrPort(address); err != nil || bad != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", "a router is named by its peer address")
		return
	}
	f.submit(w, r, &control.Submit{ID: id, Order: control.Forget, Zone: address})
}

// submission tells how a submission ended; asking makes an open one final.
func (f *API) submission(w http.ResponseWriter, r *http.Request) {
	f.submit(w, r, &control.Submit{ID: r.PathValue("id"), Order: control.Fence})
}

// newestReadPatience is how long a read of the newest configuration waits for a majority.
const newestReadPatience = 5 * time.Second

// getNewestConfig gives the configuration of a document that is at least as new as every one that was
// acknowledged before the read (a linearizable read).
func (f *API) getNewestConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), newestReadPatience)
	defer cancel()
	document, err := f.runner.Newest(ctx)
	if err != nil {
		w.Header().Set("Retry-After", "1")
		f.fail(w, http.StatusServiceUnavailable, "not_shown", err.Error())
		return
	}
	if document.ConfigRevision == 0 {
		f.fail(w, http.StatusNotFound, "no_spec", "no spec was put yet")
		return
	}
	f.writeConfig(w, document.ConfigRevision, document.Config)
}

func (f *API) writeConfig(w http.ResponseWriter, revision uint64, config []byte) {
	w.Header().Set(relay.HeaderRevision, strconv.FormatUint(revision, 10))
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(config); err != nil {
		f.env.Log.V(2).Info("a spec could not be delivered", "error", err.Error())
	}
}

func (f *API) getConfig(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("newest") {
		f.getNewestConfig(w, r)
		return
	}
	state := f.runner.State()
	if !f.isCurrent(state) && !r.URL.Query().Has("stale") {
		w.Header().Set("Retry-After", "1")
		f.fail(w, http.StatusServiceUnavailable, "not_current", "this node can't tell whether its copy is the newest; ?stale=1 gives it all the same")
		return
	}
	document := state.Document
	if document == nil {
		f.fail(w, http.StatusNotFound, "no_spec", "no document has reached this node")
		return
	}
	wanted := document.Revision
	if text := r.URL.Query().Get("generation"); text != "" {
		var err error
		if wanted, err = strconv.ParseUint(text, 10, 64); err != nil || wanted == 0 {
			f.fail(w, http.StatusBadRequest, "bad_request", "generation is not a number above zero")
			return
		}
	}
	if wanted > document.Revision {
		f.fail(w, http.StatusNotFound, "no_generation", fmt.Sprintf("the fleet is at generation %d", document.Revision))
		return
	}
	reply := &RecallReply{Config: document.Config, ConfigRevision: document.ConfigRevision}
	if wanted < document.ConfigRevision {
		mark, isKnown := document.ConfigAt(wanted)
		reply = nil
		if isKnown {
			reply = f.recall(r, document, RecallAsk{Mark: mark})
		}
		if reply == nil {
			reply = f.fromArchive(wanted, mark)
		}
	}
	if reply == nil || reply.ConfigRevision == 0 {
		f.fail(w, http.StatusNotFound, "no_spec", fmt.Sprintf("no spec of generation %d is kept", wanted))
		return
	}
	f.writeConfig(w, reply.ConfigRevision, reply.Config)
}

// fromArchive reads a configuration that the core has let go of. What the chain still names has
// to be the same.
func (f *API) fromArchive(wanted uint64, mark control.ConfigMark) *RecallReply {
	if f.archive == nil {
		return nil
	}
	newest := uint64(0)
	for _, facts := range f.archive.History() {
		if facts.Revision <= wanted {
			newest = facts.Revision
		}
	}
	config, facts, err := f.archive.Config(newest)
	if err != nil || mark.Revision > 0 && (facts.Revision != mark.Revision || facts.Digest != mark.Digest) {
		return nil
	}
	return &RecallReply{Config: config, ConfigRevision: facts.Revision}
}

// recall looks for an older configuration here and then at the voters.
func (f *API) recall(r *http.Request, document *control.Document, ask RecallAsk) *RecallReply {
	if reply, err := f.runner.Recall(ask); err == nil {
		return reply
	}
	for _, member := range document.Voters {
		if member.Address == f.env.Self.Address {
			continue
		}
		reply, err := f.connections.Recall(r.Context(), member.Address, ask)
		if err == nil {
			return reply
		}
		f.env.Log.V(2).Info("no copy there", "error", err.Error())
	}
	return nil
}

func (f *API) history(w http.ResponseWriter, _ *http.Request) {
	document := f.runner.State().Document
	if document == nil {
		f.fail(w, http.StatusNotFound, "no_spec", "no document has reached this node")
		return
	}
	history := History{Revisions: []uint64{}, Current: document.ConfigRevision}
	for _, mark := range document.Chain {
		history.Revisions = append(history.Revisions, mark.Revision)
	}
	if f.archive != nil {
		history.Kept = f.archive.History()
	}
	f.reply(w, http.StatusOK, history)
}

// History tells which configurations can be read: those that the core names, and those that this
// node's object store holds.
type History struct {
	Revisions []uint64        `json:"generations"`
	Current   uint64          `json:"current"`
	Kept      []history.Facts `json:"kept,omitempty"`
}

func (f *API) report(w http.ResponseWriter, r *http.Request) {
	var report control.Report
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&report); err != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", "not a report: "+err.Error())
		return
	}
	if _, err := netip.ParseAddrPort(report.Address); err != nil || report.ID == "" || report.Start == 0 || report.Seq == 0 ||
		report.Outstanding < 0 || report.Age < 0 || report.Up < 0 {
		f.fail(w, http.StatusBadRequest, "bad_request", "a report needs id, address, start and seq, and no figure below zero")
		return
	}
	f.runner.Hear([]control.EngineRecord{{
		ID: report.ID, Address: report.Address, Zone: report.Zone, Pool: report.Pool, Start: report.Start, Seq: report.Seq,
		Load: report.Outstanding, Streams: report.Streams, Age: report.Age, Up: report.Up, IsLeaving: report.IsLeaving,
	}})
	w.WriteHeader(http.StatusNoContent)
}

func (f *API) leaving(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	for _, engine := range f.runner.State().Engines {
		if engine.ID != id {
			continue
		}
		if text := r.URL.Query().Get("start"); text != "" && text != strconv.FormatUint(engine.Start, 10) {
			f.fail(w, http.StatusConflict, "other_start", fmt.Sprintf("engine %s is at start %d", id, engine.Start))
			return
		}
		now := f.env.Clock.Now()
		marked := engine
		marked.IsLeaving, marked.Age, marked.Up = true, max(now-engine.AsOf, 0), max(now-engine.StartedAt, 0)
		marked.Back = max(now-engine.BackAt, 0)
		// The routers are told first; then the core keeps the mark, so that it outlives
		// even a fleet that is stopped as a whole.
		f.runner.Hear([]control.EngineRecord{marked})
		f.submit(w, r, &control.Submit{
			ID: fmt.Sprintf("leaving-%s-%d", id, engine.Start), Order: control.MarkEngine, Engine: id, Start: engine.Start,
		})
		return
	}
	f.fail(w, http.StatusNotFound, "unknown_engine", "this node knows no engine "+id)
}

// NodeView is one node in the picture of the fleet.
type NodeView struct {
	control.NodeRecord
	AgeUS kernel.Micros `json:"age_us"`
}

// FleetView is the fleet as one node sees it.
type FleetView struct {
	Self           kernel.Identity    `json:"self"`
	Revision       uint64             `json:"generation"`
	ConfigRevision uint64             `json:"spec_generation"`
	Founding       string             `json:"founding"`
	Leader         string             `json:"leader"`
	Role           string             `json:"role,omitempty"`
	Term           uint64             `json:"term,omitempty"`
	Ailment        string             `json:"ailment,omitempty"`
	Core           *CoreView          `json:"core,omitempty"` // only at the leader
	LeaseLeft      kernel.Micros      `json:"licence_left_us"`
	Why            string             `json:"why,omitempty"`
	Voters         []control.Member   `json:"voters"`
	Register       []string           `json:"register"`
	Homes          map[string]string  `json:"homes"`
	Drained        map[string]uint64  `json:"evacuated"`
	Nodes          []NodeView         `json:"nodes"`
	Engines        []relay.EngineView `json:"engines"`
	Neighbours     []string           `json:"neighbours"`
	Traffic        []Traffic          `json:"traffic"`
}

func (f *API) fleet(w http.ResponseWriter, _ *http.Request) {
	state, now := f.runner.State(), f.env.Clock.Now()
	view := FleetView{
		Self: f.env.Self, Founding: state.Founding, Leader: state.Leader, Role: state.Role, Term: state.Term,
		Ailment: state.Ailment, LeaseLeft: max(state.Until-now, 0), Why: state.Why, Neighbours: state.Neighbours, Traffic: f.traffic(state),
	}
	if state.Health != nil {
		view.Core = &CoreView{state.Leader, state.Health, max(now-state.Health.Since, 0)}
	}
	if document := state.Document; document != nil {
		view.Revision, view.ConfigRevision = document.Revision, document.ConfigRevision
		view.Voters, view.Register, view.Homes, view.Drained = document.Voters, document.Register, document.Homes, document.Drained
	}
	for _, node := range state.Nodes {
		view.Nodes = append(view.Nodes, NodeView{node, max(now-node.AsOf, 0)})
	}
	if f.forwarder != nil {
		view.Engines = f.forwarder.Dispatcher.View(now)
	} else {
		for _, engine := range state.Engines {
			view.Engines = append(view.Engines, relay.EngineView{ID: engine.ID, Zone: engine.Zone, Address: engine.Address, Start: engine.Start, Foreign: float64(engine.Load)})
		}
	}
	f.reply(w, http.StatusOK, view)
}

func (f *API) explain(w http.ResponseWriter, r *http.Request) {
	entries := f.env.Journal.Read("", r.PathValue("request"), 0)
	if f.journalFile != nil {
		entries = kernel.Join(f.journalFile.Read(0, func(entry kernel.Entry) bool { return entry.Subject == r.PathValue("request") }), entries)
	}
	f.reply(w, http.StatusOK, map[string]any{"node": f.env.Self, "entries": entries})
}

func (f *API) journal(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("last"))
	if err != nil {
		most = 100
	}
	entries := f.env.Journal.Read(query.Get("part"), query.Get("subject"), most)
	if text := query.Get("since_us"); text != "" {
		since, err := strconv.ParseInt(text, 10, 64)
		if err != nil || since < 0 {
			f.fail(w, http.StatusBadRequest, "bad_request", "since_us is not a moment in microseconds")
			return
		}
		isWanted := func(entry kernel.Entry) bool {
			return entry.Wall >= kernel.Micros(since) && (query.Get("part") == "" || entry.Part == query.Get("part")) &&
				(query.Get("subject") == "" || entry.Subject == query.Get("subject")) && (query.Get("requests") != "0" || !entry.IsRequest)
		}
		entries = slices.DeleteFunc(f.env.Journal.Read("", "", 0), func(entry kernel.Entry) bool { return !isWanted(entry) })
		if f.journalFile != nil {
			entries = kernel.Join(f.journalFile.Read(kernel.Micros(since), isWanted), entries)
		}
	}
	f.reply(w, http.StatusOK, map[string]any{"node": f.env.Self, "now_us": f.env.Clock.Now(), "entries": entries})
}

func (f *API) health(w http.ResponseWriter, _ *http.Request) {
	f.reply(w, http.StatusOK, map[string]bool{"ok": true})
}

// ready tells the platform whether to hand this node callers.
func (f *API) ready(w http.ResponseWriter, _ *http.Request) {
	state := f.runner.State()
	switch {
	case f.stopping():
		f.fail(w, http.StatusServiceUnavailable, "stopping", "this node is stopping")
	case !f.isCurrent(state):
		f.fail(w, http.StatusServiceUnavailable, "no_licence", state.Why)
	case state.Document.ConfigRevision == 0:
		f.fail(w, http.StatusServiceUnavailable, "no_spec", "no spec has been put yet")
	case f.forwarder != nil && !f.forwarder.Dispatcher.KnowsEngines():
		// Only while none is known at all: with engines known but down the node stays
		// ready, and tells callers when to come back.
		f.fail(w, http.StatusServiceUnavailable, "no_engines", "no engine is known here yet")
	default:
		f.reply(w, http.StatusOK, map[string]bool{"ok": true})
	}
}

// Traffic is what a node has sent to the nodes of a zone in one kind of message.
type Traffic struct {
	Kind  string `json:"kind"`
	To    string `json:"to"`
	Bytes uint64 `json:"bytes"` // as encoded, before the wire's compression
}

func (f *API) zoneOf(state *control.State, address string) string {
	for _, node := range state.Nodes {
		if node.Address == address {
			return node.Zone
		}
	}
	return "unknown"
}

// traffic sums what this node has sent, the most first.
func (f *API) traffic(state *control.State) []Traffic {
	sums := map[Traffic]uint64{}
	for address, kinds := range f.connections.KindsTo() {
		for kind, bytes := range kinds {
			sums[Traffic{Kind: kind, To: f.zoneOf(state, address)}] += bytes
		}
	}
	sent := []Traffic{}
	for key, bytes := range sums {
		key.Bytes = bytes
		sent = append(sent, key)
	}
	slices.SortFunc(sent, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.To, b.To))
	})
	return sent
}

func (f *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	state, now := f.runner.State(), f.env.Clock.Now()
	line := func(name string, value any, labels ...string) {
		text := ""
		for i := 0; i+1 < len(labels); i += 2 {
			text += fmt.Sprintf(",%s=%q", labels[i], labels[i+1])
		}
		if text != "" {
			text = "{" + text[1:] + "}"
		}
		fmt.Fprintf(w, "dunlinloom_%s%s %v\n", name, text, value)
	}
	isLeader := 0
	if state.IsLeader {
		isLeader = 1
	}
	line("licence_left_us", max(state.Until-now, 0))
	line("leads", isLeader)
	line("term", state.Term)
	if state.Document != nil {
		line("generation", state.Document.Revision)
		line("spec_generation", state.Document.ConfigRevision)
	}
	line("owners_longest_us", f.runner.Longest())
	line("engines_known", len(state.Engines))
	line("nodes_known", len(state.Nodes))
	bytes := map[string]uint64{}
	for address, sent := range f.connections.BytesTo() {
		bytes[f.zoneOf(state, address)] += sent
	}
	for _, traffic := range f.traffic(state) {
		line("peer_message_bytes_total", traffic.Bytes, "kind", traffic.Kind, "to", traffic.To)
	}
	for _, zone := range slices.Sorted(maps.Keys(bytes)) {
		line("peer_bytes_sent_total", bytes[zone], "to", zone)
	}
	line("peer_messages_sent_total", f.connections.Sent.Load())
	line("peer_messages_dropped_total", f.connections.Dropped.Load())
	line("channels_open", f.limitedListener.Open())
	line("channels_turned_away_total", f.limitedListener.Turned.Load())
	if f.journalFile != nil {
		line("journal_written_total", f.journalFile.Written.Load())
		line("journal_dropped_total", f.journalFile.Dropped.Load())
	}
	if f.archiver != nil {
		line("history_filed_total", f.archiver.Filed.Load())
		line("history_failed_total", f.archiver.Failed.Load())
	}
	if f.forwarder == nil {
		return
	}
	counts := f.forwarder.Dispatcher.Counts()
	line("requests_total", counts.Requests)
	line("rounds_first_total", counts.FirstRounds)
	line("retries_total", counts.Retries)
	line("resumes_total", counts.Resumes)
	line("diverts_total", counts.Diverts)
	line("admission_diverts_total", counts.AdmissionDiverts)
	line("served_total", counts.Served)
	line("callers_gone_total", counts.CallersGone)
	line("requests_live", f.forwarder.Live())
	line("bodies_held_bytes", f.forwarder.Held())
	for _, reason := range slices.Sorted(maps.Keys(counts.Rejected)) {
		line("declined_total", counts.Rejected[reason], "reason", reason)
	}
	for _, reason := range slices.Sorted(maps.Keys(counts.Broken)) {
		line("broken_total", counts.Broken[reason], "reason", reason)
	}
}
