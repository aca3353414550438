package claque

import (
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/auditorium"
	"dunlinloom/critic"
	"dunlinloom/understudy"
)

// What the callers' side calls served must be the bytes of one run of one engine, whole.
func TestOnlyTheWholeBodyOfOneRunIsServed(t *testing.T) {
	const run, other = "e1-1-7", "e2-1-7"
	whole, second := understudy.Script(run, 9, true), understudy.Script(other, 9, true)
	plain, fail := understudy.Script(run, 9, false), understudy.FailScript(run)
	shared := 0
	for shared < len(whole) && whole[shared] == second[shared] {
		shared++
	}
	qt.Assert(t, shared > 0 && shared < len(whole), qt.IsTrue, qt.Commentf("the two texts have to share a beginning, and no more"))
	torn := errors.New("the channel broke")
	join := func(parts ...[]byte) (all []byte) {
		for _, part := range parts {
			all = append(all, part...)
		}
		return all
	}
	for name, example := range map[string]struct {
		status int
		run    string
		got    []byte
		err    error
		isOne  bool // not streamed
		want   critic.Outcome
	}{
		"whole":                               {200, run, whole, nil, false, critic.Served},
		"whole and not streamed":              {200, run, plain, nil, true, critic.Served},
		"the engine's own error":              {500, run, fail, nil, false, critic.EngineSays},
		"torn, and seen to be":                {200, run, whole[:len(whole)/2], torn, false, critic.Torn},
		"torn within the shared beginning":    {200, run, whole[:shared], torn, false, critic.Torn},
		"ended without its end":               {200, run, whole[:len(whole)-1], nil, false, critic.FalseEnd},
		"nothing, as if that were all":        {200, run, nil, nil, false, critic.FalseEnd},
		"half an error, as if that were all":  {500, run, fail[:len(fail)-2], nil, false, critic.FalseEnd},
		"two runs after their shared part":    {200, run, join(whole[:shared], second[shared:]), nil, false, critic.Wrong},
		"two runs in the middle":              {200, run, join(whole[:len(whole)/2], second[len(whole)/2:]), nil, false, critic.Wrong},
		"two runs, and torn":                  {200, run, join(whole[:len(whole)/2], second[len(whole)/2:len(whole)-3]), torn, false, critic.Wrong},
		"a piece twice":                       {200, run, join(whole[:40], whole[20:]), nil, false, critic.Wrong},
		"a piece missing":                     {200, run, join(whole[:40], whole[60:]), nil, false, critic.Wrong},
		"more than all":                       {200, run, join(whole, []byte("\n")), nil, false, critic.Wrong},
		"another run's under this one's name": {200, run, second, nil, false, critic.Wrong},
		"an error where the body should be":   {200, run, fail, nil, false, critic.Wrong},
	} {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: example.status, Header: http.Header{understudy.HeaderRun: {example.run}}}
			outcome, why := Compare(response, example.got, example.err, Ask{Out: 9, Plain: example.isOne})
			qt.Assert(t, outcome, qt.Equals, example.want, qt.Commentf("%s", why))
		})
	}
}

// A decline has to say what it promises; one that does not is no answer of ours.
func TestADeclineSaysWhetherItRan(t *testing.T) {
	for said, want := range map[string]critic.Outcome{string(auditorium.NotRun): critic.NotRun, string(auditorium.MayHaveRun): critic.MayHaveRun, "": critic.Wrong, "perhaps": critic.Wrong} {
		response := &http.Response{StatusCode: 503, Header: http.Header{auditorium.HeaderRun: {said}}}
		outcome, _ := Compare(response, []byte(`{"error":{"type":"late"}}`), nil, Ask{Out: 9})
		qt.Assert(t, outcome, qt.Equals, want)
	}
}
