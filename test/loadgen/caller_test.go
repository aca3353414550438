package loadgen

import (
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// A response counts as served only if its body is the complete output of one run of one engine.
func TestOnlyTheCompleteBodyOfOneRunIsServed(t *testing.T) {
	const run, other = "e1-1-7", "e2-1-7"
	complete, second := emulator.ResponseBody(run, 9, true), emulator.ResponseBody(other, 9, true)
	plain, fail := emulator.ResponseBody(run, 9, false), emulator.ErrorBody(run)
	shared := 0
	for shared < len(complete) && complete[shared] == second[shared] {
		shared++
	}
	qt.Assert(t, shared > 0 && shared < len(complete), qt.IsTrue, qt.Commentf("the two bodies must share a prefix and then differ"))
	broken := errors.New("the connection broke")
	join := func(parts ...[]byte) (all []byte) {
		for _, part := range parts {
			all = append(all, part...)
		}
		return all
	}
	for name, example := range map[string]struct {
		status  int
		run     string
		got     []byte
		err     error
		isPlain bool // not streamed
		want    checker.Outcome
	}{
		"complete":                     {200, run, complete, nil, false, checker.Served},
		"complete and not streamed":    {200, run, plain, nil, true, checker.Served},
		"the engine's own error":       {500, run, fail, nil, false, checker.EngineError},
		"truncated, with a read error": {200, run, complete[:len(complete)/2], broken, false, checker.Truncated},
		"truncated within the shared prefix, with a read error": {200, run, complete[:shared], broken, false, checker.Truncated},
		"last byte missing, without a read error":               {200, run, complete[:len(complete)-1], nil, false, checker.FalseEnd},
		"empty, without a read error":                           {200, run, nil, nil, false, checker.FalseEnd},
		"truncated error body, without a read error":            {500, run, fail[:len(fail)-2], nil, false, checker.FalseEnd},
		"two runs after their shared part":                      {200, run, join(complete[:shared], second[shared:]), nil, false, checker.Corrupted},
		"two runs in the middle":                                {200, run, join(complete[:len(complete)/2], second[len(complete)/2:]), nil, false, checker.Corrupted},
		"two runs, with a read error":                           {200, run, join(complete[:len(complete)/2], second[len(complete)/2:len(complete)-3]), broken, false, checker.Corrupted},
		"a piece twice":                                         {200, run, join(complete[:40], complete[20:]), nil, false, checker.Corrupted},
		"a piece missing":                                       {200, run, join(complete[:40], complete[60:]), nil, false, checker.Corrupted},
		"a byte too many":                                       {200, run, join(complete, []byte("\n")), nil, false, checker.Corrupted},
		"another run's under this one's name":                   {200, run, second, nil, false, checker.Corrupted},
		"an error where the body should be":                     {200, run, fail, nil, false, checker.Corrupted},
	} {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: example.status, Header: http.Header{emulator.HeaderRun: {example.run}}}
			outcome, why := Compare(response, example.got, example.err, Request{Out: 9, Plain: example.isPlain})
			qt.Assert(t, outcome, qt.Equals, example.want, qt.Commentf("%s", why))
		})
	}
}

// A rejection must state whether the request ran. One that does not is invalid, because every router sends that header.
func TestRejectionMustStateWhetherItRan(t *testing.T) {
	for header, want := range map[string]checker.Outcome{
		string(relay.NotRun): checker.NotRun, string(relay.MayHaveRun): checker.MayHaveRun, "": checker.Corrupted, "perhaps": checker.Corrupted,
	} {
		t.Run(header, func(t *testing.T) {
			response := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{relay.HeaderRun: {header}}}
			outcome, _ := Compare(response, []byte(`{"error":{"type":"late"}}`), nil, Request{Out: 9})
			qt.Assert(t, outcome, qt.Equals, want)
		})
	}
}
