package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// connection is one connection to an engine. net/http reads and writes the messages on
// it; that it is ours, and not a Transport's, is what makes sure of what was written: a
// Transport sends a request again by itself, and shows an answer that came late as the
// answer of the next request.
type connection struct {
	net      net.Conn
	input    *io.LimitedReader // what the reader may still take off the connection
	reader   *bufio.Reader
	address  string
	idleAt   kernel.Micros
	closesAt kernel.Micros // the engine closes it about then; zero: it did not say
	uses     int
}

const (
	// maxStrayResponses is how many answers to other requests may come before the own one.
	maxStrayResponses = 4
	// maxHeadBytes is the most that an answer's head may hold, interim ones before it included.
	maxHeadBytes = 64 << 10
	// readerBufferBytes is the size of a connection's buffer.
	readerBufferBytes = 2048
)

func newConnection(made net.Conn, address string) *connection {
	input := &io.LimitedReader{R: made, N: math.MaxInt64}
	return &connection{net: made, input: input, reader: bufio.NewReaderSize(input, readerBufferBytes), address: address}
}

// NotWrittenError says that not one byte of a request went out.
type NotWrittenError struct{ Cause error }

func (b NotWrittenError) Error() string { return fmt.Sprintf("not one byte was written: %v", b.Cause) }

// Unwrap gives the cause.
func (b NotWrittenError) Unwrap() error { return b.Cause }

// ExchangeError says that an exchange failed after bytes were written.
type ExchangeError struct {
	Step  string
	Cause error
}

func (b ExchangeError) Error() string { return fmt.Sprintf("%s: %v", b.Step, b.Cause) }

// Unwrap gives the cause.
func (b ExchangeError) Unwrap() error { return b.Cause }

// strayResponseError says that an answer came that belongs to another request, or to nobody.
type strayResponseError struct{ id string }

func (b strayResponseError) Error() string {
	if b.id == "" {
		return "the answer names no request, and the connection has carried others"
	}
	return "the answer belongs to request " + strconv.Quote(b.id)
}

// isAlive looks whether an idle connection may still be used: neither closed by the
// engine nor holding bytes, which would belong to no request of ours.
func (c *connection) isAlive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tcp, isTCP := c.net.(*net.TCPConn); isTCP {
		control, err := tcp.SyscallConn()
		if err != nil {
			return false
		}
		isQuiet := false
		var look [1]byte
		err = control.Read(func(descriptor uintptr) bool {
			_, _, err := unix.Recvfrom(int(descriptor), look[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			isQuiet = errors.Is(err, unix.EAGAIN)
			return true
		})
		return err == nil && isQuiet
	}
	return true
}

// protocolSwitchError says that an engine changed to another protocol, which nobody asked for.
type protocolSwitchError struct{}

func (protocolSwitchError) Error() string { return "the engine switched protocols" }

// owner tells which request an answer names. isLocalOnly: it is the answer to the request with
// this id. An answer that names none can only be ours on a connection that has carried no
// other request; on a kept one it may as well be a second answer to an earlier request.
func (c *connection) owner(response *http.Response, id, idHeader string) (answered string, isOurs bool) {
	named := response.Header.Values(idHeader)
	if len(named) == 0 || id == "" {
		return "", c.uses == 0
	}
	for _, answered := range named {
		if answered != id {
			return answered, false
		}
	}
	return id, true
}

// exchange writes a request and reads the head of its answer.
func (c *connection) exchange(message []byte, method, id, idHeader string) (*http.Response, error) {
	written, errWrite := c.net.Write(message)
	if errWrite != nil && written == 0 {
		return nil, NotWrittenError{errWrite}
	}
	response, err := c.readHead(method, id, idHeader)
	if errWrite == nil {
		return response, err
	}
	// An engine may turn a request away, and close, before it has read the whole of it.
	if err != nil {
		return nil, ExchangeError{"write", errWrite}
	}
	response.Close = true
	return response, nil
}

// readHead reads the head of a request's answer. Answers to other requests that come first
// are read and dropped: an engine may answer twice, late.
func (c *connection) readHead(method, id, idHeader string) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.input.N = maxHeadBytes
	defer func() { c.input.N = math.MaxInt64 }()
	for stray := 0; ; stray++ {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, ExchangeError{"read the head", err}
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, ExchangeError{"read the head", protocolSwitchError{}}
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		answered, isOurs := c.owner(response, id, idHeader)
		if isOurs {
			return response, nil
		}
		// Nothing follows one that names nobody: it may have been ours.
		if answered == "" || stray >= maxStrayResponses || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, ExchangeError{"read the head", strayResponseError{answered}}
		}
		c.input.N = math.MaxInt64
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, ExchangeError{"read a stray answer", err}
		}
		c.input.N = maxHeadBytes
	}
}

// Pool keeps idle connections to engines. Its one lock guards the table and is held for
// no call that waits.
type Pool struct {
	clock       kernel.Clock
	dial        Dialer
	dialTimeout kernel.Micros // in which a connection has to come up
	idleTimeout kernel.Micros // how long one may idle where the engine says nothing
	lock        sync.Mutex
	idle        map[string][]*connection
	open        map[string]int // idle and busy
	// Opened counts the connections made.
	opened     uint64
	invariants *invariant.Monitor
}

// NewPool makes an empty pool.
func NewPool(clock kernel.Clock, dial Dialer, dialTimeout, idleTimeout kernel.Micros) *Pool {
	return &Pool{clock: clock, dial: dial, dialTimeout: dialTimeout, idleTimeout: idleTimeout, idle: map[string][]*connection{}, open: map[string]int{}}
}

// ConnectionLimitError says that as many connections are open to an engine as this router may hold.
type ConnectionLimitError struct{ Limit int }

func (b ConnectionLimitError) Error() string {
	return fmt.Sprintf("%d connections are open, which is this router's part", b.Limit)
}

// acquire gives an idle connection that is alive, or opens one.
func (p *Pool) acquire(ctx context.Context, address string, bound int) (*connection, error) {
	for {
		kept := p.pop(address)
		if kept == nil {
			break
		}
		if (kept.closesAt == 0 || p.clock.Now() < kept.closesAt) && kept.isAlive() {
			return kept, nil
		}
		p.discard(kept)
	}
	p.lock.Lock()
	if bound > 0 && p.open[address] >= bound {
		p.lock.Unlock()
		return nil, NotWrittenError{ConnectionLimitError{bound}}
	}
	p.open[address]++
	p.opened++
	p.lock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout.Duration())
	defer cancel()
	made, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.lock.Lock()
		p.countClosed(address)
		p.lock.Unlock()
		return nil, NotWrittenError{err}
	}
	return newConnection(made, address), nil
}

func (p *Pool) pop(address string) *connection {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	// The newest: the engine has just shown that it keeps it, and the others may rest out.
	kept := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return kept
}

// countClosed counts a connection as closed.
func (p *Pool) countClosed(address string) {
	p.invariants.Check(invariant.ConnectionsBalanced, p.open[address] > len(p.idle[address]), "%d connections to %s are open and %d idle, and one more is closed",
		p.open[address], address, len(p.idle[address]))
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// discard closes a connection for good.
func (p *Pool) discard(c *connection) {
	p.lock.Lock()
	p.countClosed(c.address)
	p.lock.Unlock()
	c.net.Close()
}

// release takes a connection back after a whole answer, if the engine goes on with it.
func (p *Pool) release(c *connection, response *http.Response) {
	now := p.clock.Now()
	rest := p.idleTimeout
	if seconds, isSaid := keepAliveTimeout(response.Header); isSaid {
		// A margin for the way: what arrives as the engine closes is lost.
		rest = min(rest, max(kernel.Micros(seconds)*kernel.Second-kernel.Second/2, 0))
	}
	if response.Close || rest == 0 || c.reader.Buffered() > 0 {
		p.discard(c)
		return
	}
	c.idleAt, c.closesAt = now, now+rest
	c.uses++
	p.lock.Lock()
	defer p.lock.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// keepAliveTimeout reads the time for which an engine keeps an idle connection.
func keepAliveTimeout(header http.Header) (seconds int, isSaid bool) {
	for _, line := range header.Values("Keep-Alive") {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if strings.EqualFold(name, "timeout") {
				if whole, err := strconv.Atoi(value); err == nil && whole >= 0 {
					return whole, true
				}
			}
		}
	}
	return 0, false
}

// Sweep closes idle connections that have rested out or were closed by the engine, and
// all to addresses that are no engine's any more.
func (p *Pool) Sweep(isWanted func(address string) bool) {
	now := p.clock.Now()
	var over []*connection
	p.lock.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now >= c.closesAt || !isWanted(address) || !c.isAlive() {
				over = append(over, c)
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	for _, c := range over {
		p.countClosed(c.address)
	}
	p.lock.Unlock()
	for _, c := range over {
		c.net.Close()
	}
}

// Opened is how many connections have been made.
func (p *Pool) Opened() uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.opened
}

// writeMessage puts a request for an engine together: the caller's method, target, headers
// and body as they came, with a length, and with the headers that are set anew.
func writeMessage(to *bytes.Buffer, r *http.Request, body []byte, anew http.Header) error {
	to.Reset()
	fmt.Fprintf(to, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	dropped := relay.ConnectionHeaders(r.Header)
	skip := map[string]bool{"Content-Length": true, "Expect": true, "Host": true}
	for name := range dropped {
		skip[name] = true
	}
	for name := range anew {
		skip[name] = true
	}
	if err := r.Header.WriteSubset(to, skip); err != nil {
		return err
	}
	if err := anew.Write(to); err != nil {
		return err
	}
	if len(body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(to, "Content-Length: %d\r\n", len(body))
	}
	to.WriteString("\r\n")
	to.Write(body)
	return nil
}

// PlainDialer opens connections that notice a peer which has gone silent.
func PlainDialer(timeout kernel.Micros) Dialer {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		made, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, isTCP := made.(*net.TCPConn); isTCP && timeout > 0 {
			control, err := tcp.SyscallConn()
			if err == nil {
				err = control.Control(func(descriptor uintptr) {
					unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/kernel.Millisecond))
				})
			}
			if err != nil {
				made.Close()
				return nil, err
			}
		}
		return made, nil
	}
}

// releaseUnused takes back a connection on which nothing was sent.
func (p *Pool) releaseUnused(c *connection) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if c.closesAt == 0 {
		c.closesAt = p.clock.Now() + p.idleTimeout
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}
