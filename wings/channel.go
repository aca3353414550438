package wings

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"dunlinloom/flyloft"
	"dunlinloom/house"
)

// Procedures between the fleet's own processes.
const (
	procedureDeliver = "/dunlinloom.Peer/Deliver"
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

type parcel struct {
	Envelopes []flyloft.Envelope `json:"envelopes"`
}

// parcelOut is a parcel whose envelopes are encoded already, to be counted by kind.
type parcelOut struct {
	Envelopes []json.RawMessage `json:"envelopes"`
}

type nothing struct{}

// RecallAsk asks a prompter for the spec of an older generation.
type RecallAsk struct {
	Mark flyloft.SpecMark `json:"mark"`
}

// RecallReceipt brings it.
type RecallReceipt struct {
	Spec           []byte `json:"spec"`
	SpecGeneration uint64 `json:"spec_generation"`
}

const (
	inboxBound  = 512
	parcelBound = 32
	// How long a parcel may take, and how much longer one of megabytes: a slow machine
	// has to unpack it, but one that is gone must not hold up what comes after for long.
	channelSpan    = 3 * house.Second
	channelSpanMB  = house.Second
	channelSpanTop = 8 * house.Second
	parcelBytes    = 64 << 20
	// A compressor holds hundreds of kilobytes while it is at work. Asks, grants and their
	// empty answers go by the hundred a second, so only what is large is worth one.
	compressFrom = 16 << 10
)

// Channels carry envelopes to other nodes: an inbox and a worker for each, so
// that one that does not answer holds up nobody else.
type Channels struct {
	cue           house.Cue
	client        *http.Client
	lock          sync.Mutex
	peers         map[string]*peerInbox
	Sent, Dropped atomic.Uint64
}

type peerInbox struct {
	address string
	inbox   chan flyloft.Envelope
	deliver *connect.Client[parcelOut, nothing]
	bytes   atomic.Uint64 // on the wire
	lock    sync.Mutex    // guards kinds alone
	kinds   map[string]uint64
}

func (p *peerInbox) count(kind string, bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.kinds[kind] += uint64(bytes)
}

// Dialer opens a channel; tests and rehearsals bring one that can fail.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewChannels makes channels that live as long as the cue.
func NewChannels(cue house.Cue, dial Dialer) *Channels {
	c := &Channels{cue: cue, peers: map[string]*peerInbox{}}
	c.client = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				channel, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedChannel{channel, c.peer(address)}, nil
			},
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     30 * time.Second,
		},
	}
	return c
}

// countedChannel counts what is written to a node, since bytes between zones cost.
type countedChannel struct {
	net.Conn
	peer *peerInbox
}

func (c *countedChannel) Write(chunk []byte) (int, error) {
	count, err := c.Conn.Write(chunk)
	c.peer.bytes.Add(uint64(count))
	return count, err
}

// KindsTo is how many bytes of each kind of message have been encoded for each node.
func (c *Channels) KindsTo() map[string]map[string]uint64 {
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
func (c *Channels) BytesTo() map[string]uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	sent := map[string]uint64{}
	for address, peer := range c.peers {
		sent[address] = peer.bytes.Load()
	}
	return sent
}

func (c *Channels) peer(address string) *peerInbox {
	c.lock.Lock()
	defer c.lock.Unlock()
	peer := c.peers[address]
	if peer == nil {
		peer = &peerInbox{
			address: address, inbox: make(chan flyloft.Envelope, inboxBound),
			kinds: map[string]uint64{},
			deliver: connect.NewClient[parcelOut, nothing](c.client, "http://"+address+procedureDeliver,
				connect.WithCodec(jsonCodec{}), connect.WithSendMaxBytes(parcelBytes),
				connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom)),
		}
		c.peers[address] = peer
		go c.work(peer)
	}
	return peer
}

// Send puts an envelope into its receiver's inbox; a full inbox loses its oldest,
// since every owner repeats what matters and newer words are worth more.
func (c *Channels) Send(envelope flyloft.Envelope) {
	peer := c.peer(envelope.To)
	for copies, _ := mishap(envelope.To); copies > 0; copies-- {
		c.put(peer, envelope)
	}
}

func (c *Channels) put(peer *peerInbox, envelope flyloft.Envelope) {
	for {
		select {
		case peer.inbox <- envelope:
			return
		default:
		}
		select {
		case <-peer.inbox:
			c.Dropped.Add(1)
		default:
		}
	}
}

func (c *Channels) work(peer *peerInbox) {
	for {
		var batch parcelOut
		add := func(envelope flyloft.Envelope) {
			content, err := json.Marshal(envelope)
			if err != nil {
				c.Dropped.Add(1)
				c.cue.Log.Error(err, "a message can't be encoded", "kind", envelope.Message.Kind())
				return
			}
			peer.count(envelope.Message.Kind(), len(content))
			batch.Envelopes = append(batch.Envelopes, content)
		}
		select {
		case <-c.cue.Done():
			return
		case envelope := <-peer.inbox:
			add(envelope)
		}
		for len(batch.Envelopes) < parcelBound {
			select {
			case envelope := <-peer.inbox:
				add(envelope)
				continue
			default:
			}
			break
		}
		if _, delay := mishap(peer.address); delay > 0 {
			time.Sleep(delay)
		}
		if err := c.deliver(peer, &batch); err != nil {
			c.Dropped.Add(uint64(len(batch.Envelopes)))
			c.cue.Log.V(3).Info("a parcel was lost", "to", peer.address, "error", err.Error())
			continue
		}
		c.Sent.Add(uint64(len(batch.Envelopes)))
	}
}

func (c *Channels) deliver(peer *peerInbox, batch *parcelOut) error {
	bytes := 0
	for _, envelope := range batch.Envelopes {
		bytes += len(envelope)
	}
	span := min(channelSpan+channelSpanMB*house.Micros(bytes>>20), channelSpanTop)
	ctx, cancel := context.WithTimeout(c.cue, span.Duration())
	defer cancel()
	_, err := peer.deliver.CallUnary(ctx, connect.NewRequest(batch))
	return err
}

// Recall asks another node for an older spec.
func (c *Channels) Recall(ctx context.Context, address string, ask RecallAsk) (*RecallReceipt, error) {
	ctx, cancel := context.WithTimeout(ctx, channelSpanTop.Duration())
	defer cancel()
	client := connect.NewClient[RecallAsk, RecallReceipt](c.client, "http://"+address+procedureRecall,
		connect.WithCodec(jsonCodec{}), connect.WithCompressMinBytes(compressFrom))
	receipt, err := client.CallUnary(ctx, connect.NewRequest(&ask))
	if err != nil {
		return nil, fmt.Errorf("recall generation %d from %s: %w", ask.Mark.Generation, address, err)
	}
	return receipt.Msg, nil
}

// AskWho asks the process at a peer address which member it is, of what founding.
func AskWho(ctx context.Context, address string) (*flyloft.Witness, error) {
	client := connect.NewClient[nothing, flyloft.Witness](&http.Client{Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
		"http://"+address+procedureWho, connect.WithCodec(jsonCodec{}))
	receipt, err := client.CallUnary(ctx, connect.NewRequest(&nothing{}))
	if err != nil {
		return nil, fmt.Errorf("ask %s who it is: %w", address, err)
	}
	receipt.Msg.Address = address
	return receipt.Msg, nil
}

// NewPeerHandler serves the procedures to the other nodes.
func NewPeerHandler(deliver func(flyloft.Envelope), recall func(RecallAsk) (*RecallReceipt, error), who func() flyloft.Witness) http.Handler {
	// The bound holds for answers as well: connect compresses every one of them otherwise.
	options := []connect.HandlerOption{connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(parcelBytes), connect.WithCompressMinBytes(compressFrom)}
	mux := http.NewServeMux()
	mux.Handle(procedureDeliver, connect.NewUnaryHandler(procedureDeliver,
		func(_ context.Context, request *connect.Request[parcel]) (*connect.Response[nothing], error) {
			for _, envelope := range request.Msg.Envelopes {
				deliver(envelope)
			}
			return connect.NewResponse(&nothing{}), nil
		}, options...))
	mux.Handle(procedureRecall, connect.NewUnaryHandler(procedureRecall,
		func(_ context.Context, request *connect.Request[RecallAsk]) (*connect.Response[RecallReceipt], error) {
			receipt, err := recall(*request.Msg)
			if err != nil {
				return nil, connect.NewError(connect.CodeNotFound, err)
			}
			return connect.NewResponse(receipt), nil
		}, options...))
	mux.Handle(procedureWho, connect.NewUnaryHandler(procedureWho,
		func(context.Context, *connect.Request[nothing]) (*connect.Response[flyloft.Witness], error) {
			witness := who()
			return connect.NewResponse(&witness), nil
		}, options...))
	return mux
}
