package modelcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// The text form of traces, and the description of messages in the log of a replay.

// Deviation is a choice taken at a step of a run. All steps without a deviation are default steps.
type Deviation struct {
	Step   int
	Choice Choice
}

func (d Deviation) String() string {
	return fmt.Sprintf("%d:%s/%d/%d", d.Step, d.Choice.Action, d.Choice.A, d.Choice.B)
}

// Trace determines a run by its deviations, in order of their steps.
type Trace []Deviation

func (t Trace) String() string {
	parts := []string{}
	for _, deviation := range t {
		parts = append(parts, deviation.String())
	}
	return strings.Join(parts, ",")
}

// TraceError reports the malformed part of a trace's text.
type TraceError struct{ Part string }

func (e TraceError) Error() string {
	return fmt.Sprintf("%q is not a deviation of the form STEP:KIND/A/B", e.Part)
}

// ParseTrace parses the form that Trace.String returns. Its error is a TraceError.
func ParseTrace(text string) (Trace, error) {
	trace := Trace{}
	if text == "" {
		return trace, nil
	}
	for _, part := range strings.Split(text, ",") {
		deviation, err := parseDeviation(part)
		if err != nil {
			return nil, fmt.Errorf("parse trace: %w", err)
		}
		trace = append(trace, deviation)
	}
	return trace, nil
}

func parseDeviation(part string) (Deviation, error) {
	step, rest, _ := strings.Cut(part, ":")
	fields := strings.Split(rest, "/")
	if len(fields) != 3 {
		return Deviation{}, TraceError{part}
	}
	kind := slices.Index(actionNames[:], fields[0])
	numbers := []int{}
	for _, field := range []string{step, fields[1], fields[2]} {
		number, err := strconv.Atoi(field)
		if err != nil {
			return Deviation{}, TraceError{part}
		}
		numbers = append(numbers, number)
	}
	if kind < 0 {
		return Deviation{}, TraceError{part}
	}
	return Deviation{numbers[0], Choice{Action(kind), numbers[1], numbers[2]}}, nil
}

// describe returns the kind and the main fields of a message for the log of a replay.
func describe(m wire.Message) string {
	positionOf := func(document *cluster.Document) string {
		if document == nil {
			return "none"
		}
		return fmt.Sprintf("%d/%d", document.Term, document.Revision)
	}
	switch {
	case m.VoteRequest != nil:
		return fmt.Sprintf("VoteAsk term %d pre %v named %v newest %v", m.VoteRequest.Term, m.VoteRequest.IsPreVote, m.VoteRequest.IsTransfer, m.VoteRequest.LastPosition)
	case m.VoteResponse != nil:
		return fmt.Sprintf("Vote term %d pre %v granted %v", m.VoteResponse.Term, m.VoteResponse.IsPreVote, m.VoteResponse.IsGranted)
	case m.Heartbeat != nil:
		return fmt.Sprintf("Heartbeat term %d round %d committed %v document %s", m.Heartbeat.Term, m.Heartbeat.Round, m.Heartbeat.Committed, positionOf(m.Heartbeat.Document))
	case m.HeartbeatResponse != nil:
		return fmt.Sprintf("HeartbeatReply term %d round %d synced %v", m.HeartbeatResponse.Term, m.HeartbeatResponse.Round, m.HeartbeatResponse.Synced)
	case m.Submit != nil:
		return fmt.Sprintf("Submit %s on version %d", m.Submit.ID, *m.Submit.BaseVersion)
	}
	return m.Kind()
}
