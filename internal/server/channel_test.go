package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// stuckConnection accepts stuckAfter bytes. Further writes call stuck and then block until release is closed.
type stuckConnection struct {
	net.Conn
	lock    sync.Mutex
	taken   int
	stuck   func()
	release <-chan struct{}
}

const stuckAfter = 64 << 10

// arrivalTimeout is far longer than a message takes to arrive, even on a busy machine.
const arrivalTimeout = 20 * time.Second

func (s *stuckConnection) Write(chunk []byte) (int, error) {
	s.lock.Lock()
	s.taken += len(chunk)
	isStuck := s.taken > stuckAfter
	s.lock.Unlock()
	if isStuck {
		s.stuck()
		<-s.release
	}
	return s.Conn.Write(chunk)
}

func largeDocument() *cluster.Document {
	config, random := make([]byte, 1<<20), rand.New(rand.NewPCG(1, 1))
	for i := range config {
		config[i] = byte(random.Uint32())
	}
	return &cluster.Document{ClusterID: "f", Revision: 2, Term: 1, Voters: []cluster.Member{{ID: "a"}}, Config: config, ConfigRevision: 2}
}

func TestAHeartbeatDoesNotWaitBehindALargeDocument(t *testing.T) {
	c := qt.New(t)
	arrived := make(chan wire.Envelope, 8)
	reject := func(_ string, err error) { t.Errorf("a message was rejected: %v", err) }
	server := httptest.NewServer(NewPeerHandler(func(envelope wire.Envelope) { arrived <- envelope }, reject, nil, nil))
	defer server.Close()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	release, stuck := make(chan struct{}), make(chan struct{})
	var once sync.Once
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		made, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &stuckConnection{Conn: made, stuck: func() { once.Do(func() { close(stuck) }) }, release: release}, err
	}
	connections := NewConnections(kernel.Env{Context: ctx, Clock: kernel.BootClock{}, Log: klog.Background()}, dial)
	envelope := wire.Envelope{Fleet: "f", From: "10.0.0.1:1", To: strings.TrimPrefix(server.URL, "http://")}
	envelope.Message = wire.Message{BootstrapCommit: &wire.BootstrapCommit{Document: largeDocument()}}
	connections.Send(envelope)
	<-stuck
	envelope.Message = wire.Message{Heartbeat: &wire.Heartbeat{Term: 1}}
	connections.Send(envelope)
	// The large message is stuck until its connection is released, so only a message that overtakes it can arrive.
	waitCtx, giveUp := context.WithTimeout(ctx, arrivalTimeout)
	defer giveUp()
	select {
	case first := <-arrived:
		c.Check(first.Message.Kind(), qt.Equals, "Heartbeat")
	case <-waitCtx.Done():
		c.Error("the heartbeat was queued behind the large document")
	}
	close(release)
	if t.Failed() {
		return
	}
	c.Assert((<-arrived).Message.Kind(), qt.Equals, "Found")
}

func TestMalformedMessageDoesNotAffectOthers(t *testing.T) {
	c := qt.New(t)
	arrived, rejections := []string{}, []error{}
	batch := envelopeBatch{}
	for _, text := range []string{`{"from":"a","to":"b","message":{"nudge":{}}}`, `{"from":"a","to":"b","message":{"nudge":7}}`, `{"from":"a","to":"b","format":9}`, `{"from":"c","to":"b","message":{"muster":{}}}`} {
		batch.Envelopes = append(batch.Envelopes, []byte(text))
	}
	batch.dispatch(func(envelope wire.Envelope) { arrived = append(arrived, envelope.Message.Kind()) }, func(_ string, err error) { rejections = append(rejections, err) })
	c.Assert(arrived, qt.DeepEquals, []string{"Nudge", "Muster"})
	c.Assert(rejections, qt.HasLen, 2)
	c.Assert(rejections[0], qt.ErrorAs, new(cluster.MalformedMessageError))
	c.Assert(rejections[1], qt.ErrorAs, new(wire.NewerMessageError))
}

// A broken stream must leak neither a goroutine nor a buffer, since a node that is partitioned for long breaks many. Here
// the streams break because the receiver stops reading. The synctest bubble ends only when all its goroutines have.
func TestBrokenStreamLeaksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, end := context.WithCancel(context.Background())
		var dials atomic.Int64
		dial := func(context.Context, string, string) (net.Conn, error) {
			dials.Add(1)
			near, far := net.Pipe()
			// The receiver reads the request head and the first batch, and nothing after them.
			go func() { _, _ = far.Read(make([]byte, 4<<10)) }()
			return near, nil
		}
		connections := NewConnections(kernel.Env{Context: ctx, Clock: kernel.BootClock{}, Log: klog.Logger{}}, dial)
		envelope := wire.Envelope{Fleet: "f", From: "10.0.0.1:1", To: "10.0.0.2:1", Message: wire.Message{ReadRequest: &wire.ReadRequest{Token: 1}}}
		for range 10 {
			connections.Send(envelope)
			time.Sleep(2 * sendTimeout.Duration())
		}
		c.Check(dials.Load() > 1, qt.IsTrue)
		c.Check(connections.Dropped.Load() > 0, qt.IsTrue)
		end()
	})
}
