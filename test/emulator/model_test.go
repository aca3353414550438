package emulator

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
)

// testBench is one Model with clients that connect to it directly, without a router.
type testBench struct {
	t       *testing.T
	model   *Model
	dial    func() net.Conn
	lock    sync.Mutex
	events  []checker.RoutedEvent
	started time.Time
}

func defaultSettings(b *testBench) ModelSettings {
	return ModelSettings{
		ID: "e1", Service: "text", Wire: router.DefaultWire(), HealthPath: "/health", InstanceHeader: "Engine-Id",
		Slots: 2, Queue: 2, PrefillChunk: 100, Step: 10 * kernel.Millisecond, PrefillTokensPerMs: 10, CacheTokens: 1000, TokensPerEvent: 2, IdleTimeout: 5 * kernel.Second,
		MaxConns: 8, ReportsLoad: true,
		OnEvent: func(event checker.RoutedEvent) {
			b.lock.Lock()
			defer b.lock.Unlock()
			event.At = kernel.MicrosOf(time.Since(b.started))
			b.events = append(b.events, event)
		},
	}
}

func runTestBench(t *testing.T, configure func(*ModelSettings), run func(*qt.C, *testBench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testBench{t: t, started: time.Now()}
		settings := defaultSettings(b)
		if configure != nil {
			configure(&settings)
		}
		b.model = NewModel(settings)
		network := NewNetwork(0)
		listener, err := network.Listen("e1")
		qt.Assert(t, err, qt.IsNil)
		go b.model.Serve(listener)
		b.dial = func() net.Conn {
			conn, err := network.Dial(context.Background(), "tcp", "e1")
			qt.Assert(t, err, qt.IsNil)
			return conn
		}
		defer b.model.Close()
		defer listener.Close()
		run(qt.New(t), b)
	})
}

func requestText(id, tokens, segments string, more ...string) string {
	wire := router.DefaultWire()
	lines := fmt.Sprintf("POST /x?q=%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nAccept: text/event-stream\r\n", id, wire.RequestID, id, wire.Tokens, tokens, wire.Prefix, segments)
	for _, line := range more {
		lines += line + "\r\n"
	}
	return lines + "Content-Length: 0\r\n\r\n"
}

// timedResponse is a response with the times at which its header and its end arrived.
type timedResponse struct {
	*http.Response
	body       string
	head, done time.Duration
	err        error
}

func (b *testBench) send(conn net.Conn, text string) timedResponse {
	if _, err := io.WriteString(conn, text); err != nil {
		return timedResponse{err: err}
	}
	return b.receive(bufio.NewReader(conn))
}

func (b *testBench) receive(reader *bufio.Reader) timedResponse {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return timedResponse{err: err}
	}
	got := timedResponse{Response: response, head: time.Since(b.started)}
	content, err := io.ReadAll(response.Body)
	got.body, got.err, got.done = string(content), err, time.Since(b.started)
	return got
}

// sendAll sends requests concurrently, each on its own connection, and returns their responses in the same order.
func (b *testBench) sendAll(texts ...string) []timedResponse {
	all := make([]timedResponse, len(texts))
	var group sync.WaitGroup
	for i, text := range texts {
		conn := b.dial()
		io.WriteString(conn, text)
		// Requests enter the queue in the order of texts.
		synctest.Wait()
		group.Go(func() { all[i] = b.receive(bufio.NewReader(conn)); conn.Close() })
	}
	group.Wait()
	return all
}

func eventStream(run string, ids ...int) string {
	var text strings.Builder
	for i, id := range ids {
		text.Write(ModelEvent(run, id, i == len(ids)-1))
	}
	return text.String()
}

func TestModelPrefillsThenStreamsEvents(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		conn := b.dial()
		defer conn.Close()
		got := b.send(conn, requestText("a", "250,5", "p:200,a:50"))
		c.Assert(got.StatusCode, qt.Equals, 200)
		c.Assert(got.body, qt.Equals, eventStream("e1.1", 1, 2, 3))
		c.Assert(got.Header.Get(router.DefaultWire().EngineProof), qt.Equals, "e1.1")
		c.Assert(got.Header.Get("Keep-Alive"), qt.Equals, "timeout=5")
		// The prompt is prefilled in chunks of 100, 100 and 50 tokens, at 10 tokens per millisecond plus
		// 10 ms per step. The last chunk yields the first token, and the second token the first event.
		c.Assert(got.head, qt.Equals, 65*time.Millisecond)
		c.Assert(got.done, qt.Equals, 95*time.Millisecond)
		// The connection is reused, and only the segment that is not cached is prefilled.
		got = b.send(conn, requestText("b", "250,2", "p:200,b:50"))
		c.Assert(got.done-95*time.Millisecond, qt.Equals, 25*time.Millisecond)
		c.Assert(b.model.Stats().PrefillTokens, qt.Equals, 300)
		c.Assert(b.model.Stats().CachedTokens, qt.Equals, 200)
	})
}

func TestModelCachedSegmentCountsOnlyAfterAllBeforeIt(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		b.sendAll(requestText("a", "300,1", "p:100,q:100,a:100"))
		c.Assert(b.model.CachedTokens(), qt.Equals, 300)
		// q is cached after p, so it cannot be reused after r.
		b.sendAll(requestText("b", "300,1", "r:100,q:100,b:100"))
		c.Assert(b.model.Stats().PrefillTokens, qt.Equals, 600)
		b.sendAll(requestText("c", "300,1", "p:100,q:100,c:100"))
		c.Assert(b.model.Stats().PrefillTokens, qt.Equals, 700)
		// The least recently used segments are evicted, because the cache holds 1000 tokens.
		b.sendAll(requestText("d", "500,1", "d:500"))
		c.Assert(b.model.CachedTokens() <= 1000, qt.IsTrue)
		b.sendAll(requestText("e", "200,1", "p:100,q:100"))
		c.Assert(b.model.Stats().PrefillTokens, qt.Equals, 1200)
	})
}

func TestModelSlotsQueueAndPriority(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		prio := router.DefaultWire().Priority
		// Two requests run, two wait, and the fifth is rejected.
		all := b.sendAll(requestText("a", "10,20", "a:10"), requestText("b", "10,20", "b:10"), requestText("c", "10,4", "c:10"),
			requestText("d", "10,4", "d:10"), requestText("e", "10,4", "e:10"))
		c.Assert(all[4].StatusCode, qt.Equals, 503)
		c.Assert(all[4].Header.Get(router.DefaultWire().NotRun), qt.Equals, "1")
		// Requests are admitted between two steps. During the first step only one runs and three wait.
		c.Assert(all[4].Header.Get(router.DefaultWire().Load), qt.Equals, "1,3,2")
		c.Assert(all[2].head > all[0].done, qt.IsTrue)
		// The urgent request preempts the newest one of the lowest priority, whose response is still complete.
		var urgent timedResponse
		var later sync.WaitGroup
		later.Go(func() {
			time.Sleep(50 * time.Millisecond) // both requests run by then
			urgent = b.sendAll(requestText("h", "10,4", "h:10", prio+": 0"))[0]
		})
		all = b.sendAll(requestText("f", "10,20", "f:10"), requestText("g", "10,20", "g:10"))
		later.Wait()
		c.Assert(urgent.done < all[0].done, qt.IsTrue)
		c.Assert(all[1].done > all[0].done, qt.IsTrue)
		c.Assert(strings.Count(all[1].body, "id: "), qt.Equals, 10)
		c.Assert(b.model.Stats().Preempted, qt.Equals, 1)
	})
}

func TestModelOutOfMemoryPreemptsNewest(t *testing.T) {
	runTestBench(t, func(s *ModelSettings) { s.CacheTokens = 100 }, func(c *qt.C, b *testBench) {
		all := b.sendAll(requestText("a", "40,40", "a:40"), requestText("b", "40,40", "b:40"), requestText("c", "90,20", "c:90"))
		c.Assert(all[2].StatusCode, qt.Equals, 503)
		for _, got := range all[:2] {
			c.Assert(strings.Count(got.body, "id: "), qt.Equals, 20)
		}
		c.Assert(b.model.Stats().Preempted > 0, qt.IsTrue)
		c.Assert(all[1].done > all[0].done, qt.IsTrue)
	})
}

func TestModelRejections(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		wire := router.DefaultWire()
		for _, test := range []struct {
			text   string
			status int
			notRun string
		}{
			{requestText("a", "10,2", "a:10", wire.WantInstance+": e7"), 421, ""},
			{requestText("", "10,2", "a:10"), 400, "1"},
			{requestText("a", "2000,2", "a:2000"), 503, "1"},
		} {
			got := b.sendAll(test.text)[0]
			c.Assert(got.StatusCode, qt.Equals, test.status)
			c.Assert(got.Header.Get(wire.NotRun), qt.Equals, test.notRun)
		}
		// h is rejected because its deadline passes in the queue. f and g generate their 100 tokens each, and i its 2.
		all := b.sendAll(requestText("f", "10,100", "f:10"), requestText("g", "10,100", "g:10"), requestText("h", "10,2", "h:10", wire.Deadline+": 50"),
			requestText("i", "10,2", "i:10"))
		c.Assert(all[2].StatusCode, qt.Equals, 503)
		c.Assert(all[2].Header.Get(wire.NotRun), qt.Equals, "1")
		c.Assert(b.model.Stats().OutputTokens, qt.Equals, 202)
	})
}

func TestModelDropsARequestWhoseConnectionCloses(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		conn := b.dial()
		io.WriteString(conn, requestText("a", "10,1000", "a:10"))
		time.Sleep(100 * time.Millisecond)
		conn.Close()
		synctest.Wait()
		time.Sleep(20 * time.Millisecond)
		generated := b.model.Stats().OutputTokens
		time.Sleep(time.Second)
		c.Assert(b.model.Stats().OutputTokens, qt.Equals, generated)
	})
}

func TestModelResumesAfterAnEvent(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		got := b.sendAll(requestText("a", "10,10", "a:10", "Last-Event-Id: 3"))[0]
		c.Assert(got.body, qt.Equals, eventStream("e1.1", 4, 5))
		got = b.sendAll(requestText("b", "10,10", "b:10", "Last-Event-Id: 5"))[0]
		c.Assert(got.body, qt.Equals, "")
	})
}

func TestModelReportsDraining(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		health := "GET /health HTTP/1.1\r\nHost: h\r\n\r\n"
		conn := b.dial()
		defer conn.Close()
		got := b.send(conn, health)
		c.Assert(got.StatusCode, qt.Equals, 200)
		c.Assert(got.Header.Get("Engine-Id"), qt.Equals, "e1")
		b.model.Drain()
		got = b.send(conn, health)
		c.Assert(got.StatusCode, qt.Equals, 503)
		c.Assert(got.Close, qt.IsTrue)
		_, err := conn.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(b.sendAll(requestText("a", "10,2", "a:10"))[0].Close, qt.IsTrue)
	})
}

func TestModelConnectionsEnd(t *testing.T) {
	runTestBench(t, func(s *ModelSettings) { s.MaxConns = 1 }, func(c *qt.C, b *testBench) {
		conn := b.dial()
		synctest.Wait()
		// A connection above MaxConns is reset.
		second := b.dial()
		_, err := second.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorMatches, "connection reset by peer")
		// An idle connection is closed after IdleTimeout.
		begun := time.Now()
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(time.Since(begun), qt.Equals, 5*time.Second)
		// With IdleDropTimeout it is dropped earlier and without notice; the next request is answered with a reset.
		b.model.SetFaults(ModelFaults{IdleDropTimeout: kernel.Second})
		conn = b.dial()
		time.Sleep(2 * time.Second)
		got := b.send(conn, requestText("a", "10,2", "a:10"))
		c.Assert(got.err, qt.ErrorMatches, "connection reset by peer")
	})
}

func TestModelFaults(t *testing.T) {
	for _, test := range []struct {
		name      string
		faults    ModelFaults
		check     func(c *qt.C, got timedResponse)
		isAborted bool
	}{
		{"grey", ModelFaults{ErrorShare: 1}, func(c *qt.C, got timedResponse) {
			c.Assert(got.StatusCode, qt.Equals, 500)
			c.Assert(got.body, qt.Equals, string(ModelErrorBody("e1.1")))
		}, false},
		{"lost", ModelFaults{LostAnswerShare: 1}, func(c *qt.C, got timedResponse) { c.Assert(got.err, qt.Equals, io.ErrUnexpectedEOF) }, true},
		{"cut", ModelFaults{TruncatedShare: 1}, func(c *qt.C, got timedResponse) {
			c.Assert(got.err, qt.Equals, io.ErrUnexpectedEOF)
			c.Assert(strings.Count(got.body, "\n\n"), qt.Equals, 2)
		}, true},
		{"junk", ModelFaults{MalformedShare: 1}, func(c *qt.C, got timedResponse) { c.Assert(got.err, qt.ErrorMatches, "malformed HTTP.*") }, true},
		{"full", ModelFaults{OverloadShare: 1}, func(c *qt.C, got timedResponse) { c.Assert(got.StatusCode, qt.Equals, 503) }, false},
		{"slow", ModelFaults{SlowFactor: 10}, func(c *qt.C, got timedResponse) { c.Assert(got.done > 900*time.Millisecond, qt.IsTrue) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runTestBench(t, nil, func(c *qt.C, b *testBench) {
				b.model.SetFaults(test.faults)
				test.check(c, b.sendAll(requestText("a", "10,9", "a:10"))[0])
				aborted := 0
				for _, event := range b.events {
					if event.EventKind == checker.Aborted {
						aborted++
					}
				}
				c.Assert(aborted > 0, qt.Equals, test.isAborted)
			})
		})
	}
}

func TestModelDuplicateResponses(t *testing.T) {
	for _, faults := range []ModelFaults{{DuplicateShare: 1}, {LateDuplicateShare: 1}} {
		runTestBench(t, nil, func(c *qt.C, b *testBench) {
			b.model.SetFaults(faults)
			conn := b.dial()
			defer conn.Close()
			reader := bufio.NewReader(conn)
			io.WriteString(conn, requestText("a", "10,2", "a:10"))
			c.Assert(b.receive(reader).body, qt.Equals, eventStream("e1.1", 1))
			got := b.receive(reader)
			c.Assert(got.Header.Get(router.DefaultWire().RequestID), qt.Equals, "a")
			c.Assert(got.body, qt.Equals, "a second answer to a")
		})
	}
}

func TestUnresponsiveModelDoesNothingUntilItResumes(t *testing.T) {
	runTestBench(t, nil, func(c *qt.C, b *testBench) {
		b.model.SetFaults(ModelFaults{IsUnresponsive: true})
		conn := b.dial()
		defer conn.Close()
		reader := bufio.NewReader(conn)
		io.WriteString(conn, requestText("a", "10,2", "a:10"))
		abandoned := b.dial()
		io.WriteString(abandoned, requestText("b", "10,2", "b:10"))
		time.Sleep(10 * time.Second)
		abandoned.Close()
		synctest.Wait()
		c.Assert(b.events, qt.HasLen, 0)
		b.model.SetFaults(ModelFaults{})
		c.Assert(b.receive(reader).body, qt.Equals, eventStream("e1.1", 1))
		// A request whose client disconnected in the meantime does not run.
		synctest.Wait()
		for _, event := range b.events {
			c.Assert(event.ID, qt.Equals, "a")
		}
	})
}

// Local fleet runs use the engine over real sockets instead of a virtual Network.
func TestModelOverRealSockets(t *testing.T) {
	c := qt.New(t)
	b := &testBench{t: t, started: time.Now()}
	settings := defaultSettings(b)
	settings.Step = kernel.Millisecond
	b.model = NewModel(settings)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var serving sync.WaitGroup
	serving.Go(func() { b.model.Serve(listener) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	for i, id := range []string{"a", "b"} {
		got := b.send(conn, requestText(id, "250,5", "p:200,"+id+":50"))
		c.Assert(got.err, qt.IsNil)
		c.Assert(got.body, qt.Equals, eventStream(fmt.Sprint("e1.", i+1), 1, 2, 3))
	}
	listener.Close()
	b.model.Close()
	serving.Wait()
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.IsNil))
}

func TestModelEventsCanBeChecked(t *testing.T) {
	c := qt.New(t)
	event := ModelEvent("e1.4", 7, true)
	chunk, isOwn := ReadModelEvent(event)
	c.Assert(isOwn, qt.IsTrue)
	c.Assert(chunk, qt.Equals, checker.Chunk{Run: "e1.4", ID: 7, Last: true})
	for _, wrong := range [][]byte{bytes.Replace(event, []byte("e1.4"), []byte("e1.5"), 1), bytes.Replace(event, []byte("id: 7"), []byte("id: 8"), 1), event[:len(event)-3], nil} {
		_, isOwn := ReadModelEvent(wrong)
		c.Assert(isOwn, qt.IsFalse)
	}
}
