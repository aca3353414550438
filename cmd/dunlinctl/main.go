// Dunlinctl is the command-line client with which operators control a fleet.
package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/alexflint/go-arg"
)

// Exit statuses, documented in docs/operators.md.
const (
	exitAccepted = 0
	exitFailure  = 1 // no node responded, or the command line is invalid
	exitRejected = 2 // rejected for good, or an invalid configuration
	exitUnknown  = 3 // the outcome is unknown
	exitMissing  = 4 // the requested item does not exist
)

// session executes one command against the nodes given in its arguments.
type session struct {
	arguments arguments
	client    *http.Client
	out       io.Writer
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	if len(arguments.Nodes) == 0 && arguments.Core == nil {
		parser.Fail("name a node with --node or DUNLINCTL_NODES")
	}
	s := &session{arguments, &http.Client{Timeout: 30 * time.Second}, os.Stdout}
	status, err := s.run(parser)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinctl:", err)
	}
	os.Exit(status)
}

func (s *session) run(parser *arg.Parser) (int, error) {
	w := s.arguments
	switch {
	case w.Config != nil && w.Config.Put != nil:
		return s.put(w.Config.Put.File, w.Config.Put.Base, w.Config.Put.Submission)
	case w.Config != nil && w.Config.Get != nil:
		query := ""
		if w.Config.Get.Revision > 0 {
			query = fmt.Sprintf("?generation=%d", w.Config.Get.Revision)
		}
		return s.show(http.MethodGet, "/v1/spec"+query, nil, nil)
	case w.Config != nil && w.Config.History != nil:
		return s.show(http.MethodGet, "/v1/spec/history", nil, s.printHistory)
	case w.Config != nil && w.Config.Diff != nil:
		return s.diff(w.Config.Diff.A, w.Config.Diff.B)
	case w.Config != nil && w.Config.Check != nil:
		content, err := os.ReadFile(w.Config.Check.File)
		if err != nil {
			return exitFailure, fmt.Errorf("read the configuration: %w", err)
		}
		return s.show(http.MethodPost, "/v1/spec/check", content, func([]byte) error {
			fmt.Fprintln(s.out, "the configuration is valid"+versionNote(content))
			return nil
		})
	case w.Config != nil && w.Config.Change != nil:
		return s.change(w.Config.Change.File)
	case w.Zone != nil && w.Zone.Drain != nil:
		return s.submit(http.MethodPut, "/v1/zones/"+url.PathEscape(w.Zone.Drain.Zone)+"/evacuation", nil, w.Zone.Drain.Submission)
	case w.Zone != nil && w.Zone.Restore != nil:
		return s.submit(http.MethodDelete, "/v1/zones/"+url.PathEscape(w.Zone.Restore.Zone)+"/evacuation", nil, w.Zone.Restore.Submission)
	case w.Router != nil && w.Router.Deregister != nil:
		return s.submit(http.MethodDelete, "/v1/routers/"+url.PathEscape(w.Router.Deregister.Address), nil, "")
	case w.Core != nil && w.Core.Inspect != nil:
		return s.inspect(w.Core.Inspect.Data)
	case w.Core != nil && w.Core.Rebuild != nil:
		r := w.Core.Rebuild
		return s.rebuild(r.Data, r.Peer, r.Zone, r.Confirm)
	case w.Submission != nil:
		return s.submit(http.MethodGet, "/v1/submissions/"+url.PathEscape(w.Submission.ID), nil, w.Submission.ID)
	case w.Fleet != nil:
		return s.show(http.MethodGet, "/v1/fleet", nil, s.printFleet)
	case w.Status != nil:
		return s.status(w.Status.Wait, time.Sleep)
	case w.Explain != nil:
		return s.printJournals("/v1/explain/" + url.PathEscape(w.Explain.Request))
	case w.Journal != nil && w.Journal.Since != "":
		return s.timeline(w.Journal.Since)
	case w.Journal != nil:
		query := url.Values{"part": {w.Journal.Part}, "subject": {w.Journal.Subject}, "last": {fmt.Sprint(w.Journal.Last)}}
		return s.printJournals("/v1/journal?" + query.Encode())
	}
	parser.WriteHelp(os.Stderr)
	return exitFailure, nil
}
