package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// scriptedPeer is a fake peer node. The test chooses its response by the number of the call.
type scriptedPeer struct {
	address     string
	calls       atomic.Int64
	connections atomic.Int64
}

// openPeer starts a scriptedPeer that serves calls on keep-alive connections. An empty answer closes the connection
// without a response.
func openPeer(c *qt.C, answer func(call int64) string) *scriptedPeer {
	listener := listenLocal(c)
	c.Cleanup(func() { checkClose(c, listener) })
	p := &scriptedPeer{address: listener.Addr().String()}
	serve := func(conn net.Conn) {
		// The client may have closed the connection first. The tests check the responses, not the close.
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			body := answer(p.calls.Add(1))
			if body == "" {
				return
			}
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.connections.Add(1)
			go serve(conn)
		}
	}()
	return p
}

func testConnections(t *testing.T) *Connections {
	t.Helper()
	env := kernel.Env{Context: t.Context(), Clock: kernel.NewSteadyClock(), Log: klog.Background(), Journal: kernel.NewJournal(16)}
	return NewConnections(env, plainDialer())
}

// net/http must not resend a call that the peer has already read, even if a keep-alive connection closes before
// the response.
func TestACallBetweenNodesIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	config := []byte("{}")
	ref := cluster.ConfigRefOf(&cluster.Document{Config: config, ConfigRevision: 7})
	peer := openPeer(c, func(call int64) string {
		if call > 1 {
			return ""
		}
		return `{"spec":"e30=","spec_generation":7}`
	})
	connections := testConnections(t)
	reply, err := connections.FetchConfig(t.Context(), peer.address, FetchConfigRequest{Ref: ref})
	c.Assert(err, qt.IsNil)
	c.Assert(string(reply.Config), qt.Equals, "{}")
	_, err = connections.FetchConfig(t.Context(), peer.address, FetchConfigRequest{Ref: ref})
	c.Assert(err, qt.IsNotNil)
	c.Assert(peer.calls.Load(), qt.Equals, int64(2))
	c.Assert(peer.connections.Load(), qt.Equals, int64(1))
}

// FetchConfig rejects a response with another revision or digest than the requested one.
func TestFetchConfigAcceptsOnlyTheRequestedConfig(t *testing.T) {
	c := qt.New(t)
	ref := cluster.ConfigRefOf(&cluster.Document{Config: []byte("{}"), ConfigRevision: 7})
	for _, answer := range []string{`{"spec":"e30=","spec_generation":6}`, `{"spec":"W10=","spec_generation":7}`, `{}`} {
		peer := openPeer(c, func(int64) string { return answer })
		_, err := testConnections(t).FetchConfig(t.Context(), peer.address, FetchConfigRequest{Ref: ref})
		c.Assert(errors.As(err, new(ConfigMismatchError)), qt.IsTrue, qt.Commentf("%s: %v", answer, err))
	}
}

// Two different submissions that use the same ID by mistake must not receive each other's reply.
func TestTwoSubmissionsOfOneIDDoNotShareAReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, end := context.WithCancel(t.Context())
		defer end()
		env := kernel.Env{Context: ctx, Clock: kernel.NewSteadyClock(), Log: klog.Background(), Journal: kernel.NewJournal(16)}
		node := control.NewNode(control.NodeSettings{Identity: kernel.Identity{Address: "10.0.0.1:1"}, Timing: cluster.DefaultTiming(), Journal: env.Journal}, 0)
		r := NewRunner(env, node, nil, nil, nil, &fleetconfig.Compiler{}, "")
		newSubmit := func(zone string, kind cluster.Operation) *cluster.Submit {
			return &cluster.Submit{ID: "one", Operation: kind, Zone: zone}
		}
		replies := make(chan cluster.SubmitResponse, 4)
		submit := func(submission *cluster.Submit) {
			go func() {
				reply, err := r.Submit(ctx, submission)
				c.Check(err, qt.IsNil)
				replies <- reply
			}()
			synctest.Wait()
		}
		submit(newSubmit("a", cluster.DrainZone))
		submit(newSubmit("a", cluster.DrainZone))      // identical retry
		submit(newSubmit("", cluster.AbortSubmission)) // asks for the outcome
		c.Assert(replies, qt.HasLen, 0)
		submit(newSubmit("b", cluster.DrainZone))
		other := <-replies
		c.Assert(other.Outcome, qt.Equals, cluster.Unknown)
		c.Assert(strings.Contains(other.Reason, "id_busy"), qt.IsTrue)
		r.execute(control.Reply{SubmitResponse: cluster.SubmitResponse{ID: "one", Outcome: cluster.Accepted}})
		for range 3 {
			c.Assert((<-replies).Outcome, qt.Equals, cluster.Accepted)
		}
		// With no submission open here, the leader decides: it remembers which submission used the ID.
		submit(newSubmit("b", cluster.DrainZone))
		c.Assert(replies, qt.HasLen, 0)
		r.execute(control.Reply{SubmitResponse: cluster.SubmitResponse{ID: "one", Outcome: cluster.Rejected, Reason: "id_reused"}})
		c.Assert((<-replies).Reason, qt.Equals, "id_reused")
	})
}
