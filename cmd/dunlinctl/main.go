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
	command := s.arguments
	switch {
	case command.Config != nil && command.Config.Put != nil:
		return s.put(command.Config.Put.File, command.Config.Put.Base, command.Config.Put.Submission)
	case command.Config != nil && command.Config.Get != nil:
		query := ""
		if command.Config.Get.Revision > 0 {
			query = fmt.Sprintf("?generation=%d", command.Config.Get.Revision)
		}
		return s.show(http.MethodGet, "/v1/spec"+query, nil, nil)
	case command.Config != nil && command.Config.History != nil:
		return s.show(http.MethodGet, "/v1/spec/history", nil, s.printHistory)
	case command.Config != nil && command.Config.Diff != nil:
		return s.diff(command.Config.Diff.A, command.Config.Diff.B)
	case command.Config != nil && command.Config.Check != nil:
		content, err := os.ReadFile(command.Config.Check.File)
		if err != nil {
			return exitFailure, fmt.Errorf("read the configuration: %w", err)
		}
		return s.show(http.MethodPost, "/v1/spec/check", content, func([]byte) error {
			fmt.Fprintln(s.out, "the configuration is valid"+versionNote(content))
			return nil
		})
	case command.Config != nil && command.Config.Change != nil:
		return s.change(command.Config.Change.File)
	case command.Zone != nil && command.Zone.Drain != nil:
		return s.submit(http.MethodPut, "/v1/zones/"+url.PathEscape(command.Zone.Drain.Zone)+"/evacuation", nil, command.Zone.Drain.Submission)
	case command.Zone != nil && command.Zone.Restore != nil:
		return s.submit(http.MethodDelete, "/v1/zones/"+url.PathEscape(command.Zone.Restore.Zone)+"/evacuation", nil, command.Zone.Restore.Submission)
	case command.Router != nil && command.Router.Deregister != nil:
		return s.submit(http.MethodDelete, "/v1/routers/"+url.PathEscape(command.Router.Deregister.Address), nil, "")
	case command.Core != nil && command.Core.Inspect != nil:
		return s.inspect(command.Core.Inspect.Data)
	case command.Core != nil && command.Core.Rebuild != nil:
		r := command.Core.Rebuild
		return s.rebuild(r.Data, r.Peer, r.Zone, r.Confirm)
	case command.Submission != nil:
		return s.submit(http.MethodGet, "/v1/submissions/"+url.PathEscape(command.Submission.ID), nil, command.Submission.ID)
	case command.Fleet != nil:
		return s.show(http.MethodGet, "/v1/fleet", nil, s.printFleet)
	case command.Status != nil:
		return s.status(command.Status.Wait, time.Sleep)
	case command.Explain != nil:
		return s.printJournals("/v1/explain/" + url.PathEscape(command.Explain.Request))
	case command.Journal != nil && command.Journal.Since != "":
		return s.timeline(command.Journal.Since)
	case command.Journal != nil:
		query := url.Values{"part": {command.Journal.Part}, "subject": {command.Journal.Subject}, "last": {fmt.Sprint(command.Journal.Last)}}
		return s.printJournals("/v1/journal?" + query.Encode())
	}
	parser.WriteHelp(os.Stderr)
	return exitFailure, nil
}
