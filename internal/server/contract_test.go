package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/contracts"
)

// crashingFolder is a folder on a real disk that fails every write after the given number of steps, as after a power loss.
// A negative number means no failure.
type crashingFolder struct {
	kernel.Folder
	steps int
}

type powerLossError struct{}

func (powerLossError) Error() string { return "simulated power loss" }

func (f *crashingFolder) step() error {
	if f.steps == 0 {
		return kernel.DiskError{Op: "reach", Cause: powerLossError{}}
	}
	f.steps--
	return nil
}

func (f *crashingFolder) Put(name string, content []byte) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.Folder.Put(name, content)
}

func (f *crashingFolder) Remove(name string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.Folder.Remove(name)
}

func TestRealDiskMeetsStorageContracts(t *testing.T) {
	open := func(t *testing.T) kernel.Folder {
		t.Helper()
		folder, err := kernel.OpenFolder(t.TempDir())
		qt.Assert(t, err, qt.IsNil)
		return &crashingFolder{folder, -1}
	}
	contracts.Folder(t, open)
	contracts.Store(t, open, func(folder kernel.Folder, steps int) {
		crashing, isCrashing := folder.(*crashingFolder)
		qt.Assert(t, isCrashing, qt.IsTrue)
		crashing.steps = steps
	})
}

func TestConnectMeetsTransportContract(t *testing.T) {
	contracts.Transport(t, func(t *testing.T) contracts.Link {
		t.Helper()
		c := qt.New(t)
		arrived := make(chan wire.Envelope, 64)
		server := httptest.NewServer(NewPeerHandler(func(envelope wire.Envelope) { arrived <- envelope }, nil, nil, nil))
		c.Cleanup(server.Close)
		ctx, end := context.WithCancel(context.Background())
		c.Cleanup(end)
		gone := httptest.NewServer(http.NotFoundHandler())
		gone.Close()
		env := kernel.Env{Context: ctx, Clock: kernel.BootClock{}, Log: klog.Background()}
		connections := NewConnections(env, (&net.Dialer{}).DialContext)
		return contracts.Link{
			From: "10.0.0.1:1", To: strings.TrimPrefix(server.URL, "http://"), UnreachableAddress: strings.TrimPrefix(gone.URL, "http://"),
			// A batch may time out on a busy machine. The control loop resends what matters, and so does this
			// function until a message has been sent.
			Send: func(envelope wire.Envelope) {
				if envelope.To == strings.TrimPrefix(gone.URL, "http://") {
					connections.Send(envelope)
					return
				}
				for sent := connections.Sent.Load(); connections.Sent.Load() == sent; {
					dropped := connections.Dropped.Load()
					connections.Send(envelope)
					for connections.Sent.Load() == sent && connections.Dropped.Load() == dropped {
						runtime.Gosched()
					}
				}
			},
			Arrived: func(count int) []wire.Envelope {
				got := []wire.Envelope{}
				for len(got) < count {
					got = append(got, <-arrived)
				}
				return got
			},
		}
	})
}

// The responses to peers are empty. A compressor for each of them cost the leader of 32 nodes hundreds of megabytes.
func TestSmallResponseAllocatesNoCompressor(t *testing.T) {
	c := qt.New(t)
	handler := NewPeerHandler(func(wire.Envelope) {}, nil, nil, nil)
	content, err := json.Marshal(envelopeBatch{Envelopes: []json.RawMessage{json.RawMessage(`{"fleet":"f","from":"10.0.0.1:1","to":"10.0.0.2:1","message":{}}`)}})
	c.Assert(err, qt.IsNil)
	call := func() *httptest.ResponseRecorder {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, procedureDeliver, bytes.NewReader(content))
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Accept-Encoding", "gzip")
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		return answer
	}
	answer := call()
	c.Assert(answer.Code, qt.Equals, http.StatusOK)
	c.Assert(answer.Header().Get("Content-Encoding"), qt.Equals, "")
	// The garbage collector empties the sync.Pools, which would otherwise hide the cost of a single call.
	const calls = 64
	var before, after runtime.MemStats
	var total uint64
	for range calls {
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&before)
		call()
		runtime.ReadMemStats(&after)
		total += after.TotalAlloc - before.TotalAlloc
	}
	t.Logf("%d bytes a call", total/calls)
	c.Assert(total/calls < 64<<10, qt.IsTrue, qt.Commentf("%d bytes a call", total/calls))
}
