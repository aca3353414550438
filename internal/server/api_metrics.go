package server

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/invariant"
)

// Traffic is how much a node has sent to the nodes of a zone in messages of one kind.
type Traffic struct {
	Kind  string `json:"kind"`
	To    string `json:"to"`
	Bytes uint64 `json:"bytes"` // as encoded, before compression
}

func (f *API) zoneOf(state *control.State, address string) string {
	for _, node := range state.Nodes {
		if node.Address == address {
			return node.Zone
		}
	}
	return "unknown"
}

// traffic sums the bytes that this node has sent by message kind and receiving zone, in descending order of bytes.
func (f *API) traffic(state *control.State) []Traffic {
	sums := map[Traffic]uint64{}
	for address, kinds := range f.connections.BytesByKind() {
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

// metricsWriter writes samples in the Prometheus text exposition format, one per line.
type metricsWriter struct{ out io.Writer }

// sample writes one sample. labels alternates label names and values.
func (m metricsWriter) sample(name string, value any, labels ...string) {
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	text := ""
	if len(pairs) > 0 {
		text = "{" + strings.Join(pairs, ",") + "}"
	}
	// The write fails only if the client has disconnected, and then nobody is left to report it to.
	_, _ = fmt.Fprintf(m.out, "dunlinloom_%s%s %v\n", name, text, value)
}

// samples writes one sample per map entry, with the key as the value of the label.
func (m metricsWriter) samples(name, label string, values map[string]uint64) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		m.sample(name, values[key], label, key)
	}
}

func (m metricsWriter) invariants(counts []invariant.Count) {
	for _, count := range counts {
		m.sample("invariant_violations_total", count.Count, "invariant", string(count.Name))
	}
}

func (f *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m := metricsWriter{w}
	f.controlMetrics(m)
	m.invariants(f.invariants.Counts())
	if f.limitedListener != nil {
		m.sample("channels_open", f.limitedListener.Open())
		m.sample("channels_turned_away_total", f.limitedListener.Rejected.Load())
	}
	if f.callerConnections != nil {
		m.sample("requests_unanswered_total", f.callerConnections.Unanswered())
		kept, first := f.callerConnections.DrainRequests()
		m.sample("requests_while_draining_total", kept, "connection", "kept")
		m.sample("requests_while_draining_total", first, "connection", "new")
	}
	if f.controlGuard != nil {
		m.sample("control_connections_open", f.controlGuard.OpenConnections())
		m.sample("control_connections_rejected_total", f.controlGuard.RejectedConnections.Load())
		m.sample("control_body_bytes", f.controlGuard.HeldBodyBytes())
		m.sample("control_bodies_rejected_total", f.controlGuard.RejectedBodies.Load())
	}
	if journalFile := f.journalFile(); journalFile != nil {
		m.sample("journal_written_total", journalFile.Written.Load())
		m.sample("journal_dropped_total", journalFile.Dropped.Load())
	}
	if archiver := f.archiver(); archiver != nil {
		m.sample("history_filed_total", archiver.Archived.Load())
		m.sample("history_failed_total", archiver.Failures.Load())
	}
	if f.forwarder != nil {
		f.forwarderMetrics(m)
	}
	if f.router != nil {
		f.routedMetrics(m)
	}
}

// controlMetrics writes the state of the control plane and its traffic to other nodes.
func (f *API) controlMetrics(m metricsWriter) {
	state, now := f.runner.State(), f.env.Clock.Now()
	m.sample("licence_left_us", max(state.LeaseExpiresAt-now, 0))
	m.sample("leads", boolMetric(state.IsLeader))
	m.sample("term", state.Term)
	if state.Document != nil {
		m.sample("generation", state.Document.Revision)
		m.sample("spec_generation", state.Document.ConfigRevision)
	}
	m.sample("owners_longest_us", f.runner.LongestTurn())
	f.runner.lateness.metrics(m)
	m.sample("engines_known", len(state.Engines))
	m.sample("engines_usable", countUsable(state.Engines))
	m.sample("engine_view_age_us", f.runner.DirectoryAge())
	m.sample("ends_confirmed_total", state.Confirmations.Complete)
	m.sample("ends_confirmed_partially_total", state.Confirmations.Partial)
	m.sample("ends_unconfirmed_total", state.Confirmations.Unconfirmed)
	if state.Health != nil {
		m.sample("core_whole", boolMetric(state.Health.IsHealthy))
		m.sample("core_spare_losses", state.Health.FailureTolerance)
	}
	f.fenceMetrics(m)
	if state.IsLeader && state.Dissemination.Revision > 0 {
		m.sample("acknowledged_generation", state.Dissemination.Revision)
		m.sample("acknowledged_nodes", state.Dissemination.Applied, "state", "applied")
		m.sample("acknowledged_nodes", len(state.Dissemination.Lagging), "state", "lagging")
		m.sample("acknowledged_nodes", state.Dissemination.Silent, "state", "silent")
	}
	m.sample("nodes_known", len(state.Nodes))
	bytes := map[string]uint64{}
	for address, sent := range f.connections.BytesByPeer() {
		bytes[f.zoneOf(state, address)] += sent
	}
	for _, traffic := range f.traffic(state) {
		m.sample("peer_message_bytes_total", traffic.Bytes, "kind", traffic.Kind, "to", traffic.To)
	}
	m.samples("peer_bytes_sent_total", "to", bytes)
	m.sample("peer_messages_sent_total", f.connections.Sent.Load())
	m.sample("peer_messages_dropped_total", f.connections.Dropped.Load())
}

// boolMetric returns 1 for true and 0 for false.
func boolMetric(isTrue bool) int {
	if isTrue {
		return 1
	}
	return 0
}

// countUsable counts the engines that routers may send requests to.
func countUsable(engines []registry.EngineRecord) int {
	count := 0
	for _, engine := range engines {
		if !engine.IsUnlisted && !engine.IsDraining && !engine.IsUnresponsive {
			count++
		}
	}
	return count
}

// forwarderMetrics writes the request counters of the relay, the data plane that serves /v1/completions.
func (f *API) forwarderMetrics(m metricsWriter) {
	counts := f.forwarder.Dispatcher.Counts()
	m.sample("requests_total", counts.Requests)
	m.sample("rounds_first_total", counts.FirstAttempts)
	m.sample("retries_total", counts.Retries)
	m.sample("resumes_total", counts.Resumes)
	m.sample("diverts_total", counts.Diverts)
	m.sample("admission_diverts_total", counts.AdmissionDiverts)
	m.sample("served_total", counts.Served)
	m.sample("callers_gone_total", counts.CallerDisconnects)
	m.sample("requests_live", f.forwarder.InFlight())
	m.sample("bodies_held_bytes", f.forwarder.ReservedBytes())
	m.samples("declined_total", "reason", counts.Rejected)
	m.samples("broken_total", "reason", counts.Broken)
}

// routedMetrics writes the request counters of the router, the data plane that serves a deployment's routes.
func (f *API) routedMetrics(m metricsWriter) {
	counts := f.router.Chooser.Counts()
	m.sample("requests_total", counts.Requests)
	m.sample("attempts_total", counts.Attempts)
	m.sample("retries_total", counts.Extras)
	m.sample("diverts_total", counts.Diverts)
	m.sample("diverts_spared_total", counts.Spared)
	m.samples("declined_total", "reason", counts.Refused)
	m.samples("attempts_ended_total", "ending", counts.Endings)
	m.samples("requests_ended_after_silence_total", "ending", counts.EndedAfterSilence)
	m.sample("answers_torn_total", f.router.Truncated())
	m.sample("requests_live", f.router.InFlight())
	m.sample("bodies_held_bytes", f.router.ReservedBytes())
	m.sample("engine_connections_opened_total", f.router.Pool.Opened())
}
