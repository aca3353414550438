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

	"dunlinloom/internal/control"
	"dunlinloom/internal/kernel"
)

// Procedures between the fleet's own processes.
const (
	procedureDeliver = "/dunlinloom.Peer/Deliver"
	procedureStream  = "/dunlinloom.Peer/Stream"
	procedureRecall  = "/dunlinloom.Peer/Recall"
	procedureWho     = "/dunlinloom.Peer/Who"
)

// jsonCodec lets connect carry the owners' own message types.
type jsonCodec struct{}

func (jsonCodec) Name() string                     { return "json" }
func (jsonCodec) Marshal(from any) ([]byte, error) { return json.Marshal(from) }
func (jsonCodec) Unmarshal(content []byte, to any) error {
	return json.Unmarshal(content, to)
}

// parcel is what goes over a stream at once. Its envelopes are encoded one by one: they are counted
// by kind as they go, and one that can't be read costs none of the others.
type parcel struct {
	Envelopes []json.RawMessage `json:"envelopes"`
}

type nothing struct{}

// RecallAsk asks a controller for the configuration of an older revision.
type RecallAsk struct {
	Mark control.ConfigMark `json:"mark"`
}

// RecallReply brings it.
type RecallReply struct {
	Config         []byte `json:"spec"`
	ConfigRevision uint64 `json:"spec_generation"`
}

const (
	queueBound  = 512
	parcelBound = 32
	// Large messages have a queue and a stream of their own, so that a heartbeat does not wait
	// behind a configuration. They go one by one, and owners have few of them under way.
	largeQueueBound  = 16
	largeParcelBound = 1
	// largeSpanMB is how long a large one may take for each megabyte. A receiver that is gone ends
	// the connection sooner, see unconfirmedSpan.
	largeSpanMB  = 10 * kernel.Second
	largeSpanTop = 60 * kernel.Second
	// How long a parcel may take, and how much longer one of megabytes: a slow machine
	// has to unpack it, but one that is gone must not hold up what comes after for long.
	connectionSpan    = 3 * kernel.Second
	connectionSpanMB  = kernel.Second
	connectionSpanTop = 8 * kernel.Second
	parcelBytes       = 64 << 20
	// A compressor holds hundreds of kilobytes while it is at work. Asks, grants and their
	// empty answers go by the hundred a second, so only what is large is worth one.
	compressFrom = 16 << 10
	// A stream without a word for so long is ended: most nodes have little to say to most.
	streamIdle = 5 * time.Second
	// What a node sent and its receiver's system has not confirmed for so long ends the
	// channel: a cut says nothing, and what is sent again into it by the system comes
	// later and later.
	unconfirmedSpan = 2 * time.Second
)

// Connections carry envelopes to other nodes: two queues and a worker for each of them, so
// that one that does not answer holds up nobody else.
type Connections struct {
	env           kernel.Env
	client        *http.Client
	lock          sync.Mutex
	peers         map[string]*peerQueue
	Sent, Dropped atomic.Uint64
}

// peerQueue is what goes to one node.
type peerQueue struct {
	address string
	small   *lane
	large   *lane
	client  *connect.Client[parcel, nothing]
	bytes   atomic.Uint64 // on the wire
	lock    sync.Mutex    // guards kinds alone
	kinds   map[string]uint64
}

// lane is one queue to a node, with the stream that carries it.
type lane struct {
	peer        *peerQueue
	queue       chan *control.Envelope
	parcelBound int
	spanMB      kernel.Micros
	spanTop     kernel.Micros
	stream      *connect.ClientStreamForClient[parcel, nothing] // nil: none is open
	end         context.CancelFunc                              // ends the stream
}

func (p *peerQueue) count(kind string, bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.kinds[kind] += uint64(bytes)
}

// Dialer opens a channel; tests and local fleet runs bring one that can fail.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewConnections makes channels that live as long as the environment.
func NewConnections(env kernel.Env, dial Dialer) *Connections {
	c := &Connections{env: env, peers: map[string]*peerQueue{}}
	c.client = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				connection, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConnection{connection, c.peer(address)}, nil
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
	c.peer.bytes.Add(uint64(count))
	return count, err
}

// KindsTo is how many bytes of each kind of message have been encoded for each node.
func (c *Connections) KindsTo() map[string]map[string]uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	sent := map[string]map[string]uint64{}
	for address, peer := range c.peers {
		peer.lock.Lock()
		sent[address] = maps.Clone(peer.kinds)
		peer.lock.Unlock()
	}
	return sent
}

// BytesTo is how many bytes have gone to each node.
func (c *Connections) BytesTo() map[string]uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	sent := map[string]uint64{}
	for address, peer := range c.peers {
		sent[address] = peer.bytes.Load()
	}
	return sent
}

func (c *Connections) peer(address string) *peerQueue {
	c.lock.Lock()
	defer c.lock.Unlock()
	peer := c.peers[address]
	if peer == nil {
		peer = &peerQueue{
			address: address, kinds: map[string]uint64{},
			client: connect.NewClient[parcel, nothing](c.client, "http://"+address+procedureStream,
				connect.WithCodec(jsonCodec{}), connect.WithSendMaxBytes(parcelBytes),
				connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom)),
		}
		peer.small = &lane{
			peer: peer, queue: make(chan *control.Envelope, queueBound), parcelBound: parcelBound,
			spanMB: connectionSpanMB, spanTop: connectionSpanTop,
		}
		peer.large = &lane{
			peer: peer, queue: make(chan *control.Envelope, largeQueueBound), parcelBound: largeParcelBound,
			spanMB: largeSpanMB, spanTop: largeSpanTop,
		}
		c.peers[address] = peer
		go c.work(peer.small)
		go c.work(peer.large)
	}
	return peer
}

// Send puts an envelope into its receiver's queue; a full queue loses its oldest,
// since every owner repeats what matters and newer words are worth more.
func (c *Connections) Send(envelope control.Envelope) {
	peer := c.peer(envelope.To)
	way := peer.small
	if envelope.Message.IsLarge() {
		way = peer.large
	}
	for copies, _ := fault(envelope.To); copies > 0; copies-- {
		c.put(way, &envelope)
	}
}

func (c *Connections) put(way *lane, envelope *control.Envelope) {
	for {
		select {
		case way.queue <- envelope:
			return
		default:
		}
		select {
		case <-way.queue:
			c.Dropped.Add(1)
		default:
		}
	}
}

// work sends what is put into a lane until the environment ends.
func (c *Connections) work(way *lane) {
	peer := way.peer
	idle := time.NewTimer(streamIdle)
	defer idle.Stop()
	defer way.close()
	for {
		var batch parcel
		add := func(envelope *control.Envelope) {
			content, err := json.Marshal(envelope)
			if err != nil {
				c.Dropped.Add(1)
				c.env.Log.Error(err, "a message can't be encoded", "kind", envelope.Message.Kind())
				return
			}
			peer.count(envelope.Message.Kind(), len(content))
			batch.Envelopes = append(batch.Envelopes, content)
		}
		idle.Reset(streamIdle)
		select {
		case <-c.env.Done():
			return
		case <-idle.C:
			way.close()
			continue
		case envelope := <-way.queue:
			add(envelope)
		}
		for len(batch.Envelopes) < way.parcelBound {
			select {
			case envelope := <-way.queue:
				add(envelope)
				continue
			default:
			}
			break
		}
		if _, delay := fault(peer.address); delay > 0 {
			time.Sleep(delay)
		}
		if err := c.deliver(way, &batch); err != nil {
			c.Dropped.Add(uint64(len(batch.Envelopes)))
			c.env.Log.V(3).Info("a parcel was lost", "to", peer.address, "error", err.Error())
			continue
		}
		c.Sent.Add(uint64(len(batch.Envelopes)))
	}
}

// close ends the stream in order.
func (l *lane) close() {
	if l.stream == nil {
		return
	}
	timer := time.AfterFunc(time.Second, l.end)
	// Its answer says nothing, and what went wrong shows by what did not arrive.
	_, _ = l.stream.CloseAndReceive()
	timer.Stop()
	l.end()
	l.stream = nil
}

// deliver puts a parcel on the peer's stream. A call for each parcel would say whether it
// arrived, for twice the wake-ups and four times the bytes of a small one; owners repeat
// what matters anyway.
func (c *Connections) deliver(way *lane, batch *parcel) error {
	bytes := 0
	for _, envelope := range batch.Envelopes {
		bytes += len(envelope)
	}
	span := min(connectionSpan+way.spanMB*kernel.Micros(bytes>>20), way.spanTop)
	// A stream that broke since its last parcel says so only now; the parcel deserves a new one.
	for isLast := false; ; isLast = true {
		isFresh := way.stream == nil
		if isFresh {
			var ctx context.Context
			ctx, way.end = context.WithCancel(c.env)
			way.stream = way.peer.client.CallClientStream(ctx)
		}
		timer := time.AfterFunc(span.Duration(), way.end)
		err := way.stream.Send(batch)
		if timer.Stop() && err == nil {
			return nil
		}
		way.end()
		// Closed as well: until then the transport waits for the rest of the stream.
		if _, closeErr := way.stream.CloseAndReceive(); errors.Is(err, io.EOF) {
			err = closeErr
		}
		way.stream = nil
		if isLast || isFresh {
			return fmt.Errorf("send to %s: %w", way.peer.address, errors.Join(err, BrokenStream{}))
		}
	}
}

// BrokenStream says that a stream to another node ended or took too long.
type BrokenStream struct{}

func (BrokenStream) Error() string { return "the stream broke" }

// WrongRecall says that a node's answer is not the configuration that was asked for.
type WrongRecall struct{ Asked, Got control.ConfigMark }

func (b WrongRecall) Error() string {
	return fmt.Sprintf("the answer is the configuration of revision %d, digest %.8s; asked for was %d, %.8s", b.Got.Revision, b.Got.Digest, b.Asked.Revision, b.Asked.Digest)
}

// Recall asks another node for an older configuration. It only reads, so it may be asked again;
// the answer counts by what it is, whoever sent it.
func (c *Connections) Recall(ctx context.Context, address string, ask RecallAsk) (*RecallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, connectionSpanTop.Duration())
	defer cancel()
	client := connect.NewClient[RecallAsk, RecallReply](c.client, "http://"+address+procedureRecall,
		connect.WithCodec(jsonCodec{}), connect.WithCompressMinBytes(compressFrom))
	reply, err := client.CallUnary(ctx, connect.NewRequest(&ask))
	if err != nil {
		return nil, fmt.Errorf("recall revision %d from %s: %w", ask.Mark.Revision, address, err)
	}
	got := control.MarkOf(&control.Document{Config: reply.Msg.Config, ConfigRevision: reply.Msg.ConfigRevision})
	if got != ask.Mark {
		return nil, fmt.Errorf("recall from %s: %w", address, WrongRecall{ask.Mark, got})
	}
	return reply.Msg, nil
}

// AskWho asks the process at a peer address which member it is, of what founding.
func AskWho(ctx context.Context, address string) (*control.Witness, error) {
	client := connect.NewClient[nothing, control.Witness](&http.Client{Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
		"http://"+address+procedureWho, connect.WithCodec(jsonCodec{}))
	reply, err := client.CallUnary(ctx, connect.NewRequest(&nothing{}))
	if err != nil {
		return nil, fmt.Errorf("ask %s who it is: %w", address, err)
	}
	reply.Msg.Address = address
	return reply.Msg, nil
}

// read gives a parcel's envelopes to the owners, and what can't be read to reject.
func (p *parcel) read(deliver func(control.Envelope), reject func(from string, err error)) {
	for _, content := range p.Envelopes {
		envelope, err := control.ReadEnvelope(content)
		if err != nil {
			reject(envelope.From, err)
			continue
		}
		deliver(envelope)
	}
}

// NewPeerHandler serves the procedures to the other nodes.
func NewPeerHandler(deliver func(control.Envelope), reject func(from string, err error), recall func(RecallAsk) (*RecallReply, error), who func() control.Witness) http.Handler {
	// The bound holds for answers as well: connect compresses every one of them otherwise.
	options := []connect.HandlerOption{connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(parcelBytes), connect.WithCompressMinBytes(compressFrom)}
	mux := http.NewServeMux()
	mux.Handle(procedureDeliver, connect.NewUnaryHandler(procedureDeliver,
		func(_ context.Context, request *connect.Request[parcel]) (*connect.Response[nothing], error) {
			request.Msg.read(deliver, reject)
			return connect.NewResponse(&nothing{}), nil
		}, options...))
	mux.Handle(procedureStream, connect.NewClientStreamHandler(procedureStream,
		func(_ context.Context, stream *connect.ClientStream[parcel]) (*connect.Response[nothing], error) {
			for stream.Receive() {
				stream.Msg().read(deliver, reject)
			}
			if err := stream.Err(); err != nil {
				return nil, fmt.Errorf("receive from a node: %w", err)
			}
			return connect.NewResponse(&nothing{}), nil
		}, options...))
	mux.Handle(procedureRecall, connect.NewUnaryHandler(procedureRecall,
		func(_ context.Context, request *connect.Request[RecallAsk]) (*connect.Response[RecallReply], error) {
			reply, err := recall(*request.Msg)
			if err != nil {
				return nil, connect.NewError(connect.CodeNotFound, err)
			}
			return connect.NewResponse(reply), nil
		}, options...))
	mux.Handle(procedureWho, connect.NewUnaryHandler(procedureWho,
		func(context.Context, *connect.Request[nothing]) (*connect.Response[control.Witness], error) {
			witness := who()
			return connect.NewResponse(&witness), nil
		}, options...))
	return mux
}
