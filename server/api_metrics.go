package server

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"dunlinloom/control"
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
