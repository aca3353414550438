package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Procedures between the fleet's own processes.
const (
	procedureDeliver     = "/dunlinloom.Peer/Deliver"
	procedureStream      = "/dunlinloom.Peer/Stream"
	procedureFetchConfig = "/dunlinloom.Peer/Recall"
	procedureIdentify    = "/dunlinloom.Peer/Who"
)

// emptyMessage is a request or an answer without content.
type emptyMessage struct{}

// FetchConfigRequest asks a controller for the configuration of an older revision.
type FetchConfigRequest struct {
	Ref cluster.ConfigRef `json:"mark"`
}

// FetchConfigResponse carries that configuration.
type FetchConfigResponse struct {
	Config         []byte `json:"spec"`
	ConfigRevision uint64 `json:"spec_generation"`
}

const (
	queueCapacity     = 512
	maxBatchEnvelopes = 32
	// Large messages have a queue and a stream of their own, so that a heartbeat does not wait
	// behind a configuration. They go one by one, and owners have few of them under way.
	largeQueueCapacity     = 16
	maxLargeBatchEnvelopes = 1
	// largeSendTimeoutPerMB is how long a large one may take for each megabyte. A receiver that has failed ends
	// the connection sooner, see tcpUserTimeout.
	largeSendTimeoutPerMB = 10 * kernel.Second
	maxLargeSendTimeout   = 60 * kernel.Second
	// How long a batch may take, and how much longer one of megabytes: a slow machine
	// has to unpack it, but one that has failed must not delay what comes after for long.
	sendTimeout      = 3 * kernel.Second
	sendTimeoutPerMB = kernel.Second
	maxSendTimeout   = 8 * kernel.Second
	maxBatchBytes    = 64 << 20
	// A compressor holds hundreds of kilobytes while it is at work. Requests, grants and their
	// empty answers go by the hundred a second, so only what is large is worth one.
	compressMinBytes = 16 << 10
	// A stream that carried nothing for so long is ended: most nodes have little to send to most.
	streamIdleTimeout = 5 * time.Second
	// What a node sent and its receiver's system has not confirmed for so long ends the
	// connection: a cut link reports nothing, and what is sent again into it by the system comes
	// later and later.
	tcpUserTimeout = 2 * time.Second
)

// Connections carry envelopes to other nodes: two queues and a worker for each of them, so
// that one that does not answer holds up nobody else.
type Connections struct {
	env           kernel.Env
	client        *http.Client
	lock          sync.Mutex // guards peers alone
	peers         map[string]*peerQueue
	Sent, Dropped atomic.Uint64
}

// peerQueue is what goes to one node.
type peerQueue struct {
	address     string
	small       *sendQueue
	large       *sendQueue
	client      *connect.Client[envelopeBatch, emptyMessage]
	sentBytes   atomic.Uint64 // on the wire
	lock        sync.Mutex    // guards bytesByKind alone
	bytesByKind map[string]uint64
	// startSenders starts the goroutines of the two queues at the first envelope.
	startSenders sync.Once
}

// sendQueue is one queue to a node, with the stream that carries it.
type sendQueue struct {
	peer         *peerQueue
	queue        chan *wire.Envelope
	maxEnvelopes int
	timeoutPerMB kernel.Micros
	maxTimeout   kernel.Micros
	stream       *connect.ClientStreamForClient[envelopeBatch, emptyMessage] // nil: none is open
	cancel       context.CancelFunc                                          // ends the stream
}

func (p *peerQueue) count(kind string, bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.bytesByKind[kind] += uint64(bytes)
}

// Dialer opens a connection; tests and local fleet runs bring one that can fail.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewConnections makes connections that last as long as the environment.
func NewConnections(env kernel.Env, dial Dialer) *Connections {
	c := &Connections{env: env, peers: map[string]*peerQueue{}}
	c.client = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				connection, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConnection{connection, c.peerAt(address)}, nil
			},
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     30 * time.Second,
		},
	}
	return c
}

// countedConnection counts what is written to a node, since bytes between zones cost.
type countedConnection struct {
	net.Conn
	peer *peerQueue
}

func (c *countedConnection) Write(chunk []byte) (int, error) {
	count, err := c.Conn.Write(chunk)
	c.peer.sentBytes.Add(uint64(count))
	return count, err
}

// BytesByKind is how many bytes of each kind of message have been encoded for each node.
func (c *Connections) BytesByKind() map[string]map[string]uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	sent := map[string]map[string]uint64{}
	for address, peer := range c.peers {
		peer.lock.Lock()
		sent[address] = maps.Clone(peer.bytesByKind)
		peer.lock.Unlock()
	}
	return sent
}

// BytesByPeer is how many bytes have gone to each node.
func (c *Connections) BytesByPeer() map[string]uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	sent := map[string]uint64{}
	for address, peer := range c.peers {
		sent[address] = peer.sentBytes.Load()
	}
	return sent
}

// peer gives the queues to a node, with their senders running.
func (c *Connections) peer(address string) *peerQueue {
	peer := c.peerAt(address)
	peer.startSenders.Do(func() {
		go c.sendLoop(peer.small)
		go c.sendLoop(peer.large)
	})
	return peer
}

// remoteConnection gives the queues to a node, and makes them where there are none.
func (c *Connections) peerAt(address string) *peerQueue {
	c.lock.Lock()
	defer c.lock.Unlock()
	peer := c.peers[address]
	if peer == nil {
		peer = &peerQueue{
			address: address, bytesByKind: map[string]uint64{},
			client: connect.NewClient[envelopeBatch, emptyMessage](c.client, "http://"+address+procedureStream,
				connect.WithCodec(jsonCodec{}), connect.WithSendMaxBytes(maxBatchBytes),
				connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes)),
		}
		peer.small = &sendQueue{
			peer: peer, queue: make(chan *wire.Envelope, queueCapacity), maxEnvelopes: maxBatchEnvelopes,
			timeoutPerMB: sendTimeoutPerMB, maxTimeout: maxSendTimeout,
		}
		peer.large = &sendQueue{
			peer: peer, queue: make(chan *wire.Envelope, largeQueueCapacity), maxEnvelopes: maxLargeBatchEnvelopes,
			timeoutPerMB: largeSendTimeoutPerMB, maxTimeout: maxLargeSendTimeout,
		}
		c.peers[address] = peer
	}
	return peer
}

// Send puts an envelope into its receiver's queue; a full queue loses its oldest,
// since every owner repeats what matters and newer messages are worth more.
func (c *Connections) Send(envelope wire.Envelope) {
	peer := c.peer(envelope.To)
	sender := peer.small
	if envelope.Message.IsLarge() {
		sender = peer.large
	}
	for copies, _ := fault(envelope.To); copies > 0; copies-- {
		c.enqueue(sender, &envelope)
	}
}

func (c *Connections) enqueue(sender *sendQueue, envelope *wire.Envelope) {
	for {
		select {
		case sender.queue <- envelope:
			return
		default:
		}
		select {
		case <-sender.queue:
			c.Dropped.Add(1)
		default:
		}
	}
}

// sendLoop sends what is put into a queue until the environment ends.
func (c *Connections) sendLoop(sender *sendQueue) {
	peer := sender.peer
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	defer sender.close()
	for {
		var batch envelopeBatch
		add := func(envelope *wire.Envelope) {
			content, err := json.Marshal(envelope)
			if err != nil {
				c.Dropped.Add(1)
				c.env.Log.Error(err, "a message can't be encoded", "kind", envelope.Message.Kind())
				return
			}
			peer.count(envelope.Message.Kind(), len(content))
			batch.Envelopes = append(batch.Envelopes, content)
		}
		idle.Reset(streamIdleTimeout)
		select {
		case <-c.env.Done():
			return
		case <-idle.C:
			sender.close()
			continue
		case envelope := <-sender.queue:
			add(envelope)
		}
		for len(batch.Envelopes) < sender.maxEnvelopes {
			select {
			case envelope := <-sender.queue:
				add(envelope)
				continue
			default:
			}
			break
		}
		if _, delay := fault(peer.address); delay > 0 {
			time.Sleep(delay)
		}
		if err := c.sendBatch(sender, &batch); err != nil {
			c.Dropped.Add(uint64(len(batch.Envelopes)))
			c.env.Log.V(3).Info("a parcel was lost", "to", peer.address, "error", err.Error())
			continue
		}
		c.Sent.Add(uint64(len(batch.Envelopes)))
	}
}

// close ends the stream in order.
func (s *sendQueue) close() {
	if s.stream == nil {
		return
	}
	timer := time.AfterFunc(time.Second, s.cancel)
	// Its answer says nothing, and what went wrong shows by what did not arrive.
	_, _ = s.stream.CloseAndReceive()
	timer.Stop()
	s.cancel()
	s.stream = nil
}

// sendBatch puts a batch on the peer's stream. A call for each batch would say whether it
// arrived, for twice the wake-ups and four times the bytes of a small one; owners repeat
// what matters anyway.
func (c *Connections) sendBatch(sender *sendQueue, batch *envelopeBatch) error {
	bytes := 0
	for _, envelope := range batch.Envelopes {
		bytes += len(envelope)
	}
	timeout := min(sendTimeout+sender.timeoutPerMB*kernel.Micros(bytes>>20), sender.maxTimeout)
	// A stream that broke since its last batch reports that only now; the batch gets a new stream.
	for isLast := false; ; isLast = true {
		isFresh := sender.stream == nil
		if isFresh {
			var ctx context.Context
			ctx, sender.cancel = context.WithCancel(c.env)
			sender.stream = sender.peer.client.CallClientStream(ctx)
		}
		timer := time.AfterFunc(timeout.Duration(), sender.cancel)
		err := sender.stream.Send(batch)
		if timer.Stop() && err == nil {
			return nil
		}
		sender.cancel()
		// Closed as well: until then the transport waits for the rest of the stream.
		if _, closeErr := sender.stream.CloseAndReceive(); errors.Is(err, io.EOF) {
			err = closeErr
		}
		sender.stream = nil
		if isLast || isFresh {
			return fmt.Errorf("send to %s: %w", sender.peer.address, errors.Join(err, BrokenStreamError{}))
		}
	}
}

// BrokenStreamError says that a stream to another node ended or took too long.
type BrokenStreamError struct{}

func (BrokenStreamError) Error() string { return "the stream broke" }

// ConfigMismatchError says that a node's answer is not the configuration that was asked for.
type ConfigMismatchError struct{ Requested, Received cluster.ConfigRef }

func (b ConfigMismatchError) Error() string {
	return fmt.Sprintf("the answer is the configuration of revision %d, digest %.8s; asked for was %d, %.8s", b.Received.Revision, b.Received.Digest, b.Requested.Revision, b.Requested.Digest)
}

// FetchConfig asks another node for an older configuration. It only reads, so it may be asked again;
// the answer counts by what it is, whoever sent it.
func (c *Connections) FetchConfig(ctx context.Context, address string, fetch FetchConfigRequest) (*FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, maxSendTimeout.Duration())
	defer cancel()
	client := connect.NewClient[FetchConfigRequest, FetchConfigResponse](c.client, "http://"+address+procedureFetchConfig,
		connect.WithCodec(jsonCodec{}), connect.WithCompressMinBytes(compressMinBytes))
	reply, err := client.CallUnary(ctx, connect.NewRequest(&fetch))
	if err != nil {
		return nil, fmt.Errorf("recall revision %d from %s: %w", fetch.Ref.Revision, address, err)
	}
	got := cluster.ConfigRefOf(&cluster.Document{Config: reply.Msg.Config, ConfigRevision: reply.Msg.ConfigRevision})
	if got != fetch.Ref {
		return nil, fmt.Errorf("recall from %s: %w", address, ConfigMismatchError{fetch.Ref, got})
	}
	return reply.Msg, nil
}

// Identify asks the process at a peer address which member it is, of which cluster.
func Identify(ctx context.Context, address string) (*storage.Witness, error) {
	client := connect.NewClient[emptyMessage, storage.Witness](&http.Client{Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
		"http://"+address+procedureIdentify, connect.WithCodec(jsonCodec{}))
	reply, err := client.CallUnary(ctx, connect.NewRequest(&emptyMessage{}))
	if err != nil {
		return nil, fmt.Errorf("ask %s who it is: %w", address, err)
	}
	reply.Msg.Address = address
	return reply.Msg, nil
}

// NewPeerHandler serves the procedures to the other nodes.
func NewPeerHandler(deliver func(wire.Envelope), reject func(from string, err error), fetchConfig func(FetchConfigRequest) (*FetchConfigResponse, error), identify func() storage.Witness) http.Handler {
	// The bound holds for answers as well: connect compresses every one of them otherwise.
	options := []connect.HandlerOption{connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxBatchBytes), connect.WithCompressMinBytes(compressMinBytes)}
	mux := http.NewServeMux()
	mux.Handle(procedureDeliver, connect.NewUnaryHandler(procedureDeliver,
		func(_ context.Context, request *connect.Request[envelopeBatch]) (*connect.Response[emptyMessage], error) {
			request.Msg.dispatch(deliver, reject)
			return connect.NewResponse(&emptyMessage{}), nil
		}, options...))
	mux.Handle(procedureStream, connect.NewClientStreamHandler(procedureStream,
		func(_ context.Context, stream *connect.ClientStream[envelopeBatch]) (*connect.Response[emptyMessage], error) {
			for stream.Receive() {
				stream.Msg().dispatch(deliver, reject)
			}
			if err := stream.Err(); err != nil {
				return nil, fmt.Errorf("receive from a node: %w", err)
			}
			return connect.NewResponse(&emptyMessage{}), nil
		}, options...))
	mux.Handle(procedureFetchConfig, connect.NewUnaryHandler(procedureFetchConfig,
		func(_ context.Context, request *connect.Request[FetchConfigRequest]) (*connect.Response[FetchConfigResponse], error) {
			reply, err := fetchConfig(*request.Msg)
			if err != nil {
				return nil, connect.NewError(connect.CodeNotFound, err)
			}
			return connect.NewResponse(reply), nil
		}, options...))
	mux.Handle(procedureIdentify, connect.NewUnaryHandler(procedureIdentify,
		func(context.Context, *connect.Request[emptyMessage]) (*connect.Response[storage.Witness], error) {
			witness := identify()
			return connect.NewResponse(&witness), nil
		}, options...))
	return mux
}
