// Dunlinctl is the operator's command line over the whole fleet.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-git/go-git/v5/utils/diff"
	"github.com/sergi/go-diff/diffmatchpatch"

	"dunlinloom/control"
	"dunlinloom/fleetconfig"
	"dunlinloom/history"
	"dunlinloom/kernel"
	"dunlinloom/relay"
	"dunlinloom/server"
)

// Exit statuses, as docs/operators.md gives them.
const (
	exitYes      = 0
	exitTrouble  = 1 // no node answered, or the words were wrong
	exitNo       = 2 // a final no, or a configuration with faults
	exitUnproved = 3 // neither yes nor no could be shown
	exitMissing  = 4 // what was asked for is not there
)

type words struct {
	Config     *configWords     `arg:"subcommand:spec" help:"put, get, change, history, diff, check"`
	Zone       *zoneWords       `arg:"subcommand:zone" help:"empty, refill"`
	Router     *routerWords     `arg:"subcommand:router" help:"forget"`
	Core       *coreWords       `arg:"subcommand:core" help:"look, rebuild: when the majority of the core's disks is gone"`
	Submission *submissionWords `arg:"subcommand:submission" help:"how an order ended"`
	Fleet      *struct{}        `arg:"subcommand:fleet" help:"nodes, engines, zones, who leads"`
	Status     *statusWords     `arg:"subcommand:status" help:"whether the core is whole, and how many losses it can bear now"`
	Explain    *explainWords    `arg:"subcommand:explain" help:"why a request went where it did"`
	Journal    *journalWords    `arg:"subcommand:journal" help:"decisions of all nodes"`
	Nodes      []string         `arg:"--node,separate,env:CALLBOARD_NODES" help:"public address of a node; several are tried in turn"`
	JSON       bool             `arg:"--json" help:"print the nodes' own JSON"`
}

type configWords struct {
	Put *struct {
		File       string  `arg:"positional,required"`
		Base       *uint64 `arg:"--base" help:"the generation the edit began from"`
		Submission string  `arg:"--submission" help:"id; the same one again gets the same receipt"`
	} `arg:"subcommand:put"`
	Get *struct {
		Revision uint64 `arg:"--generation"`
	} `arg:"subcommand:get"`
	History *struct{} `arg:"subcommand:history" help:"the specs that can be read"`
	Diff    *struct {
		A uint64 `arg:"positional,required"`
		B uint64 `arg:"positional,required"`
	} `arg:"subcommand:diff" help:"what changed between the specs of two generations"`
	Check *struct {
		File string `arg:"positional,required"`
	} `arg:"subcommand:check"`
	Change *struct {
		File string `arg:"positional,required" help:"JSON of version, upsert and remove"`
	} `arg:"subcommand:change" help:"change only the items that a file names, on top of the spec in force"`
}

type zoneWords struct {
	Empty  *zoneName `arg:"subcommand:empty"`
	Refill *zoneName `arg:"subcommand:refill"`
}

type zoneName struct {
	Zone       string `arg:"positional,required"`
	Submission string `arg:"--submission"`
}

type routerWords struct {
	Forget *struct {
		Address string `arg:"positional,required" help:"peer address of a router that you know to be dead"`
	} `arg:"subcommand:forget"`
}

type submissionWords struct {
	ID string `arg:"positional,required" help:"asking makes an order that is still open a final no"`
}

type explainWords struct {
	Request string `arg:"positional,required" help:"the Dunlinloom-Request header of the answer"`
}

type journalWords struct {
	Part    string `arg:"--part" help:"control, relay or platform"`
	Subject string `arg:"--subject" help:"core, licence, home, \"engine ID\", \"node ADDRESS\", \"submission ID\" or a request's id"`
	Last    int    `arg:"--last" default:"50"`
	Since   string `arg:"--since" help:"tell what happened since then over the whole fleet: a span like 12h, or a moment like 2031-05-06T18:00:00Z"`
}

func (words) Description() string {
	return "dunlinctl drives a dunlinloom fleet through any of its nodes."
}

// unreachable says that no node gave an answer.
type unreachable struct {
	nodes []string
	cause error
}

func (b unreachable) Error() string {
	return fmt.Sprintf("none of %v answered: %v", b.nodes, b.cause)
}

func (b unreachable) Unwrap() error { return b.cause }

// misread says that a node's answer was not what its interface promises.
type misread struct {
	what  string
	cause error
}

func (b misread) Error() string { return fmt.Sprintf("read %s: %v", b.what, b.cause) }

func (b misread) Unwrap() error { return b.cause }

type board struct {
	words  words
	client *http.Client
	out    io.Writer
}

func main() {
	var words words
	parser := arg.MustParse(&words)
	if len(words.Nodes) == 0 && words.Core == nil {
		parser.Fail("name a node with --node or CALLBOARD_NODES")
	}
	b := &board{words, &http.Client{Timeout: 30 * time.Second}, os.Stdout}
	status, err := b.run(parser)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinctl:", err)
	}
	os.Exit(status)
}

func (b *board) run(parser *arg.Parser) (int, error) {
	w := b.words
	switch {
	case w.Config != nil && w.Config.Put != nil:
		return b.put(w.Config.Put.File, w.Config.Put.Base, w.Config.Put.Submission)
	case w.Config != nil && w.Config.Get != nil:
		query := ""
		if w.Config.Get.Revision > 0 {
			query = fmt.Sprintf("?generation=%d", w.Config.Get.Revision)
		}
		return b.show(http.MethodGet, "/v1/spec"+query, nil, nil)
	case w.Config != nil && w.Config.History != nil:
		return b.show(http.MethodGet, "/v1/spec/history", nil, b.printHistory)
	case w.Config != nil && w.Config.Diff != nil:
		return b.diff(w.Config.Diff.A, w.Config.Diff.B)
	case w.Config != nil && w.Config.Check != nil:
		content, err := os.ReadFile(w.Config.Check.File)
		if err != nil {
			return exitTrouble, fmt.Errorf("read the spec: %w", err)
		}
		return b.show(http.MethodPost, "/v1/spec/check", content, func([]byte) error {
			fmt.Fprintln(b.out, "the spec is good"+versionNote(content))
			return nil
		})
	case w.Config != nil && w.Config.Change != nil:
		return b.change(w.Config.Change.File)
	case w.Zone != nil && w.Zone.Empty != nil:
		return b.order(http.MethodPut, "/v1/zones/"+url.PathEscape(w.Zone.Empty.Zone)+"/evacuation", nil, w.Zone.Empty.Submission)
	case w.Zone != nil && w.Zone.Refill != nil:
		return b.order(http.MethodDelete, "/v1/zones/"+url.PathEscape(w.Zone.Refill.Zone)+"/evacuation", nil, w.Zone.Refill.Submission)
	case w.Router != nil && w.Router.Forget != nil:
		return b.order(http.MethodDelete, "/v1/routers/"+url.PathEscape(w.Router.Forget.Address), nil, "")
	case w.Core != nil && w.Core.Look != nil:
		return b.look(w.Core.Look.Data)
	case w.Core != nil && w.Core.Rebuild != nil:
		r := w.Core.Rebuild
		return b.rebuild(r.Data, r.Peer, r.Zone, r.Confirm)
	case w.Submission != nil:
		return b.order(http.MethodGet, "/v1/submissions/"+url.PathEscape(w.Submission.ID), nil, w.Submission.ID)
	case w.Fleet != nil:
		return b.show(http.MethodGet, "/v1/fleet", nil, b.printFleet)
	case w.Status != nil:
		return b.status(w.Status.Wait, time.Sleep)
	case w.Explain != nil:
		return b.gather("/v1/explain/" + url.PathEscape(w.Explain.Request))
	case w.Journal != nil && w.Journal.Since != "":
		return b.night(w.Journal.Since)
	case w.Journal != nil:
		query := url.Values{"part": {w.Journal.Part}, "subject": {w.Journal.Subject}, "last": {fmt.Sprint(w.Journal.Last)}}
		return b.gather("/v1/journal?" + query.Encode())
	}
	parser.WriteHelp(os.Stderr)
	return exitTrouble, nil
}

// do asks the nodes in turn until one answers.
func (b *board) do(method, path string, body []byte, submission string) (int, []byte, error) {
	status, _, got, err := b.ask(method, path, body, submission)
	return status, got, err
}

// ask is do with the answer's headers.
func (b *board) ask(method, path string, body []byte, submission string) (int, http.Header, []byte, error) {
	var last error
	for _, node := range b.words.Nodes {
		status, headers, got, err := b.askAt(node, method, path, body, submission)
		if err == nil {
			return status, headers, got, nil
		}
		last = err
	}
	return 0, nil, nil, unreachable{b.words.Nodes, last}
}

func (b *board) doAt(node, method, path string, body []byte, submission string) (int, []byte, error) {
	status, _, got, err := b.askAt(node, method, path, body, submission)
	return status, got, err
}

func (b *board) askAt(node, method, path string, body []byte, submission string) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("make a request: %w", err)
	}
	if submission != "" {
		request.Header.Set(server.HeaderSubmission, submission)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("ask %s: %w", node, err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("hear %s: %w", node, err)
	}
	return response.StatusCode, response.Header, got, nil
}

// change puts what a file names into the configuration in force. It is put with the revision that
// was read as its base: of two who do so at once one gets a yes, and nothing is lost.
func (b *board) change(file string) (int, error) {
	change, err := os.ReadFile(file)
	if err != nil {
		return exitTrouble, fmt.Errorf("read the change: %w", err)
	}
	status, headers, document, err := b.ask(http.MethodGet, "/v1/spec", nil, "")
	if err != nil {
		return exitTrouble, err
	}
	if status != http.StatusOK {
		return b.fail(status, document)
	}
	base, err := strconv.ParseUint(headers.Get(relay.HeaderRevision), 10, 64)
	if err != nil || base == 0 {
		return exitTrouble, misread{"the generation of the spec in force", noRevision{}}
	}
	changed, err := fleetconfig.ChangeByName(document, change, fleetconfig.OwnWords())
	var faults *fleetconfig.Faults
	var above fleetconfig.TooLarge
	if errors.As(err, &faults) || errors.As(err, &above) {
		return exitNo, err
	}
	if err != nil {
		return exitTrouble, err
	}
	if !b.words.JSON {
		fmt.Fprintf(b.out, "from generation %d%s, to be put%s\n", base, versionNote(document), versionNote(changed))
	}
	return b.order(http.MethodPut, fmt.Sprintf("/v1/spec?base=%d", base), changed, "")
}

// versionNote tells the operator's own number of a configuration in the product's form, if it has one.
func versionNote(document []byte) string {
	var config struct{ Version json.Number }
	if json.Unmarshal(document, &config) != nil || config.Version == "" || config.Version == "0" {
		return ""
	}
	return ", version " + config.Version.String()
}

func (b *board) put(file string, base *uint64, submission string) (int, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return exitTrouble, fmt.Errorf("read the spec: %w", err)
	}
	path := "/v1/spec"
	if base != nil {
		path += fmt.Sprintf("?base=%d", *base)
	}
	return b.order(http.MethodPut, path, content, submission)
}

// order sends an order with one id to all nodes in turn, so that a second try
// can never be a second order.
func (b *board) order(method, path string, body []byte, submission string) (int, error) {
	if submission == "" {
		submission = rand.Text()
	}
	status, got, err := b.do(method, path, body, submission)
	if err != nil {
		return exitUnproved, fmt.Errorf("%w; ask how it ended with: dunlinctl submission %s", err, submission)
	}
	var reply control.SubmitReply
	if err := json.Unmarshal(got, &reply); err != nil || reply.Outcome == "" {
		return b.fail(status, got)
	}
	if b.words.JSON {
		b.out.Write(got)
	} else {
		switch reply.Outcome {
		case control.Yes:
			fmt.Fprintf(b.out, "yes, generation %d (submission %s)\n", reply.Revision, reply.ID)
		case control.No:
			fmt.Fprintf(b.out, "no, %s: %s (submission %s)\n", reply.Reason, reply.Detail, reply.ID)
		default:
			fmt.Fprintf(b.out, "unproved, %s; ask again with: dunlinctl submission %s\n", reply.Detail, reply.ID)
		}
	}
	switch reply.Outcome {
	case control.Yes:
		return exitYes, nil
	case control.No:
		return exitNo, nil
	}
	return exitUnproved, nil
}

// fail prints a typed error of a node with all its faults.
func (b *board) fail(status int, got []byte) (int, error) {
	var said struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
			Faults  []struct {
				Path string `json:"path"`
				Why  string `json:"why"`
			} `json:"faults"`
			More int `json:"more_faults"`
		} `json:"error"`
	}
	if err := json.Unmarshal(got, &said); err != nil {
		return exitTrouble, misread{fmt.Sprintf("an answer of status %d", status), err}
	}
	if b.words.JSON {
		b.out.Write(got)
	} else {
		fmt.Fprintf(b.out, "%s: %s\n", said.Error.Type, said.Error.Message)
		for _, fault := range said.Error.Faults {
			fmt.Fprintf(b.out, "  %s: %s\n", fault.Path, fault.Why)
		}
		if said.Error.More > 0 {
			fmt.Fprintf(b.out, "  and %d more\n", said.Error.More)
		}
	}
	switch status {
	case http.StatusNotFound:
		return exitMissing, nil
	case http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge, http.StatusConflict, http.StatusBadRequest:
		return exitNo, nil
	}
	return exitTrouble, nil
}

func (b *board) show(method, path string, body []byte, print func([]byte) error) (int, error) {
	status, got, err := b.do(method, path, body, "")
	if err != nil {
		return exitTrouble, err
	}
	if status != http.StatusOK {
		return b.fail(status, got)
	}
	if b.words.JSON || print == nil {
		b.out.Write(got)
		return exitYes, nil
	}
	if err := print(got); err != nil {
		return exitTrouble, err
	}
	return exitYes, nil
}

func (b *board) printHistory(got []byte) error {
	var past server.History
	if err := json.Unmarshal(got, &past); err != nil {
		return misread{"the history", err}
	}
	kept, all := map[uint64]history.Facts{}, slices.Clone(past.Revisions)
	for _, facts := range past.Kept {
		kept[facts.Revision] = facts
		all = append(all, facts.Revision)
	}
	slices.Sort(all)
	for _, revision := range slices.Compact(all) {
		line := fmt.Sprint(revision)
		if facts, isKept := kept[revision]; isKept {
			line += fmt.Sprintf("  submission %s, filed %s", facts.Submission, facts.Filed)
		}
		if revision == past.Current {
			line += "  in force"
		}
		fmt.Fprintln(b.out, line)
	}
	return nil
}

// diff prints what changed between two configurations, line by line of their indented JSON.
func (b *board) diff(from, to uint64) (int, error) {
	texts := [2]string{}
	for i, revision := range []uint64{from, to} {
		if revision == 0 {
			return exitTrouble, misread{"the generations", noRevision{}}
		}
		status, got, err := b.do(http.MethodGet, fmt.Sprintf("/v1/spec?generation=%d", revision), nil, "")
		if err != nil {
			return exitTrouble, err
		}
		if status != http.StatusOK {
			return b.fail(status, got)
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, got, "", "  "); err != nil {
			return exitTrouble, misread{fmt.Sprintf("the spec of generation %d", revision), err}
		}
		texts[i] = indented.String() + "\n"
	}
	for _, part := range diff.Do(texts[0], texts[1]) {
		sign := map[diffmatchpatch.Operation]string{diffmatchpatch.DiffInsert: "+", diffmatchpatch.DiffDelete: "-"}[part.Type]
		if sign == "" {
			continue
		}
		for _, line := range strings.Split(strings.TrimSuffix(part.Text, "\n"), "\n") {
			fmt.Fprintln(b.out, sign+line)
		}
	}
	return exitYes, nil
}

// noRevision says that zero names none.
type noRevision struct{}

func (noRevision) Error() string { return "they count from 1" }

func (b *board) printFleet(got []byte) error {
	var view server.FleetView
	if err := json.Unmarshal(got, &view); err != nil {
		return misread{"the fleet", err}
	}
	fmt.Fprintf(b.out, "generation %d, spec of %d, seen from %s in %s\n", view.Revision, view.ConfigRevision, view.Self.Address, view.Self.Zone)
	if view.Why != "" {
		fmt.Fprintf(b.out, "NO LICENCE: %s\n", view.Why)
	}
	if view.Ailment != "" {
		fmt.Fprintf(b.out, "DISK: %s\n", view.Ailment)
	}
	if view.Core != nil {
		printCore(b.out, view.Core)
	} else {
		fmt.Fprintln(b.out, "core: its leader knows; see `dunlinctl status`")
	}
	for _, zone := range slices.Sorted(maps.Keys(view.Drained)) {
		fmt.Fprintf(b.out, "zone %s is emptied since generation %d\n", zone, view.Drained[zone])
	}
	isVoter, isHome, isRegistered := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, member := range view.Voters {
		isVoter[member.Address] = true
	}
	for _, home := range view.Homes {
		isHome[home] = true
	}
	for _, address := range view.Register {
		isRegistered[address] = true
	}
	fmt.Fprintf(b.out, "\n%-22s %-22s %-8s %10s  %s\n", "NODE", "PUBLIC", "ZONE", "GENERATION", "DUTIES")
	seen := map[string]bool{}
	for _, node := range view.Nodes {
		seen[node.Address] = true
		duties := []string{}
		for _, duty := range []struct {
			name    string
			isThere bool
		}{{"leads", node.Address == view.Leader}, {"votes", isVoter[node.Address]}, {"home", isHome[node.Address]}, {"routes", isRegistered[node.Address]}, {"leaving", node.IsLeaving}} {
			if duty.isThere {
				duties = append(duties, duty.name)
			}
		}
		fmt.Fprintf(b.out, "%-22s %-22s %-8s %10d  %s\n", node.Address, node.Public, node.Zone, node.Applied, strings.Join(duties, " "))
	}
	for _, address := range view.Register {
		if !seen[address] {
			fmt.Fprintf(b.out, "%-22s registered but not heard of\n", address)
		}
	}
	for _, member := range view.Voters {
		if !seen[member.Address] {
			fmt.Fprintf(b.out, "%-22s votes but is not heard of\n", member.Address)
		}
	}
	fmt.Fprintf(b.out, "\n%-16s %-22s %-8s %10s %10s %8s  %s\n", "ENGINE", "ADDRESS", "ZONE", "OWN", "FOREIGN", "STREAMS", "")
	for _, engine := range view.Engines {
		fmt.Fprintf(b.out, "%-16s %-22s %-8s %10d %10.0f %8d  %s\n", engine.ID, engine.Address, engine.Zone, engine.Own, engine.Foreign, engine.Streams, engine.Bar)
	}
	fmt.Fprintf(b.out, "\n%-16s %-8s %12s  sent by %s\n", "MESSAGES", "TO", "BYTES", view.Self.Address)
	for _, traffic := range view.Traffic[:min(len(view.Traffic), 12)] {
		fmt.Fprintf(b.out, "%-16s %-8s %12d\n", traffic.Kind, traffic.To, traffic.Bytes)
	}
	return nil
}

type journalPage struct {
	Node    kernel.Identity `json:"node"`
	Entries []kernel.Entry  `json:"entries"`
}

// gather asks every node of the fleet and prints their journals, a node after another.
func (b *board) gather(path string) (int, error) {
	pages, _, err := b.pages(path)
	if err != nil {
		return exitTrouble, err
	}
	if b.words.JSON {
		if err := json.NewEncoder(b.out).Encode(pages); err != nil {
			return exitTrouble, fmt.Errorf("print: %w", err)
		}
	} else {
		for _, page := range pages {
			fmt.Fprintf(b.out, "%s in %s\n", page.Node.Address, page.Node.Zone)
			for _, entry := range page.Entries {
				fmt.Fprintf(b.out, "  %14.6f s  %-28s %-24s %s\n", float64(entry.At)/1e6, entry.Subject, entry.Decision, entry.Why)
			}
		}
	}
	if len(pages) == 0 {
		fmt.Fprintln(os.Stderr, "dunlinctl: no journal speaks of it; journals are bounded, and without a data folder they end with their process")
		return exitMissing, nil
	}
	return exitYes, nil
}
