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

// RPC procedures between the fleet's nodes. The names are on the wire.
const (
	procedureDeliver     = "/dunlinloom.Peer/Deliver"
	procedureStream      = "/dunlinloom.Peer/Stream"
	procedureFetchConfig = "/dunlinloom.Peer/Recall"
	procedureIdentify    = "/dunlinloom.Peer/Who"
)

// emptyMessage is a request or a response without content.
type emptyMessage struct{}

// FetchConfigRequest asks a controller for the configuration of an older revision.
type FetchConfigRequest struct {
	Ref cluster.ConfigRef `json:"mark"`
}

// FetchConfigResponse is the reply to a FetchConfigRequest.
type FetchConfigResponse struct {
	Config         []byte `json:"spec"`
	ConfigRevision uint64 `json:"spec_generation"`
}

const (
	queueCapacity     = 512
	maxBatchEnvelopes = 32
	// Large messages have a queue and a stream of their own, so that a heartbeat does not wait
	// behind a configuration. They are sent one at a time, and the control loop has few of them in flight.
	largeQueueCapacity     = 16
	maxLargeBatchEnvelopes = 1
	// largeSendTimeoutPerMB is added to sendTimeout for each megabyte of a large message. If the receiver has failed, the
	// connection ends sooner, see tcpUserTimeout.
	largeSendTimeoutPerMB = 10 * kernel.Second
	maxLargeSendTimeout   = 60 * kernel.Second
	// Sending a batch of small messages may take sendTimeout, plus sendTimeoutPerMB for each megabyte, up to
	// maxSendTimeout: a slow receiver needs the time to decode it, but a failed one must not delay later messages for long.
	sendTimeout      = 3 * kernel.Second
	sendTimeoutPerMB = kernel.Second
	maxSendTimeout   = 8 * kernel.Second
	maxBatchBytes    = 64 << 20
	// A compressor takes hundreds of kilobytes of memory while in use. Requests, grants and their empty responses are
	// sent hundreds of times a second, so only large messages are compressed.
	compressMinBytes = 16 << 10
	// A stream without a message for streamIdleTimeout is closed, since most pairs of nodes rarely exchange messages.
	streamIdleTimeout = 5 * time.Second
	// The operating system ends a connection whose sent bytes stay unacknowledged for tcpUserTimeout. A cut link reports no
	// error, and TCP retransmits at ever longer intervals.
	tcpUserTimeout = 2 * time.Second
)

// Connections sends envelopes to other nodes. Each node has two queues with a goroutine each, so that an unresponsive node
// does not delay messages to the others.
type Connections struct {
	env           kernel.Env
	client        *http.Client
	lock          sync.Mutex // guards peers alone
	peers         map[string]*peerQueue
	Sent, Dropped atomic.Uint64
}

// peerQueue holds the queues and counters of the messages to one node.
type peerQueue struct {
	address     string
	small       *sendQueue
	large       *sendQueue
	client      *connect.Client[envelopeBatch, emptyMessage]
	sentBytes   atomic.Uint64 // on the wire
	lock        sync.Mutex    // guards bytesByKind alone
	bytesByKind map[string]uint64
	// startSenders guards the start of the two queues' goroutines at the first envelope.
	startSenders sync.Once
}

// sendQueue is one queue of envelopes to a node, with the stream on which they are sent.
type sendQueue struct {
	peer         *peerQueue
	queue        chan *wire.Envelope
	maxEnvelopes int
	timeoutPerMB kernel.Micros
	maxTimeout   kernel.Micros
	stream       *connect.ClientStreamForClient[envelopeBatch, emptyMessage] // nil if none is open
	cancel       context.CancelFunc                                          // ends the stream
}

func (p *peerQueue) count(kind string, bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.bytesByKind[kind] += uint64(bytes)
}

// Dialer opens a connection. Tests and local fleet runs supply one with fault injection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewConnections returns Connections without queues. The goroutines that they start end with the environment.
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

// countedConnection counts the bytes written to a node, since traffic between zones is charged.
type countedConnection struct {
	net.Conn
	peer *peerQueue
}

func (c *countedConnection) Write(chunk []byte) (int, error) {
	count, err := c.Conn.Write(chunk)
	c.peer.sentBytes.Add(uint64(count))
	return count, err
}

// BytesByKind returns, by the node's address and the message's kind, how many bytes have been encoded.
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

// BytesByPeer returns, by the node's address, how many bytes have been written to its connections.
func (c *Connections) BytesByPeer() map[string]uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	sent := map[string]uint64{}
	for address, peer := range c.peers {
		sent[address] = peer.sentBytes.Load()
	}
	return sent
}

// peer returns the queues to a node and ensures that their goroutines run.
func (c *Connections) peer(address string) *peerQueue {
	peer := c.peerAt(address)
	peer.startSenders.Do(func() {
		go c.sendLoop(peer.small)
		go c.sendLoop(peer.large)
	})
	return peer
}

// peerAt returns the queues to a node and creates them if there are none. It does not start their goroutines.
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

// Send puts an envelope into its receiver's queue and does not block. A full queue drops its oldest envelope, since newer
// messages are worth more and the control loop resends what matters.
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

// sendLoop sends a queue's envelopes in batches until the environment ends.
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
				c.env.Log.Error(err, "peer message could not be encoded; dropped", "kind", envelope.Message.Kind())
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
			c.env.Log.V(3).Info("batch to a peer could not be sent; dropped", "to", peer.address, "error", err.Error())
			continue
		}
		c.Sent.Add(uint64(len(batch.Envelopes)))
	}
}

// close closes the stream gracefully, within a second.
func (s *sendQueue) close() {
	if s.stream == nil {
		return
	}
	timer := time.AfterFunc(time.Second, s.cancel)
	// The response is empty and the error is of no use: lost messages are resent by the control loop.
	_, _ = s.stream.CloseAndReceive()
	timer.Stop()
	s.cancel()
	s.stream = nil
}

// sendBatch writes a batch to the peer's stream and opens one if there is none. A unary call per batch would confirm its
// arrival, but would cost twice the wake-ups and, for a small batch, four times the bytes. The control loop resends what
// matters anyway.
func (c *Connections) sendBatch(sender *sendQueue, batch *envelopeBatch) error {
	bytes := 0
	for _, envelope := range batch.Envelopes {
		bytes += len(envelope)
	}
	timeout := min(sendTimeout+sender.timeoutPerMB*kernel.Micros(bytes>>20), sender.maxTimeout)
	// A stream that broke after its last batch reports the failure only now, so the batch is retried once on a new stream.
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
		// The stream has to be closed as well as canceled: until then the transport waits for the rest of it.
		if _, closeErr := sender.stream.CloseAndReceive(); errors.Is(err, io.EOF) {
			err = closeErr
		}
		sender.stream = nil
		if isLast || isFresh {
			return fmt.Errorf("send to %s: %w", sender.peer.address, errors.Join(err, BrokenStreamError{}))
		}
	}
}

// BrokenStreamError reports that a stream to another node ended or timed out.
type BrokenStreamError struct{}

func (BrokenStreamError) Error() string { return "stream broken" }

// ConfigMismatchError reports that a node's response is not the requested configuration.
type ConfigMismatchError struct{ Requested, Received cluster.ConfigRef }

func (b ConfigMismatchError) Error() string {
	return fmt.Sprintf("received the configuration of revision %d, digest %.8s; requested was revision %d, digest %.8s", b.Received.Revision, b.Received.Digest, b.Requested.Revision, b.Requested.Digest)
}

// FetchConfig asks another node for an older configuration. The call is read-only and may be retried. The response is
// checked against the requested revision and digest, so it does not matter which node sent it.
func (c *Connections) FetchConfig(ctx context.Context, address string, fetch FetchConfigRequest) (*FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, maxSendTimeout.Duration())
	defer cancel()
	client := connect.NewClient[FetchConfigRequest, FetchConfigResponse](c.client, "http://"+address+procedureFetchConfig,
		connect.WithCodec(jsonCodec{}), connect.WithCompressMinBytes(compressMinBytes))
	reply, err := client.CallUnary(ctx, connect.NewRequest(&fetch))
	if err != nil {
		return nil, fmt.Errorf("fetch the configuration of revision %d from %s: %w", fetch.Ref.Revision, address, err)
	}
	received := cluster.ConfigRefOf(&cluster.Document{Config: reply.Msg.Config, ConfigRevision: reply.Msg.ConfigRevision})
	if received != fetch.Ref {
		return nil, fmt.Errorf("fetch a configuration from %s: %w", address, ConfigMismatchError{fetch.Ref, received})
	}
	return reply.Msg, nil
}

// Identify asks the process at a peer address which member of which cluster it is.
func Identify(ctx context.Context, address string) (*storage.PeerStatus, error) {
	client := connect.NewClient[emptyMessage, storage.PeerStatus](&http.Client{Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
		"http://"+address+procedureIdentify, connect.WithCodec(jsonCodec{}))
	reply, err := client.CallUnary(ctx, connect.NewRequest(&emptyMessage{}))
	if err != nil {
		return nil, fmt.Errorf("identify the process at %s: %w", address, err)
	}
	reply.Msg.Address = address
	return reply.Msg, nil
}

// NewPeerHandler returns the handler of the RPC procedures that other nodes call. It passes each envelope to deliver, and
// each that cannot be decoded to reject with its sender.
func NewPeerHandler(deliver func(wire.Envelope), reject func(from string, err error), fetchConfig func(FetchConfigRequest) (*FetchConfigResponse, error), identify func() storage.PeerStatus) http.Handler {
	// compressMinBytes applies to responses as well: without it connect compresses every response.
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
				return nil, fmt.Errorf("receive a batch from a peer: %w", err)
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
		func(context.Context, *connect.Request[emptyMessage]) (*connect.Response[storage.PeerStatus], error) {
			status := identify()
			return connect.NewResponse(&status), nil
		}, options...))
	return mux
}
