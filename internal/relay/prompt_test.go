package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBadInputIsRejectedAsNotRun(t *testing.T) {
	for _, example := range []struct {
		body   string
		status int
		names  string // the field or the reason that the response has to name
	}{
		{``, 400, "body"},
		{`{`, 400, "body"},
		{`{} {}`, 400, "body"},
		{`[1]`, 400, "body"},
		{`{}`, 400, "prompt"},
		{`{"prompt":""}`, 400, "prompt"},
		{`{"prompt":[]}`, 400, "prompt"},
		{`{"prompt":7}`, 400, "prompt"},
		{`{"prompt":["a","b"]}`, 400, "prompt"},
		{`{"prompt":[1,-2]}`, 400, "prompt[1]"},
		{`{"prompt":[1,2.5]}`, 400, "prompt[1]"},
		{`{"prompt":[1,null]}`, 400, "prompt[1]"},
		{`{"prompt":"a","max_tokens":0}`, 400, "max_tokens"},
		{`{"prompt":"a","max_tokens":-4}`, 400, "max_tokens"},
		{`{"prompt":"a","max_tokens":1e12}`, 400, "max_tokens"},
		{`{"prompt":"a","max_tokens":"8"}`, 400, "max_tokens"},
		{`{"prompt":"a","stream":"yes"}`, 400, "stream"},
		{`{"prompt":"a","model":7}`, 400, "model"},
		{`{"prompt":"` + strings.Repeat("a", MaxBodyBytes) + `"}`, 413, "too_large"},
	} {
		t.Run(fmt.Sprintf("%.40s", example.body), func(t *testing.T) {
			c := qt.New(t)
			var seen atomic.Int64
			router := newTestRouter(c, newEngine(c, func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
			answer := router.open(example.body)
			c.Assert(answer.status, qt.Equals, example.status)
			c.Assert(answer.text(), qt.Contains, example.names)
			c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(NotRun))
			c.Assert(seen.Load(), qt.Equals, int64(0))
		})
	}
}
