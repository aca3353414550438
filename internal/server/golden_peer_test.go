package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// goldenFile returns the content of a golden file. With -update it first replaces the content with fresh.
func goldenFile(c *qt.C, name string, fresh []byte) []byte {
	path := filepath.Join("testdata/golden_peer", name)
	if *updateGolden {
		c.Assert(os.MkdirAll(filepath.Dir(path), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(path, fresh, 0o644), qt.IsNil)
	}
	content, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return content
}

// goldenReceiver stands for the receiver's address in the golden envelope, since the test's receiver has a random port.
const goldenReceiver = "10.0.0.2:1"

func goldenEnvelope(to string) wire.Envelope {
	return wire.Envelope{Fleet: "fleet <a>", From: "10.0.0.1:1", To: to, Message: wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: 7}}}
}

// frame is one message on a connect stream, with the request's path and content type.
type frame struct {
	path, contentType string
	head              [5]byte // flags, then the length of the content
	content           []byte
}

// firstFrame sends the golden envelope and returns the frame that a receiver gets over the network.
func firstFrame(c *qt.C) frame {
	frames := make(chan frame, 1)
	receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		got := frame{path: request.URL.Path, contentType: request.Header.Get("Content-Type")}
		if _, err := io.ReadFull(request.Body, got.head[:]); err != nil {
			c.Errorf("read the head of a frame: %v", err)
		}
		got.content = make([]byte, binary.BigEndian.Uint32(got.head[1:]))
		if _, err := io.ReadFull(request.Body, got.content); err != nil {
			c.Errorf("read a frame: %v", err)
		}
		frames <- got
	}))
	defer receiver.Close()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	connections := NewConnections(kernel.Env{Context: ctx, Clock: kernel.BootClock{}, Log: klog.Background()}, (&net.Dialer{}).DialContext)
	to := strings.TrimPrefix(receiver.URL, "http://")
	connections.Send(goldenEnvelope(to))
	got := <-frames
	got.content = bytes.ReplaceAll(got.content, []byte(to), []byte(goldenReceiver))
	return got
}

func TestBatchIsSentInGoldenForm(t *testing.T) {
	c := qt.New(t)
	got := firstFrame(c)
	c.Assert(got.path, qt.Equals, "/dunlinloom.Peer/Stream")
	c.Assert(got.contentType, qt.Equals, "application/connect+json")
	c.Assert(got.head[0], qt.Equals, byte(0))
	c.Assert(string(got.content), qt.Equals, string(goldenFile(c, "parcel.json", got.content)))
}

// The handler accepts the golden bytes at both procedures that receive batches.
func TestGoldenBatchIsReceived(t *testing.T) {
	c := qt.New(t)
	golden, err := os.ReadFile("testdata/golden_peer/parcel.json")
	c.Assert(err, qt.IsNil)
	framed := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(golden))), golden...)
	for _, example := range []struct {
		path, contentType string
		body              []byte
	}{
		{"/dunlinloom.Peer/Deliver", "application/json", golden},
		{"/dunlinloom.Peer/Stream", "application/connect+json", framed},
	} {
		arrived := []wire.Envelope{}
		deliver := func(envelope wire.Envelope) { arrived = append(arrived, envelope) }
		reject := func(_ string, err error) { c.Errorf("a message was rejected: %v", err) }
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, example.path, bytes.NewReader(example.body))
		request.Header.Set("Content-Type", example.contentType)
		answer := httptest.NewRecorder()
		NewPeerHandler(deliver, reject, nil, nil).ServeHTTP(answer, request)
		c.Assert(answer.Code, qt.Equals, http.StatusOK)
		c.Assert(arrived, qt.DeepEquals, []wire.Envelope{goldenEnvelope(goldenReceiver)})
	}
}

// checkGoldenRecord checks that the codec encodes a record to its golden bytes and decodes them to an equal record.
func checkGoldenRecord[T any](c *qt.C, name string, record T) {
	fresh, err := jsonCodec{}.Marshal(&record)
	c.Assert(err, qt.IsNil)
	golden := goldenFile(c, name, fresh)
	c.Assert(string(fresh), qt.Equals, string(golden))
	var read T
	c.Assert(jsonCodec{}.Unmarshal(golden, &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, record)
}

func TestProceduresAreEncodedInGoldenForm(t *testing.T) {
	c := qt.New(t)
	ref := cluster.ConfigRef{Revision: 1, Digest: "digest <b>"}
	checkGoldenRecord(c, "recall_ask.json", FetchConfigRequest{Ref: ref})
	checkGoldenRecord(c, "recall_reply.json", FetchConfigResponse{Config: []byte(`{"ver":2}`), ConfigRevision: 3})
	checkGoldenRecord(c, "nothing.json", emptyMessage{})
	checkGoldenRecord(c, "parcel_empty.json", envelopeBatch{})
	status := storage.PeerStatus{Address: "10.0.0.1:1", Member: "member <c>", ClusterID: "founding <d>", Revision: 4}
	fetchConfig := func(FetchConfigRequest) (*FetchConfigResponse, error) {
		return &FetchConfigResponse{Config: []byte(`{"ver":2}`), ConfigRevision: 3}, nil
	}
	handler := NewPeerHandler(nil, nil, fetchConfig, func() storage.PeerStatus { return status })
	for _, example := range []struct{ path, ask, reply string }{
		{"/dunlinloom.Peer/Recall", "recall_ask.json", "recall_reply.json"},
		{"/dunlinloom.Peer/Who", "nothing.json", "witness.json"},
	} {
		ask, err := os.ReadFile(filepath.Join("testdata/golden_peer", example.ask))
		c.Assert(err, qt.IsNil)
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, example.path, bytes.NewReader(ask))
		request.Header.Set("Content-Type", "application/json")
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		c.Assert(answer.Code, qt.Equals, http.StatusOK)
		c.Assert(answer.Body.String(), qt.Equals, string(goldenFile(c, example.reply, answer.Body.Bytes())))
	}
	var read storage.PeerStatus
	golden, err := os.ReadFile("testdata/golden_peer/witness.json")
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(golden, &read), qt.IsNil)
	c.Assert(read, qt.Equals, status)
}
