package wings

import (
	"cmp"
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

	"dunlinloom/auditorium"
	"dunlinloom/flyloft"
	"dunlinloom/house"
	"dunlinloom/playbill"
	"dunlinloom/wardrobe"
)

// HeaderSubmission names an operator's order, so that a repeated send gets the same receipt.
const HeaderSubmission = "Dunlinloom-Submission"

// Face is the public HTTP side of a node.
type Face struct {
	cue      house.Cue
	runner   *Runner
	usher    *auditorium.Usher // nil without a router
	channels *Channels
	shelf    *playbill.Shelf
	door     *Door
	// Nil where nothing of the past is kept.
	wardrobe  *wardrobe.Wardrobe
	librarian *Librarian
	diary     *house.Diary
	stopping  func() bool
}

// NewFace builds the handler of a node's public address out of the services that
// the house holds.
func NewFace(cue house.Cue, stage *house.House, stopping func() bool) (http.Handler, error) {
	runner, runnerErr := house.Find[*Runner](stage, ServiceRunner)
	channels, channelsErr := house.Find[*Channels](stage, ServiceChannels)
	shelf, shelfErr := house.Find[*playbill.Shelf](stage, ServiceShelf)
	door, doorErr := house.Find[*Door](stage, ServiceDoor)
	if err := errors.Join(runnerErr, channelsErr, shelfErr, doorErr); err != nil {
		return nil, fmt.Errorf("open the face: %w", err)
	}
	// Only a node with a data folder keeps the past.
	kept, err := house.Find[*wardrobe.Wardrobe](stage, ServiceWardrobe)
	if err != nil {
		kept = nil
	}
	librarian, err := house.Find[*Librarian](stage, ServiceLibrarian)
	if err != nil {
		librarian = nil
	}
	diary, err := house.Find[*house.Diary](stage, ServiceDiary)
	if err != nil {
		diary = nil
	}
	// A prompter routes nothing, so it has no usher and no completions.
	usher, err := house.Find[*auditorium.Usher](stage, ServiceUsher)
	if err != nil {
		usher = nil
	}
	f := &Face{cue, runner, usher, channels, shelf, door, kept, librarian, diary, stopping}
	mux := http.NewServeMux()
	if usher != nil {
		mux.Handle("POST /v1/completions", usher)
	}
	mux.HandleFunc("PUT /v1/spec", f.putSpec)
	mux.HandleFunc("GET /v1/spec", f.getSpec)
	mux.HandleFunc("GET /v1/spec/history", f.history)
	mux.HandleFunc("POST /v1/spec/check", f.checkSpec)
	mux.HandleFunc("PUT /v1/zones/{zone}/evacuation", f.orderZone(flyloft.EmptyZone))
	mux.HandleFunc("DELETE /v1/zones/{zone}/evacuation", f.orderZone(flyloft.RefillZone))
	mux.HandleFunc("DELETE /v1/routers/{address}", f.forget)
	mux.HandleFunc("GET /v1/submissions/{id}", f.submission)
	mux.HandleFunc("POST /v1/engines/report", f.report)
	mux.HandleFunc("PUT /v1/engines/{id}/leaving", f.leaving)
	mux.HandleFunc("GET /v1/fleet", f.fleet)
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
	Type    string           `json:"type"`
	Message string           `json:"message"`
	Faults  []playbill.Fault `json:"faults,omitempty"`
	More    int              `json:"more_faults,omitempty"`
}

func (f *Face) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		f.cue.Log.V(2).Info("a reply could not be delivered", "error", err.Error())
	}
}

func (f *Face) fail(w http.ResponseWriter, status int, kind, message string) {
	f.reply(w, status, faceError{faceErrorFields{Type: kind, Message: message}})
}

// readSpec reads and checks a spec from a request's body; false when it answered.
func (f *Face) readSpec(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		f.fail(w, http.StatusInternalServerError, "channel", err.Error())
		return nil, false
	}
	// One that says it is too large is not even begun to be read.
	if r.ContentLength > playbill.MaxBytes {
		w.Header().Set("Connection", "close")
		f.fail(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("a spec has at most %d bytes", playbill.MaxBytes))
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, playbill.MaxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		f.fail(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("a spec has at most %d bytes", playbill.MaxBytes))
		return nil, false
	}
	if err != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return nil, false
	}
	_, err = f.shelf.Read(body)
	var faults *playbill.Faults
	var above playbill.TooLarge
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

func (f *Face) checkSpec(w http.ResponseWriter, r *http.Request) {
	if _, isGood := f.readSpec(w, r); isGood {
		f.reply(w, http.StatusOK, map[string]bool{"ok": true})
	}
}

func submissionID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderSubmission)
	if id == "" {
		return rand.Text(), nil
	}
	if len(id) > 128 {
		return "", auditorium.BadRequest{Field: HeaderSubmission, Why: "has more than 128 bytes"}
	}
	return id, nil
}

func (f *Face) putSpec(w http.ResponseWriter, r *http.Request) {
	id, err := submissionID(r)
	if err != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	submit := &flyloft.Submit{ID: id, Order: flyloft.PutSpec}
	if text := r.URL.Query().Get("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			f.fail(w, http.StatusBadRequest, "bad_request", "base is not a generation")
			return
		}
		submit.Base = &base
	}
	body, isGood := f.readSpec(w, r)
	if !isGood {
		return
	}
	submit.Spec = body
	f.submit(w, r, submit)
}

// statuses of receipts by outcome and reason.
func receiptStatus(receipt flyloft.SubmitReceipt) int {
	switch {
	case receipt.Outcome == flyloft.Yes:
		return http.StatusOK
	case receipt.Outcome == flyloft.Unproved:
		return http.StatusGatewayTimeout
	case receipt.Reason == "invalid_spec":
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

func (f *Face) submit(w http.ResponseWriter, r *http.Request, submit *flyloft.Submit) {
	w.Header().Set(HeaderSubmission, submit.ID)
	receipt, err := f.runner.Submit(r.Context(), submit)
	if err != nil {
		// The operator hung up; the order goes on and can be asked for by its id.
		panic(http.ErrAbortHandler)
	}
	if receipt.Outcome == flyloft.Unproved {
		w.Header().Set("Retry-After", "1")
	}
	f.reply(w, receiptStatus(receipt), receipt)
}

// isCurrent tells whether this node may speak for the present state of the fleet.
func (f *Face) isCurrent(state *flyloft.State) bool {
	return state.Document != nil && f.cue.Clock.Now() < state.Until
}

func (f *Face) orderZone(order flyloft.Order) http.HandlerFunc {
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
		f.submit(w, r, &flyloft.Submit{ID: id, Order: order, Zone: zone})
	}
}

func (f *Face) forget(w http.ResponseWriter, r *http.Request) {
	id, err := submissionID(r)
	address := r.PathValue("address")
	if _, bad := netip.ParseAddrPort(address); err != nil || bad != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", "a router is named by its peer address")
		return
	}
	f.submit(w, r, &flyloft.Submit{ID: id, Order: flyloft.Forget, Zone: address})
}

// submission tells how a submission ended; asking makes an open one final.
func (f *Face) submission(w http.ResponseWriter, r *http.Request) {
	f.submit(w, r, &flyloft.Submit{ID: r.PathValue("id"), Order: flyloft.Fence})
}

func (f *Face) getSpec(w http.ResponseWriter, r *http.Request) {
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
	wanted := document.Generation
	if text := r.URL.Query().Get("generation"); text != "" {
		var err error
		if wanted, err = strconv.ParseUint(text, 10, 64); err != nil || wanted == 0 {
			f.fail(w, http.StatusBadRequest, "bad_request", "generation is not a number above zero")
			return
		}
	}
	if wanted > document.Generation {
		f.fail(w, http.StatusNotFound, "no_generation", fmt.Sprintf("the fleet is at generation %d", document.Generation))
		return
	}
	receipt := &RecallReceipt{Spec: document.Spec, SpecGeneration: document.SpecGeneration}
	if wanted < document.SpecGeneration {
		mark, isKnown := document.SpecAt(wanted)
		receipt = nil
		if isKnown {
			receipt = f.recall(r, document, RecallAsk{Mark: mark})
		}
		if receipt == nil {
			receipt = f.fromWardrobe(wanted, mark)
		}
	}
	if receipt == nil || receipt.SpecGeneration == 0 {
		f.fail(w, http.StatusNotFound, "no_spec", fmt.Sprintf("no spec of generation %d is kept", wanted))
		return
	}
	w.Header().Set(auditorium.HeaderGeneration, strconv.FormatUint(receipt.SpecGeneration, 10))
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(receipt.Spec); err != nil {
		f.cue.Log.V(2).Info("a spec could not be delivered", "error", err.Error())
	}
}

// fromWardrobe reads a spec that the core has let go of. What the chain still names has
// to be the same.
func (f *Face) fromWardrobe(wanted uint64, mark flyloft.SpecMark) *RecallReceipt {
	if f.wardrobe == nil {
		return nil
	}
	newest := uint64(0)
	for _, facts := range f.wardrobe.History() {
		if facts.Generation <= wanted {
			newest = facts.Generation
		}
	}
	spec, facts, err := f.wardrobe.Spec(newest)
	if err != nil || mark.Generation > 0 && (facts.Generation != mark.Generation || facts.Digest != mark.Digest) {
		return nil
	}
	return &RecallReceipt{Spec: spec, SpecGeneration: facts.Generation}
}

// recall looks for an older spec here and then at the voters.
func (f *Face) recall(r *http.Request, document *flyloft.Document, ask RecallAsk) *RecallReceipt {
	if receipt, err := f.runner.Recall(ask); err == nil {
		return receipt
	}
	for _, member := range document.Voters {
		if member.Address == f.cue.Self.Address {
			continue
		}
		receipt, err := f.channels.Recall(r.Context(), member.Address, ask)
		if err == nil {
			return receipt
		}
		f.cue.Log.V(2).Info("no copy there", "error", err.Error())
	}
	return nil
}

func (f *Face) history(w http.ResponseWriter, _ *http.Request) {
	document := f.runner.State().Document
	if document == nil {
		f.fail(w, http.StatusNotFound, "no_spec", "no document has reached this node")
		return
	}
	history := History{Generations: []uint64{}, Current: document.SpecGeneration}
	for _, mark := range document.Chain {
		history.Generations = append(history.Generations, mark.Generation)
	}
	if f.wardrobe != nil {
		history.Kept = f.wardrobe.History()
	}
	f.reply(w, http.StatusOK, history)
}

// History tells which specs can be read: those that the core names, and those that this
// node's object store holds.
type History struct {
	Generations []uint64         `json:"generations"`
	Current     uint64           `json:"current"`
	Kept        []wardrobe.Facts `json:"kept,omitempty"`
}

func (f *Face) report(w http.ResponseWriter, r *http.Request) {
	var report flyloft.Report
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&report); err != nil {
		f.fail(w, http.StatusBadRequest, "bad_request", "not a report: "+err.Error())
		return
	}
	if _, err := netip.ParseAddrPort(report.Address); err != nil || report.ID == "" || report.Start == 0 || report.Seq == 0 ||
		report.Outstanding < 0 || report.Age < 0 || report.Up < 0 {
		f.fail(w, http.StatusBadRequest, "bad_request", "a report needs id, address, start and seq, and no figure below zero")
		return
	}
	f.runner.Hear([]flyloft.EngineRecord{{
		ID: report.ID, Address: report.Address, Zone: report.Zone, Pool: report.Pool, Start: report.Start, Seq: report.Seq,
		Burden: report.Outstanding, Streams: report.Streams, Age: report.Age, Up: report.Up, IsLeaving: report.IsLeaving,
	}})
	w.WriteHeader(http.StatusNoContent)
}

func (f *Face) leaving(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	for _, engine := range f.runner.State().Engines {
		if engine.ID != id {
			continue
		}
		if text := r.URL.Query().Get("start"); text != "" && text != strconv.FormatUint(engine.Start, 10) {
			f.fail(w, http.StatusConflict, "other_start", fmt.Sprintf("engine %s is at start %d", id, engine.Start))
			return
		}
		now := f.cue.Clock.Now()
		marked := engine
		marked.IsLeaving, marked.Age, marked.Up = true, max(now-engine.AsOf, 0), max(now-engine.StartedAt, 0)
		marked.Back = max(now-engine.BackAt, 0)
		// The routers are told first; then the core keeps the mark, so that it outlives
		// even a fleet that is stopped as a whole.
		f.runner.Hear([]flyloft.EngineRecord{marked})
		f.submit(w, r, &flyloft.Submit{
			ID: fmt.Sprintf("leaving-%s-%d", id, engine.Start), Order: flyloft.MarkEngine, Engine: id, Start: engine.Start,
		})
		return
	}
	f.fail(w, http.StatusNotFound, "unknown_engine", "this node knows no engine "+id)
}

// NodeView is one node in the picture of the fleet.
type NodeView struct {
	flyloft.NodeRecord
	AgeUS house.Micros `json:"age_us"`
}

// FleetView is the fleet as one node sees it.
type FleetView struct {
	Self           house.Identity          `json:"self"`
	Generation     uint64                  `json:"generation"`
	SpecGeneration uint64                  `json:"spec_generation"`
	Founding       string                  `json:"founding"`
	Leader         string                  `json:"leader"`
	Role           string                  `json:"role,omitempty"`
	Term           uint64                  `json:"term,omitempty"`
	Ailment        string                  `json:"ailment,omitempty"`
	LicenceLeft    house.Micros            `json:"licence_left_us"`
	Why            string                  `json:"why,omitempty"`
	Voters         []flyloft.Member        `json:"voters"`
	Register       []string                `json:"register"`
	Homes          map[string]string       `json:"homes"`
	Evacuated      map[string]uint64       `json:"evacuated"`
	Nodes          []NodeView              `json:"nodes"`
	Engines        []auditorium.EngineView `json:"engines"`
	Neighbours     []string                `json:"neighbours"`
	Traffic        []Traffic               `json:"traffic"`
}

func (f *Face) fleet(w http.ResponseWriter, _ *http.Request) {
	state, now := f.runner.State(), f.cue.Clock.Now()
	view := FleetView{
		Self: f.cue.Self, Founding: state.Founding, Leader: state.Leader, Role: state.Role, Term: state.Term,
		Ailment: state.Ailment, LicenceLeft: max(state.Until-now, 0), Why: state.Why, Neighbours: state.Neighbours, Traffic: f.traffic(state),
	}
	if document := state.Document; document != nil {
		view.Generation, view.SpecGeneration = document.Generation, document.SpecGeneration
		view.Voters, view.Register, view.Homes, view.Evacuated = document.Voters, document.Register, document.Homes, document.Evacuated
	}
	for _, node := range state.Nodes {
		view.Nodes = append(view.Nodes, NodeView{node, max(now-node.AsOf, 0)})
	}
	if f.usher != nil {
		view.Engines = f.usher.Desk.View(now)
	} else {
		for _, engine := range state.Engines {
			view.Engines = append(view.Engines, auditorium.EngineView{ID: engine.ID, Zone: engine.Zone, Address: engine.Address, Start: engine.Start, Foreign: float64(engine.Burden)})
		}
	}
	f.reply(w, http.StatusOK, view)
}

func (f *Face) explain(w http.ResponseWriter, r *http.Request) {
	entries := f.cue.Journal.Read("", r.PathValue("request"), 0)
	if f.diary != nil {
		entries = house.Join(f.diary.Read(0, func(entry house.Entry) bool { return entry.Subject == r.PathValue("request") }), entries)
	}
	f.reply(w, http.StatusOK, map[string]any{"node": f.cue.Self, "entries": entries})
}

func (f *Face) journal(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("last"))
	if err != nil {
		most = 100
	}
	entries := f.cue.Journal.Read(query.Get("part"), query.Get("subject"), most)
	if text := query.Get("since_us"); text != "" {
		since, err := strconv.ParseInt(text, 10, 64)
		if err != nil || since < 0 {
			f.fail(w, http.StatusBadRequest, "bad_request", "since_us is not a moment in microseconds")
			return
		}
		isWanted := func(entry house.Entry) bool {
			return entry.Wall >= house.Micros(since) && (query.Get("part") == "" || entry.Part == query.Get("part")) &&
				(query.Get("subject") == "" || entry.Subject == query.Get("subject")) && (query.Get("requests") != "0" || !entry.IsRequest)
		}
		entries = slices.DeleteFunc(f.cue.Journal.Read("", "", 0), func(entry house.Entry) bool { return !isWanted(entry) })
		if f.diary != nil {
			entries = house.Join(f.diary.Read(house.Micros(since), isWanted), entries)
		}
	}
	f.reply(w, http.StatusOK, map[string]any{"node": f.cue.Self, "now_us": f.cue.Clock.Now(), "entries": entries})
}

func (f *Face) health(w http.ResponseWriter, _ *http.Request) {
	f.reply(w, http.StatusOK, map[string]bool{"ok": true})
}

// ready tells the platform whether to hand this node callers.
func (f *Face) ready(w http.ResponseWriter, _ *http.Request) {
	state := f.runner.State()
	switch {
	case f.stopping():
		f.fail(w, http.StatusServiceUnavailable, "stopping", "this node is stopping")
	case !f.isCurrent(state):
		f.fail(w, http.StatusServiceUnavailable, "no_licence", state.Why)
	case state.Document.SpecGeneration == 0:
		f.fail(w, http.StatusServiceUnavailable, "no_spec", "no spec has been put yet")
	case f.usher != nil && !f.usher.Desk.KnowsEngines():
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

func (f *Face) zoneOf(state *flyloft.State, address string) string {
	for _, node := range state.Nodes {
		if node.Address == address {
			return node.Zone
		}
	}
	return "unknown"
}

// traffic sums what this node has sent, the most first.
func (f *Face) traffic(state *flyloft.State) []Traffic {
	sums := map[Traffic]uint64{}
	for address, kinds := range f.channels.KindsTo() {
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

func (f *Face) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	state, now := f.runner.State(), f.cue.Clock.Now()
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
		line("generation", state.Document.Generation)
		line("spec_generation", state.Document.SpecGeneration)
	}
	line("owners_longest_us", f.runner.Longest())
	line("engines_known", len(state.Engines))
	line("nodes_known", len(state.Nodes))
	bytes := map[string]uint64{}
	for address, sent := range f.channels.BytesTo() {
		bytes[f.zoneOf(state, address)] += sent
	}
	for _, traffic := range f.traffic(state) {
		line("peer_message_bytes_total", traffic.Bytes, "kind", traffic.Kind, "to", traffic.To)
	}
	for _, zone := range slices.Sorted(maps.Keys(bytes)) {
		line("peer_bytes_sent_total", bytes[zone], "to", zone)
	}
	line("peer_messages_sent_total", f.channels.Sent.Load())
	line("peer_messages_dropped_total", f.channels.Dropped.Load())
	line("channels_open", f.door.Open())
	line("channels_turned_away_total", f.door.Turned.Load())
	if f.diary != nil {
		line("journal_written_total", f.diary.Written.Load())
		line("journal_dropped_total", f.diary.Dropped.Load())
	}
	if f.librarian != nil {
		line("history_filed_total", f.librarian.Filed.Load())
		line("history_failed_total", f.librarian.Failed.Load())
	}
	if f.usher == nil {
		return
	}
	counts := f.usher.Desk.Counts()
	line("requests_total", counts.Requests)
	line("rounds_first_total", counts.FirstRounds)
	line("retries_total", counts.Retries)
	line("resumes_total", counts.Resumes)
	line("diverts_total", counts.Diverts)
	line("admission_diverts_total", counts.AdmissionDiverts)
	line("served_total", counts.Served)
	line("callers_gone_total", counts.CallersGone)
	line("requests_live", f.usher.Live())
	line("bodies_held_bytes", f.usher.Held())
	for _, reason := range slices.Sorted(maps.Keys(counts.Declined)) {
		line("declined_total", counts.Declined[reason], "reason", reason)
	}
	for _, reason := range slices.Sorted(maps.Keys(counts.Broken)) {
		line("broken_total", counts.Broken[reason], "reason", reason)
	}
}
