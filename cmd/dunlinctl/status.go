package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dunlinloom/internal/server"
)

type statusArguments struct {
	Wait time.Duration `arg:"--wait" help:"maximum time to wait for the core to be whole, such as 30s"`
}

// statusInterval is the interval at which status queries the core while it waits.
const statusInterval = 500 * time.Millisecond

// status prints whether the core is healthy, which the output calls whole. If it is not, status queries it again until
// it is or the duration wait is over. It returns exitAccepted if the core is healthy, exitRejected if not, and
// exitUnknown if the nodes know no leader.
func (s *session) status(wait time.Duration, pause func(time.Duration)) (int, error) {
	for remaining := wait; ; remaining -= statusInterval {
		exit, view, got, err := s.queryCore()
		isLast := exit == exitAccepted || remaining <= 0
		if isLast && view != nil && s.arguments.JSON {
			s.out.Write(got)
			return exit, nil
		}
		if isLast {
			if view != nil {
				printCore(s.out, view)
			}
			return exit, err
		}
		pause(min(remaining, statusInterval))
	}
}

// noLeaderError reports that a node responded, but knows no leader of the core.
type noLeaderError struct{ status int }

func (e noLeaderError) Error() string {
	return fmt.Sprintf("query the core: the node knows no leader (status %d)", e.status)
}

// queryCore queries the nodes in turn until one returns the leader's view of the core.
func (s *session) queryCore() (int, *server.CoreView, []byte, error) {
	var last error
	exit := exitFailure
	for _, node := range s.arguments.Nodes {
		status, got, err := s.doAt(node, http.MethodGet, "/v1/core", nil, "")
		if err != nil {
			last = err
			continue
		}
		if status != http.StatusOK {
			exit, last = exitUnknown, noLeaderError{status}
			continue
		}
		var view server.CoreView
		if err := json.Unmarshal(got, &view); err != nil || view.Health == nil {
			return exitFailure, nil, got, malformedResponseError{"the core's health", err}
		}
		if view.IsHealthy {
			return exitAccepted, &view, got, nil
		}
		return exitRejected, &view, got, nil
	}
	if exit == exitFailure {
		last = unreachableError{s.arguments.Nodes, last}
	}
	return exit, nil, nil, last
}

func printCore(out io.Writer, view *server.CoreView) {
	fmt.Fprintf(out, "core %s, for %v; led by %s in term %d\n", view.Health, view.AgeUS.Duration().Round(100*time.Millisecond), view.Leader, view.Term)
	fmt.Fprintf(out, "%-22s %-8s %s\n", "VOTER", "ZONE", "STATE")
	for _, voter := range view.Voters {
		state := []string{}
		for _, condition := range []struct {
			name  string
			isSet bool
		}{{"silent", !voter.IsAlive}, {"behind", !voter.IsCaughtUp}, {"history incomplete", !voter.IsHistoryComplete}, {"leaving", voter.IsLeaving}, {"disk", voter.IsDiskUnhealthy}} {
			if condition.isSet {
				state = append(state, condition.name)
			}
		}
		if len(state) == 0 {
			state = []string{"caught up"}
		}
		fmt.Fprintf(out, "%-22s %-8s %s\n", voter.Address, voter.Zone, strings.Join(state, ", "))
	}
}
