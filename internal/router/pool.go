package router

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// Pool keeps idle connections to engines. Its methods may be called from any goroutine. Its one lock guards the maps
// and is never held during a blocking call.
type Pool struct {
	clock       kernel.Clock
	dial        Dialer
	dialTimeout kernel.Micros // limit for opening a connection
	idleTimeout kernel.Micros // how long a connection may idle if its engine sets no limit
	lock        sync.Mutex
	idle        map[string][]*connection // by address
	open        map[string]int           // idle and busy connections, by address
	opened      uint64                   // connections opened so far
	invariants  *invariant.Monitor
}

// NewPool makes an empty pool. A connection has to be opened within dialTimeout. It may stay idle for idleTimeout, or
// for less if its engine asks for that.
func NewPool(clock kernel.Clock, dial Dialer, dialTimeout, idleTimeout kernel.Micros) *Pool {
	return &Pool{clock: clock, dial: dial, dialTimeout: dialTimeout, idleTimeout: idleTimeout, idle: map[string][]*connection{}, open: map[string]int{}}
}

// ConnectionLimitError says that this router has reached its limit of connections to an engine.
type ConnectionLimitError struct{ Limit int }

func (e ConnectionLimitError) Error() string {
	return fmt.Sprintf("this router has reached its limit of %d connections to the engine", e.Limit)
}

// acquire returns an idle connection that is alive, or opens one. limit is the maximum number of connections to the
// address; zero: no limit. The error is a NotWrittenError that wraps a ConnectionLimitError or an error of the dialer.
func (p *Pool) acquire(ctx context.Context, address string, limit int) (*connection, error) {
	for idle := p.pop(address); idle != nil; idle = p.pop(address) {
		if (idle.closesAt == 0 || p.clock.Now() < idle.closesAt) && idle.isAlive() {
			return idle, nil
		}
		p.discard(idle)
	}
	if !p.countOpened(address, limit) {
		return nil, NotWrittenError{ConnectionLimitError{limit}}
	}
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout.Duration())
	defer cancel()
	dialed, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.lock.Lock()
		p.countClosed(address)
		p.lock.Unlock()
		return nil, NotWrittenError{err}
	}
	return newConnection(dialed, address), nil
}

// countOpened counts a connection that is about to be opened, and reports whether the limit allows it.
func (p *Pool) countOpened(address string, limit int) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	p.opened++
	return true
}

// pop removes and returns an idle connection, or returns nil if there is none.
func (p *Pool) pop(address string) *connection {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	// The most recently used connection is the least likely to have been closed by the engine. The others can time out.
	newest := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return newest
}

// keepAliveMargin is how long before the engine's keep-alive timeout a connection is no longer used.
const keepAliveMargin = kernel.Second / 2

// release takes back a connection after a complete response. It keeps the connection for reuse if the engine keeps it
// open.
func (p *Pool) release(c *connection, response *http.Response) {
	now := p.clock.Now()
	idleTimeout := p.idleTimeout
	if seconds, isSet := keepAliveTimeout(response.Header); isSet {
		// The margin covers the latency of the network: a request that arrives as the engine closes would be lost.
		idleTimeout = min(idleTimeout, max(kernel.Micros(seconds)*kernel.Second-keepAliveMargin, 0))
	}
	if response.Close || idleTimeout == 0 || c.reader.Buffered() > 0 {
		p.discard(c)
		return
	}
	c.closesAt = now + idleTimeout
	c.uses++
	p.lock.Lock()
	defer p.lock.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// releaseUnused takes back a connection on which nothing was sent since it was acquired. A new connection may stay idle
// for idleTimeout; one that was idle before keeps its earlier time limit.
func (p *Pool) releaseUnused(c *connection) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if c.closesAt == 0 {
		c.closesAt = p.clock.Now() + p.idleTimeout
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// keepAliveTimeout reads the seconds for which an engine keeps an idle connection open.
func keepAliveTimeout(header http.Header) (seconds int, isSet bool) {
	for _, line := range header.Values("Keep-Alive") {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
				return seconds, true
			}
		}
	}
	return 0, false
}

// discard closes a connection that is not used again.
func (p *Pool) discard(c *connection) {
	p.lock.Lock()
	p.countClosed(c.address)
	p.lock.Unlock()
	c.close()
}

// countClosed counts a connection as closed; the lock is held.
func (p *Pool) countClosed(address string) {
	p.invariants.Check(invariant.ConnectionsBalanced, p.open[address] > len(p.idle[address]), "%d connections to %s are open and %d of them idle, so no busy one can be closed",
		p.open[address], address, len(p.idle[address]))
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Sweep closes idle connections that have timed out or that their engine has closed. It also closes those to an address
// for which isWanted is false, because no engine has it any more. isWanted is called with the pool's lock held.
func (p *Pool) Sweep(isWanted func(address string) bool) {
	for _, expired := range p.takeExpired(isWanted) {
		expired.close()
	}
}

// takeExpired removes and returns the idle connections that Sweep closes.
func (p *Pool) takeExpired(isWanted func(address string) bool) []*connection {
	now := p.clock.Now()
	var expired []*connection
	p.lock.Lock()
	defer p.lock.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now >= c.closesAt || !isWanted(address) || !c.isAlive() {
				expired = append(expired, c)
				continue
			}
			remaining = append(remaining, c)
		}
		clear(list[len(remaining):])
		p.idle[address] = remaining
		if len(remaining) == 0 {
			delete(p.idle, address)
		}
	}
	for _, c := range expired {
		p.countClosed(c.address)
	}
	return expired
}

// Opened returns the number of connections opened so far, including failed attempts to open one.
func (p *Pool) Opened() uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.opened
}
