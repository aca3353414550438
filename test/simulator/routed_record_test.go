package simulator

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
)

// recordedRun runs a short simulation with faults and returns its record after writing and reading it.
func recordedRun(t *testing.T) *RoutedRecord {
	t.Helper()
	c := qt.New(t)
	outcome := runInBubble(t, RoutedPlan{
		Seed: 24060, Deployment: DrawDeployment(24060), Span: 6 * sec, Faults: []string{"all-crash", "unreachable"}, IsRecorded: true,
	})
	c.Assert(outcome.Record.Decisions, qt.HasLen, DrawDeployment(24060).Routers)
	var file bytes.Buffer
	c.Assert(outcome.Record.Write(&file), qt.IsNil)
	read, err := ReadRoutedRecord(&file)
	c.Assert(err, qt.IsNil)
	c.Assert(read.Events, qt.HasLen, len(outcome.Record.Events))
	return read
}

// A seed alone does not reproduce a run, because Go schedules its goroutines. Replaying the record has to give the same
// violations and the same decisions, and has to detect a changed event or decision.
func TestARecordedRunReplays(t *testing.T) {
	c := qt.New(t)
	record := recordedRun(t)
	c.Assert(record.Replay(), qt.IsNil)

	ended := 0
	for record.Events[ended].EventKind != checker.AttemptEnded {
		ended++
	}
	lost := *record
	lost.Events = append(append([]checker.RoutedEvent{}, record.Events[:ended]...), record.Events[ended+1:]...)
	c.Assert(lost.Replay(), qt.ErrorAs, new(VerdictError))

	for _, decisions := range record.Decisions {
		for i := range decisions {
			decisions[i].IsAllowed = !decisions[i].IsAllowed
		}
	}
	c.Assert(record.Replay(), qt.ErrorAs, new(router.DivergedError))
}

func TestRecordsThatCannotBeUsedNameTheLine(t *testing.T) {
	for _, example := range []struct {
		name, content string
		line          int
	}{
		{"empty", "", 1},
		{"no head", `{"event":{"at_us":1,"what":"arrived"}}`, 1},
		{"two heads", `{"run":{"seed":1}}` + "\n" + `{"run":{"seed":1}}`, 2},
		{"no JSON", `{"run":{"seed":1}}` + "\n" + `{"event"`, 2},
		{"an unknown field", `{"run":{"seed":1}}` + "\n" + `{"other":1}`, 2},
		{"nothing", `{"run":{"seed":1}}` + "\n" + `{}`, 2},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ReadRoutedRecord(strings.NewReader(example.content))
			var wrong RecordError
			c.Assert(err, qt.ErrorAs, &wrong)
			c.Assert(wrong.Line, qt.Equals, example.line)
		})
	}
}
