package localfleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/childprocess"
	"dunlinloom/test/summary"
)

// Report is the result of a local fleet run.
type Report struct {
	Scenario    string         `json:"scenario"`
	Deployment  string         `json:"deployment"`
	Seed        uint64         `json:"seed"`
	Review      checker.Report `json:"review"`
	ServedShare float64        `json:"served_share"` // share of all calls, with each retry counted as a call
	// CallersServed is the share of callers that were served, including those that retried after a rejection.
	CallersServed float64            `json:"callers_served_share"`
	Counters      map[string]float64 `json:"counters"`
	// Crossing holds the bytes that nodes encoded for nodes in other zones, by kind of message.
	Crossing map[string]float64 `json:"crossing_bytes_by_kind"`
	Orders   map[string]int     `json:"orders"`
	Problems []string           `json:"problems,omitempty"`

	firstByte checker.Latency
	faults    []checker.FaultCost
}

// Page returns the report as a summary page.
func (r *Report) Page() *summary.Page {
	page := &summary.Page{
		Run:   fmt.Sprintf("local fleet run of %s (deployment %s, seed %d)", r.Scenario, r.Deployment, r.Seed),
		Rules: len(checker.FleetRules()), Violations: r.Review.Violations, Problems: r.Problems, Faults: r.faults,
	}
	page.Add("requests served", "%s; of callers, who retry, %.2f %%", summary.Share(r.Review.Outcomes[string(checker.Served)], r.Review.Calls), 100*r.CallersServed)
	page.Add("not served", "%s", summary.Counts(summary.Unserved(r.Review.Outcomes)))
	page.Add("first byte", "%s", summary.Latency(r.firstByte))
	if r.Review.RecoverySpan > 0 {
		page.Add("after the repair", "first request served after %s", summary.Span(r.Review.RecoverySpan))
	}
	page.Add("retries by routers", "%.0f of %.0f requests", r.Counters["retries_total"], r.Counters["requests_total"])
	page.Add("operations", "%s", summary.Counts(summary.Operations(r.Orders)))
	page.Add("between zones", "%s: %s", summary.Bytes(r.Counters["peer_bytes_between_zones"]), summary.LargestBytes(summary.Crossing(r.Crossing)))
	return page
}

func readEvents(path string) ([]checker.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, ClusterError{"read events", err}
	}
	defer file.Close()
	events := []checker.Event{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event checker.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil, ClusterError{"read " + path, err}
		}
		events = append(events, event)
	}
	if err := lines.Err(); err != nil {
		return nil, ClusterError{"read " + path, err}
	}
	return events, nil
}

func (cluster *Cluster) report(scenario *Scenario, operator *Operator, callsLog string) (*Report, error) {
	engines, err := kernel.ListFiles(cluster.folder, "engine-", ".jsonl")
	callLogs, callLogsErr := kernel.ListFiles(cluster.folder, "calls-", ".jsonl")
	if err := errors.Join(err, callLogsErr); err != nil {
		return nil, ClusterError{"list events", err}
	}
	paths := []string{}
	for _, name := range append(engines, callLogs...) {
		paths = append(paths, filepath.Join(cluster.folder, name))
	}
	cluster.lock.Lock()
	events := append([]checker.Event(nil), cluster.events...)
	cluster.lock.Unlock()
	for _, path := range append(paths, callsLog) {
		more, err := readEvents(path)
		if err != nil {
			return nil, err
		}
		events = append(events, more...)
	}
	report := &Report{Scenario: scenario.Name, Deployment: scenario.Deployment, Seed: scenario.Seed, Counters: map[string]float64{}, Orders: operator.orders}
	for _, name := range []string{"requests_total", "rounds_first_total", "retries_total", "resumes_total", "diverts_total", "admission_diverts_total",
		"served_total", "callers_gone_total", "declined_total", "broken_total", "peer_bytes_sent_total", "peer_messages_sent_total", "peer_messages_dropped_total"} {
		report.Counters[name] = cluster.total("dunlinloom_" + name)
	}
	report.Counters["owners_longest_us"] = cluster.largest("dunlinloom_owners_longest_us")
	report.Counters["peer_bytes_between_zones"], report.Crossing = cluster.bytesBetweenZones()
	events = append(events, checker.Event{At: now(), EventKind: checker.Totals,
		First: uint64(report.Counters["rounds_first_total"]), Retries: uint64(report.Counters["retries_total"])})
	report.Review = checker.Check(events, checker.DefaultBounds())
	report.firstByte, report.faults = checker.FirstByteLatency(events), checker.FaultCosts(events)
	if report.Review.Calls > 0 {
		report.ServedShare = float64(report.Review.Outcomes[string(checker.Served)]) / float64(report.Review.Calls)
	}
	callers, served := map[string]bool{}, map[string]bool{}
	for _, event := range events {
		if event.EventKind == checker.CallEnded {
			caller, _, _ := strings.Cut(event.Tag, "/")
			callers[caller] = true
			if event.Outcome == checker.Served {
				served[caller] = true
			}
		}
	}
	if len(callers) > 0 {
		report.CallersServed = float64(len(served)) / float64(len(callers))
	}
	cluster.checkActivity(report, events)
	cluster.checkNodes()
	cluster.lock.Lock()
	report.Problems = cluster.failures
	cluster.lock.Unlock()
	return report, nil
}

// checkActivity records a failure for each kind of event that every run has to show but this one did not. Without such
// events the rules would hold trivially.
func (cluster *Cluster) checkActivity(report *Report, events []checker.Event) {
	seen := map[checker.EventKind]bool{}
	for _, event := range events {
		seen[event.EventKind] = true
	}
	required := []checker.EventKind{
		checker.CallEnded, checker.RunStarted, checker.ConfigAccepted, checker.ConfigRead, checker.ConfigCurrent, checker.ZonesRead, checker.NewestRead,
	}
	for _, kind := range required {
		if !seen[kind] {
			cluster.addFailure("no event of kind %q was recorded", kind)
		}
	}
	if report.Review.Outcomes[string(checker.Served)] == 0 {
		cluster.addFailure("no request was served")
	}
}

// checkNodes records the internal errors that the nodes report in their metrics and logs.
func (cluster *Cluster) checkNodes() {
	isCounted := false
	cluster.lock.Lock()
	for _, counters := range cluster.counters {
		for name, value := range counters {
			isInvariant := strings.HasPrefix(name, checker.InvariantMetric)
			isCounted = isCounted || isInvariant
			if isInvariant && value > 0 {
				cluster.failures = append(cluster.failures, fmt.Sprintf("%s is %v", name, value))
			}
		}
	}
	cluster.lock.Unlock()
	if !isCounted {
		cluster.addFailure("no node exports the metric %s", checker.InvariantMetric)
	}
	faults, err := childprocess.ScanLogs(cluster.folder)
	if err != nil {
		cluster.addFailure("%v", err)
	}
	for _, fault := range faults {
		cluster.addFailure("%s", fault)
	}
}
