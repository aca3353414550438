package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/server"
)

// invalidSinceError reports that the value of --since can't be parsed or is in the future.
type invalidSinceError struct{ text string }

func (e invalidSinceError) Error() string {
	return fmt.Sprintf("--since %q is neither a duration like 12h nor a past time like 2031-05-06T18:00:00Z", e.text)
}

// parseSince parses a duration before now, or a time in RFC 3339, into a wall time.
func parseSince(text string, now time.Time) (kernel.Micros, error) {
	if span, err := time.ParseDuration(text); err == nil && span > 0 {
		return kernel.Micros(now.Add(-span).UnixMicro()), nil
	}
	moment, err := time.Parse(time.RFC3339, text)
	if err != nil || moment.After(now) {
		return 0, invalidSinceError{text}
	}
	return kernel.Micros(moment.UnixMicro()), nil
}

// nodeEntry is a journal entry with the node that recorded it.
type nodeEntry struct {
	node  kernel.Identity
	entry kernel.Entry
}

// mergeJournals merges the journals of several nodes into one order. The entries of one node keep
// their order. Entries made under a revision come after the entry that proposed the revision. All
// other entries are ordered by the wall clocks of their nodes.
func mergeJournals(pages []journalPage) []nodeEntry {
	heads := make([]int, len(pages))
	proposed := map[uint64]int{} // number of proposals not yet merged, by revision
	for _, page := range pages {
		for _, entry := range page.Entries {
			if revision := control.ProposedRevision(entry); revision > 0 {
				proposed[revision]++
			}
		}
	}
	revisions := slices.Sorted(maps.Keys(proposed))
	merged := []nodeEntry{}
	for {
		// Entries wait only for revisions whose proposals are not yet merged.
		for len(revisions) > 0 && proposed[revisions[0]] == 0 {
			revisions = revisions[1:]
		}
		best, bestFree := -1, false
		for i, page := range pages {
			if heads[i] == len(page.Entries) {
				continue
			}
			entry := page.Entries[heads[i]]
			isFree := len(revisions) == 0 || entry.Revision < revisions[0]
			switch {
			case best < 0, isFree && !bestFree:
			case isFree == bestFree && entry.WallTime < pages[best].Entries[heads[best]].WallTime:
			default:
				continue
			}
			best, bestFree = i, isFree
		}
		if best < 0 {
			return merged
		}
		entry := pages[best].Entries[heads[best]]
		heads[best]++
		if revision := control.ProposedRevision(entry); revision > 0 {
			proposed[revision]--
		}
		merged = append(merged, nodeEntry{pages[best].Node, entry})
	}
}

// timelineEvents lists the decisions that the timeline shows, with their text for operators.
var timelineEvents = []struct {
	subject  string // prefix of the entry's subject
	decision decision.Decision
	line     string // text shown to operators, before the name of the subject
}{
	{"core", decision.BecomeLeader, "leads"}, {"core", decision.StepDown, "no longer leads"}, {"core", decision.TransferLeadership, "transfers leadership"},
	{"core", decision.Bootstrap, "bootstrapped the fleet"}, {"core", decision.Leave, "is asked to stop"},
	{"core", decision.Propose, "the core changes"},
	{"submission ", decision.Accept, "operation accepted"}, {"submission ", decision.Reject, "operation rejected"}, {"submission ", decision.Abort, "operation without a response"},
	{"lease", decision.NoQuorum, "lost contact with the core"}, {"lease", decision.QuorumBack, "regained contact with the core"},
	{"coordinator", decision.HandOver, "hands over its zone"},
	{"disk", decision.Unhealthy, "disk unhealthy"}, {"disk", decision.Healthy, "disk healthy again"}, {"history", "lag", "object store is behind"},
	{"engine ", decision.Draining, "engine leaves"}, {"engine ", decision.Responsiveness, "engine's responsiveness"}, {"engine ", decision.Listing, "engine's listing"}, {"engine ", decision.Restarted, "engine restarted"},
	{"node ", decision.Dropped, "lost contact with"}, {"list", "unreadable", "can't read the platform's list of engines"},
	{"process", "start", "started"}, {"process", "stop", "stopped"}, {"declines", "count", "declined within a minute"},
}

func timelineText(entry kernel.Entry) string {
	for _, shown := range timelineEvents {
		if strings.HasPrefix(entry.Subject, shown.subject) && entry.Decision == string(shown.decision) {
			_, name, _ := strings.Cut(entry.Subject, " ")
			return strings.TrimSpace(shown.line + " " + name)
		}
	}
	return ""
}

// timeline prints the events of the whole fleet since a given time.
func (s *session) timeline(text string) (int, error) {
	since, err := parseSince(text, time.Now())
	if err != nil {
		return exitFailure, err
	}
	pages, unresponsive, err := s.journalPages("/v1/journal?" + url.Values{"since_us": {fmt.Sprint(since)}, "requests": {"0"}}.Encode())
	if err != nil {
		return exitFailure, err
	}
	if s.arguments.JSON {
		if err := json.NewEncoder(s.out).Encode(map[string]any{"silent": unresponsive, "entries": pages}); err != nil {
			return exitFailure, fmt.Errorf("write the journals as JSON: %w", err)
		}
		return exitAccepted, nil
	}
	for _, node := range unresponsive {
		fmt.Fprintf(s.out, "NO ANSWER from %s: events that only it recorded are missing below\n", node)
	}
	seen := map[string]bool{}
	lines := 0
	for _, each := range mergeJournals(pages) {
		line := timelineText(each.entry)
		// Every node records the same event of an engine, so it is printed once.
		key := fmt.Sprint(each.entry.Subject, "|", each.entry.Decision, "|", each.entry.Reason)
		if line == "" || strings.HasPrefix(each.entry.Subject, "engine ") && seen[key] {
			continue
		}
		seen[key] = true
		lines++
		timestamp := time.UnixMicro(int64(each.entry.WallTime)).UTC().Format("2006-01-02 15:04:05.000")
		fmt.Fprintf(s.out, "%s  %-6s %-21s %s: %s\n", timestamp, each.node.Zone, each.node.Address, line, each.entry.Reason)
	}
	if lines == 0 {
		fmt.Fprintln(s.out, "no events in this period")
	}
	return exitAccepted, nil
}

// journalPages queries the journal of every node of the fleet. It also returns the nodes that did not
// respond.
func (s *session) journalPages(path string) (pages []journalPage, unresponsive []string, err error) {
	status, got, err := s.do(http.MethodGet, "/v1/fleet", nil, "")
	if err != nil {
		return nil, nil, err
	}
	var view server.FleetView
	if status != http.StatusOK {
		return nil, nil, malformedResponseError{"the fleet", unexpectedStatusError{status}}
	}
	if err := json.Unmarshal(got, &view); err != nil {
		return nil, nil, malformedResponseError{"the fleet", err}
	}
	view.Nodes, view.IsPartial = s.allNodes(&view)
	publicAddresses, known := slices.Clone(s.arguments.Nodes), map[string]bool{}
	for _, node := range view.Nodes {
		publicAddresses = append(publicAddresses, node.PublicAddress)
		known[node.Address] = true
	}
	// Voters and registered routers without a known public address can't be queried. They are
	// reported as unresponsive.
	for _, voter := range view.Voters {
		view.Routers = append(view.Routers, voter.Address)
	}
	slices.Sort(view.Routers)
	for _, address := range slices.Compact(view.Routers) {
		if !known[address] {
			unresponsive = append(unresponsive, address)
		}
	}
	slices.Sort(publicAddresses)
	failed := []error{}
	for _, address := range slices.Compact(publicAddresses) {
		status, got, err := s.doAt(address, http.MethodGet, path, nil, "")
		var page journalPage
		if err == nil && status != http.StatusOK {
			err = unexpectedStatusError{status}
		}
		if err == nil {
			err = json.Unmarshal(got, &page)
		}
		if err != nil {
			failed = append(failed, err)
			unresponsive = append(unresponsive, address)
			continue
		}
		// A journal may hold entries of earlier builds, with former names of decisions.
		for i := range page.Entries {
			page.Entries[i] = decision.Current(page.Entries[i])
		}
		if len(page.Entries) > 0 {
			pages = append(pages, page)
		}
	}
	if len(failed) > 0 {
		fmt.Fprintln(os.Stderr, "dunlinctl: some journals could not be read:", errors.Join(failed...))
	}
	return pages, unresponsive, nil
}

// unexpectedStatusError reports that a node responded with a status other than 200.
type unexpectedStatusError struct{ status int }

func (e unexpectedStatusError) Error() string { return fmt.Sprintf("status %d", e.status) }
