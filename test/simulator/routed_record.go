package simulator

// The record of a routed run: its events and every decision of its routers. The goroutines of a run are scheduled by
// Go on all processors, so a seed alone does not reproduce a run, but its record can be checked again.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
)

// RoutedRecord is the record of a run.
type RoutedRecord struct {
	Seed       uint64
	Bounds     checker.RoutedBounds
	Budget     router.RetryBudget
	Events     []checker.RoutedEvent
	Decisions  map[string][]router.Decision // by router, in order
	Violations []checker.Violation          // as found in the run
}

// recordLine is one line of a record file. One of its fields is set; a decision also has its router.
type recordLine struct {
	Head      *recordHead          `json:"run,omitempty"`
	Event     *checker.RoutedEvent `json:"event,omitempty"`
	Router    string               `json:"router,omitempty"`
	Decision  *router.Decision     `json:"decision,omitempty"`
	Violation *checker.Violation   `json:"breach,omitempty"`
}

// recordHead is the first line of a record file.
type recordHead struct {
	Seed   uint64               `json:"seed"`
	Bounds checker.RoutedBounds `json:"bounds"`
	Budget router.RetryBudget   `json:"budget"`
}

// Write writes a record as lines of JSON: the head, then each event, decision and violation.
func (r *RoutedRecord) Write(to io.Writer) error {
	buffered := bufio.NewWriter(to)
	lines := json.NewEncoder(buffered)
	err := lines.Encode(recordLine{Head: &recordHead{r.Seed, r.Bounds, r.Budget}})
	for i := range r.Events {
		err = errors.Join(err, lines.Encode(recordLine{Event: &r.Events[i]}))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Decisions)) {
		for i := range r.Decisions[name] {
			err = errors.Join(err, lines.Encode(recordLine{Router: name, Decision: &r.Decisions[name][i]}))
		}
	}
	for i := range r.Violations {
		err = errors.Join(err, lines.Encode(recordLine{Violation: &r.Violations[i]}))
	}
	return errors.Join(err, buffered.Flush())
}

// digest returns a hash of all events of a run. It does not depend on the order of events with the same timestamp.
func (r *RoutedRecord) digest() string {
	seen := make([]string, 0, len(r.Events))
	for _, event := range r.Events {
		seen = append(seen, fmt.Sprintf("%020d %+v", event.At, event))
	}
	slices.Sort(seen)
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(seen, "\n")))
}

// RecordError reports the line of a record that is invalid.
type RecordError struct {
	Line  int // from 1
	Cause error
}

func (err RecordError) Error() string {
	return fmt.Sprintf("line %d of the record: %v", err.Line, err.Cause)
}

// Unwrap returns the cause.
func (err RecordError) Unwrap() error { return err.Cause }

var (
	errNoHead    = errors.New("the run's header must be on the first line and on no other")
	errEmptyLine = errors.New("the line holds no header, event, decision or violation")
)

// ReadRoutedRecord reads a record that Write wrote. Its errors are of type RecordError.
func ReadRoutedRecord(from io.Reader) (*RoutedRecord, error) {
	record := &RoutedRecord{Decisions: map[string][]router.Decision{}}
	lines := json.NewDecoder(from)
	lines.DisallowUnknownFields()
	for number := 1; ; number++ {
		var line recordLine
		err := lines.Decode(&line)
		if errors.Is(err, io.EOF) && number > 1 {
			return record, nil
		}
		if err == nil && (line.Head != nil) != (number == 1) {
			err = errNoHead
		}
		if err == nil {
			err = record.addLine(line)
		}
		if err != nil {
			return nil, RecordError{number, err}
		}
	}
}

func (r *RoutedRecord) addLine(line recordLine) error {
	switch {
	case line.Head != nil:
		r.Seed, r.Bounds, r.Budget = line.Head.Seed, line.Head.Bounds, line.Head.Budget
	case line.Event != nil:
		r.Events = append(r.Events, *line.Event)
	case line.Decision != nil:
		r.Decisions[line.Router] = append(r.Decisions[line.Router], *line.Decision)
	case line.Violation != nil:
		r.Violations = append(r.Violations, *line.Violation)
	default:
		return errEmptyLine
	}
	return nil
}

// VerdictError reports that checking a record again found other violations than its run had.
type VerdictError struct{ Recorded, Replayed []checker.Violation }

func (err VerdictError) Error() string {
	return fmt.Sprintf("the run had the violations %v, but checking its record found %v", err.Recorded, err.Replayed)
}

// Replay checks the events again and repeats every decision. It returns a VerdictError joined with the errors of
// router.ReplayDecisions for each router.
func (r *RoutedRecord) Replay() error {
	violations := checker.CheckRouted(r.Events, r.Bounds).Violations
	var err error
	if fmt.Sprint(violations) != fmt.Sprint(r.Violations) {
		err = VerdictError{r.Violations, violations}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Decisions)) {
		if diverged := router.ReplayDecisions(r.Decisions[name], r.Budget); diverged != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", name, diverged))
		}
	}
	return err
}

// writeFile writes a record to the file at path.
func (r *RoutedRecord) writeFile(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write a record: %w", err)
	}
	if err := errors.Join(r.Write(file), file.Close()); err != nil {
		return fmt.Errorf("write the record %s: %w", path, err)
	}
	return nil
}
