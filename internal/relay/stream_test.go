package relay

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// If the engine's stream is truncated, the caller's connection must be aborted, so that the caller does not
// take the part for a complete response.
func TestATruncatedStreamIsAborted(t *testing.T) {
	complete := stream(5)
	for _, example := range []struct {
		name   string
		handle func(c *qt.C, w http.ResponseWriter)
	}{
		{"the connection is aborted", func(c *qt.C, w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			write(c, w, complete[:60])
			flush(c, w)
			panic(http.ErrAbortHandler)
		}},
		{"a clean end without the [DONE] marker", func(c *qt.C, w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			write(c, w, strings.TrimSuffix(complete, "data: [DONE]\n\n"))
		}},
		{"the [DONE] marker without its line end", func(c *qt.C, w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			write(c, w, strings.TrimSuffix(complete, "\n\n"))
		}},
		{"an aborted connection after the [DONE] marker", func(c *qt.C, w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			write(c, w, complete)
			flush(c, w)
			panic(http.ErrAbortHandler)
		}},
		{"fewer bytes than announced", func(c *qt.C, w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			write(c, w, "short")
			flush(c, w)
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int64
			handle := func(w http.ResponseWriter, _ *http.Request) { runs.Add(1); example.handle(c, w) }
			router := newTestRouter(c, newEngine(c, handle), newEngine(c, handle))
			router.open(requestBody).truncatedText()
			router.assertIdle()
			c.Assert(runs.Load(), qt.Equals, int64(1))
			c.Assert(router.dispatcher.Counts().Broken["lost"], qt.Equals, uint64(1))
		})
	}
}

func TestResumeTakesOnlyTheSameRun(t *testing.T) {
	complete := stream(6)
	for _, example := range []struct {
		name               string
		run, start, offset string
		isResumed          bool
	}{
		{"the same run is resumed", "run-1", "7", "", true},
		{"another run is rejected", "run-2", "7", "", false},
		{"another start is rejected", "run-1", "8", "", false},
		{"another offset is rejected", "run-1", "7", "3", false},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var posts atomic.Int64
			engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if r.Method == http.MethodPost {
					posts.Add(1)
					w.Header().Set(HeaderRunID, "run-1")
					w.Header().Set(HeaderStart, "7")
					write(c, w, complete[:50])
					flush(c, w)
					panic(http.ErrAbortHandler)
				}
				c.Check(r.URL.Path, qt.Equals, "/v1/runs/run-1")
				offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
				c.Check(err, qt.IsNil)
				w.Header().Set(HeaderRunID, example.run)
				w.Header().Set(HeaderStart, example.start)
				w.Header().Set(HeaderOffset, cmp.Or(example.offset, strconv.Itoa(offset)))
				write(c, w, complete[offset:])
			})
			router := newTestRouter(c, engine)
			answer := router.open(requestBody)
			if example.isResumed {
				c.Assert(answer.text(), qt.Equals, complete)
			} else {
				c.Assert(answer.truncatedText(), qt.Equals, complete[:50])
			}
			router.assertIdle()
			c.Assert(posts.Load(), qt.Equals, int64(1))
		})
	}
}
