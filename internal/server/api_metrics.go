package server

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/invariant"
)

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

// metricsWriter writes figures in the text exposition format, one a line.
type metricsWriter struct{ to io.Writer }

// line writes one figure; labels are names and values by turns.
func (m metricsWriter) line(name string, value any, labels ...string) {
	text := ""
	for i := 0; i+1 < len(labels); i += 2 {
		text += fmt.Sprintf(",%s=%q", labels[i], labels[i+1])
	}
	if text != "" {
		text = "{" + text[1:] + "}"
	}
	fmt.Fprintf(m.to, "dunlinloom_%s%s %v\n", name, text, value)
}

// each writes one line for each entry of a map, with its key as a label.
func (m metricsWriter) each(name, label string, values map[string]uint64) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		m.line(name, values[key], label, key)
	}
}

func (m metricsWriter) invariants(counts []invariant.Count) {
	for _, count := range counts {
		m.line("invariant_violations_total", count.Count, "invariant", string(count.Name))
	}
}

func (f *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m := metricsWriter{w}
	f.controlMetrics(m)
	m.invariants(f.invariants.Counts())
	if f.limitedListener != nil {
		m.line("channels_open", f.limitedListener.Open())
		m.line("channels_turned_away_total", f.limitedListener.Turned.Load())
	}
	if f.journalFile != nil {
		m.line("journal_written_total", f.journalFile.Written.Load())
		m.line("journal_dropped_total", f.journalFile.Dropped.Load())
	}
	if f.archiver != nil {
		m.line("history_filed_total", f.archiver.Filed.Load())
		m.line("history_failed_total", f.archiver.Failed.Load())
	}
	if f.forwarder != nil {
		f.forwarderMetrics(m)
	}
	if f.routed != nil {
		f.routedMetrics(m)
	}
}

// controlMetrics tells how the control plane stands and what it has sent.
func (f *API) controlMetrics(m metricsWriter) {
	state, now := f.runner.State(), f.env.Clock.Now()
	m.line("licence_left_us", max(state.Until-now, 0))
	m.line("leads", asNumber(state.IsLeader))
	m.line("term", state.Term)
	if state.Document != nil {
		m.line("generation", state.Document.Revision)
		m.line("spec_generation", state.Document.ConfigRevision)
	}
	m.line("owners_longest_us", f.runner.Longest())
	m.line("engines_known", len(state.Engines))
	m.line("engines_usable", countUsable(state.Engines))
	if state.Health != nil {
		m.line("core_whole", asNumber(state.Health.IsWhole))
	}
	m.line("nodes_known", len(state.Nodes))
	bytes := map[string]uint64{}
	for address, sent := range f.connections.BytesTo() {
		bytes[f.zoneOf(state, address)] += sent
	}
	for _, traffic := range f.traffic(state) {
		m.line("peer_message_bytes_total", traffic.Bytes, "kind", traffic.Kind, "to", traffic.To)
	}
	m.each("peer_bytes_sent_total", "to", bytes)
	m.line("peer_messages_sent_total", f.connections.Sent.Load())
	m.line("peer_messages_dropped_total", f.connections.Dropped.Load())
}

// asNumber is how a yes is told as a figure.
func asNumber(isYes bool) int {
	if isYes {
		return 1
	}
	return 0
}

// countUsable counts the engines that routers may send requests to.
func countUsable(engines []control.EngineRecord) int {
	count := 0
	for _, engine := range engines {
		if !engine.IsUnlisted && !engine.IsLeaving && !engine.IsDark {
			count++
		}
	}
	return count
}

// forwarderMetrics tells of the requests of the product's own data plane.
func (f *API) forwarderMetrics(m metricsWriter) {
	counts := f.forwarder.Dispatcher.Counts()
	m.line("requests_total", counts.Requests)
	m.line("rounds_first_total", counts.FirstRounds)
	m.line("retries_total", counts.Retries)
	m.line("resumes_total", counts.Resumes)
	m.line("diverts_total", counts.Diverts)
	m.line("admission_diverts_total", counts.AdmissionDiverts)
	m.line("served_total", counts.Served)
	m.line("callers_gone_total", counts.CallersGone)
	m.line("requests_live", f.forwarder.Live())
	m.line("bodies_held_bytes", f.forwarder.Held())
	m.each("declined_total", "reason", counts.Rejected)
	m.each("broken_total", "reason", counts.Broken)
}

// routedMetrics tells of the requests of a deployment's routes.
func (f *API) routedMetrics(m metricsWriter) {
	counts := f.routed.Chooser.Counts()
	m.line("requests_total", counts.Requests)
	m.line("attempts_total", counts.Attempts)
	m.line("retries_total", counts.Extras)
	m.line("diverts_total", counts.Diverts)
	m.line("diverts_spared_total", counts.Spared)
	m.each("declined_total", "reason", counts.Refused)
	m.each("attempts_ended_total", "ending", counts.Endings)
	m.line("answers_torn_total", f.routed.Torn())
	m.line("requests_live", f.routed.Live())
	m.line("bodies_held_bytes", f.routed.Held())
	m.line("engine_connections_opened_total", f.routed.Pool.Opened())
}
