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

// Pool keeps idle connections to engines. Its methods may be called from any goroutine; its one lock guards
// the table and is held for no call that waits.
type Pool struct {
	clock       kernel.Clock
	dial        Dialer
	dialTimeout kernel.Micros // in which a connection has to come up
	idleTimeout kernel.Micros // how long one may idle where the engine says nothing
	lock        sync.Mutex
	idle        map[string][]*connection // by address
	open        map[string]int           // idle and busy, by address
	opened      uint64                   // connections made
	invariants  *invariant.Monitor
}

// NewPool makes an empty pool. A connection has to come up within dialTimeout; it may idle for idleTimeout
// where its engine asks for no less.
func NewPool(clock kernel.Clock, dial Dialer, dialTimeout, idleTimeout kernel.Micros) *Pool {
	return &Pool{clock: clock, dial: dial, dialTimeout: dialTimeout, idleTimeout: idleTimeout, idle: map[string][]*connection{}, open: map[string]int{}}
}

// ConnectionLimitError says that as many connections are open to an engine as this router may open.
type ConnectionLimitError struct{ Limit int }

func (e ConnectionLimitError) Error() string {
	return fmt.Sprintf("%d connections are open, which is this router's part", e.Limit)
}

// acquire gives an idle connection that is alive, or opens one. limit is the most that may be open to the
// address, zero: any number. The error is a NotWrittenError, of a ConnectionLimitError or of the dialer's.
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

// countOpened counts a connection that is about to be opened, if the limit leaves room for it.
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

// pop takes out an idle connection; nil: there is none.
func (p *Pool) pop(address string) *connection {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	// The newest: the engine has just shown that it keeps it, and the others may time out.
	newest := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return newest
}

// keepAliveMargin is how long before an engine's own time-out a connection is no longer used.
const keepAliveMargin = kernel.Second / 2

// release takes a connection back after a complete answer, if the engine keeps it open.
func (p *Pool) release(c *connection, response *http.Response) {
	now := p.clock.Now()
	idleTimeout := p.idleTimeout
	if seconds, isSaid := keepAliveTimeout(response.Header); isSaid {
		// A margin for the way: what arrives as the engine closes is lost.
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

// releaseUnused takes back a connection on which nothing was sent.
func (p *Pool) releaseUnused(c *connection) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if c.closesAt == 0 {
		c.closesAt = p.clock.Now() + p.idleTimeout
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// keepAliveTimeout reads the time in seconds for which an engine keeps an idle connection.
func keepAliveTimeout(header http.Header) (seconds int, isSaid bool) {
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

// discard closes a connection for good.
func (p *Pool) discard(c *connection) {
	p.lock.Lock()
	p.countClosed(c.address)
	p.lock.Unlock()
	c.close()
}

// countClosed counts a connection as closed.
func (p *Pool) countClosed(address string) {
	p.invariants.Check(invariant.ConnectionsBalanced, p.open[address] > len(p.idle[address]), "%d connections to %s are open and %d idle, and one more is closed",
		p.open[address], address, len(p.idle[address]))
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Sweep closes idle connections that have timed out or were closed by the engine, and
// all to addresses that no engine has any more.
func (p *Pool) Sweep(isWanted func(address string) bool) {
	for _, expired := range p.takeExpired(isWanted) {
		expired.close()
	}
}

// takeExpired takes out the idle connections that Sweep closes.
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

// Opened is how many connections have been opened, or tried to, since the start.
func (p *Pool) Opened() uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.opened
}
