package simulator

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"dunlinloom/checker"
	"dunlinloom/emulator"
	"dunlinloom/fleetconfig"
	"dunlinloom/kernel"
	"dunlinloom/router"
)

// callerConn is a caller's connection to a router.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	isKept bool // it served a request before
}

// ask is one request that a caller wants answered.
type ask struct {
	kind       *RoutedKind
	id         string
	prompt     int
	out        int
	parts      string
	body       []byte
	isChunked  bool
	from       int
	opensAnew  bool
	routerTurn int
	until      kernel.Micros
}

// keepCalling sends requests of one kind at its rate.
func (f *routedFleet) keepCalling(number int, end kernel.Micros) {
	kind := &f.deal.Kinds[number]
	random := rand.New(rand.NewPCG(f.plan.Seed, uint64(number)+100))
	begun := f.clock.Now()
	for count := 0; ; count++ {
		f.lock.Lock()
		rate := kind.Rate * f.factor
		f.lock.Unlock()
		if f.plan.Load != nil {
			rate *= f.plan.Load(float64(f.clock.Now()-begun) / float64(end-begun))
		}
		pause := kernel.Micros(random.ExpFloat64() / max(rate, 0.01) * float64(sec))
		if f.clock.Now()+pause >= end {
			return
		}
		timer := time.NewTimer(pause.Duration())
		<-timer.C
		asked := newAsk(random, kind, f.strideOf(kind), fmt.Sprintf("%s-%d", kind.Route.Name, count))
		f.calls.Go(func() { f.insist(asked) })
	}
}

// spread draws about a mean.
func spread(random *rand.Rand, mean int) int { return max(mean/2+random.IntN(mean+1), 1) }

// strideOf is how many tokens an event of a kind's streams holds.
func (f *routedFleet) strideOf(kind *RoutedKind) int {
	for _, service := range f.deal.Services {
		if service.Name == kind.Route.Splits[0].Service {
			return max(service.Stride, 1)
		}
	}
	return 1
}

func newAsk(random *rand.Rand, kind *RoutedKind, stride int, id string) ask {
	prefix := int(float64(kind.Prefixes) * random.Float64() * random.Float64()) // some are asked for more
	shared := kind.Shared/2 + kind.Shared*(prefix%7)/7
	own := spread(random, kind.Own)
	asked := ask{kind: kind, id: id, prompt: kind.Common + shared + own, out: spread(random, kind.Out), isChunked: random.IntN(4) == 0,
		opensAnew: random.IntN(3) == 0, routerTurn: random.IntN(1 << 20), body: make([]byte, spread(random, kind.Body))}
	if shared > 0 {
		asked.parts = fmt.Sprintf("%s%d:%d,%s:%d", kind.Route.Name, prefix, shared, id, own)
	} else {
		asked.parts = fmt.Sprintf("%s:%d", id, own)
	}
	if kind.Common > 0 {
		asked.parts = fmt.Sprintf("%s:%d,", kind.Route.Name, kind.Common) + asked.parts
	}
	for i := range asked.body {
		asked.body[i] = 'a' + byte(random.IntN(26))
	}
	if kind.Route.IsResumable && random.IntN(10) == 0 && asked.out > 3*stride {
		asked.from = 1 + random.IntN(2) // a stream that was cut before
	}
	return asked
}

// insist tries again as callers do: after a promise, or whatever may be repeated.
func (f *routedFleet) insist(asked ask) {
	asked.until = f.clock.Now() + asked.kind.Deadline
	id := asked.id
	for try := 0; ; try++ {
		asked.id = fmt.Sprintf("%s.%d", id, try)
		over, pause := f.try(asked)
		f.note(over)
		isPromise := over.Ended == checker.Whole && (over.Status == 429 || over.Status == 503)
		isFailure := asked.kind.Route.IsRepeatable() && (over.Ended != checker.Whole || over.Status >= 500)
		if try >= asked.kind.Further || over.Ended == checker.LeftIt || !isPromise && !isFailure {
			return
		}
		if f.clock.Now()+pause >= asked.until {
			return
		}
		timer := time.NewTimer(pause.Duration())
		<-timer.C
		asked.opensAnew = true
		asked.routerTurn++
	}
}

// route picks the router that the platform would lead a caller to.
func (f *routedFleet) route(turn int) *routedRouter {
	f.lock.Lock()
	defer f.lock.Unlock()
	ready := []*routedRouter{}
	for _, router := range f.routers {
		if !router.isDown && !router.isLeaving {
			ready = append(ready, router)
		}
	}
	if len(ready) == 0 {
		ready = f.routers
	}
	return ready[turn%len(ready)]
}

// connect gives a kept connection or a new one.
func (f *routedFleet) connect(router *routedRouter, opensAnew bool) (*callerConn, error) {
	if !opensAnew {
		f.lock.Lock()
		if list := f.kept[router.name]; len(list) > 0 {
			conn := list[len(list)-1]
			f.kept[router.name] = list[:len(list)-1]
			f.lock.Unlock()
			conn.isKept = true
			return conn, nil
		}
		f.lock.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	made, err := f.network.Dial(ctx, "tcp", router.name)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: made, reader: bufio.NewReader(made)}, nil
}

// try sends one request and tells what came, and when to come again.
func (f *routedFleet) try(asked ask) (checker.RoutedEvent, kernel.Micros) {
	route := asked.kind.Route
	wire := router.DefaultWire()
	router := f.route(asked.routerTurn)
	target := route.Prefix + "x?q=" + asked.id
	f.lock.Lock()
	services := append([]string(nil), f.services[route.Name]...)
	f.lock.Unlock()
	sent := checker.RoutedEvent{
		What: checker.TrySent, ID: asked.id, Kind: route.Name, Router: router.name, Digest: emulator.Digest("POST", target, asked.body),
		IsRepeatable: route.IsRepeatable(), IsResumable: route.IsResumable, IsStream: route.Kind == fleetconfig.Stream, Services: services,
		From: asked.from, Until: asked.until, Tries: max(route.Tries, 1),
	}
	over := checker.RoutedEvent{What: checker.TryOver, ID: asked.id, Kind: route.Name, Router: router.name}
	conn, err := f.connect(router, asked.opensAnew)
	if err != nil {
		f.note(sent)
		over.Ended, over.Why = checker.Nothing, err.Error()
		return over, 100 * ms
	}
	left := max((asked.until-f.clock.Now())/ms, 1)
	var message bytes.Buffer
	fmt.Fprintf(&message, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d,%d\r\n%s: %s\r\n", target, route.Host,
		wire.RequestID, asked.id, wire.Deadline, left, wire.Tokens, asked.prompt, asked.out, wire.Prefix, asked.parts)
	if sent.IsStream {
		message.WriteString("Accept: text/event-stream\r\n")
	}
	if asked.from > 0 {
		fmt.Fprintf(&message, "%s: %d\r\n", wire.LastEvent, asked.from)
	}
	if half := len(asked.body) / 2; asked.isChunked && half > 0 {
		fmt.Fprintf(&message, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, asked.body[:half], len(asked.body)-half, asked.body[half:])
	} else {
		fmt.Fprintf(&message, "Content-Length: %d\r\n\r\n%s", len(asked.body), asked.body)
	}
	f.note(sent)
	if _, err := conn.Write(message.Bytes()); err != nil {
		conn.Close()
		over.Ended, over.Why = checker.Nothing, err.Error()
		return over, 50 * ms
	}
	conn.SetReadDeadline(time.Now().Add((asked.until - f.clock.Now() + 600*ms).Duration()))
	pause, canKeep := f.receive(conn, asked, &over)
	if canKeep && conn.reader.Buffered() == 0 {
		conn.SetReadDeadline(time.Time{})
		f.lock.Lock()
		f.kept[router.name] = append(f.kept[router.name], conn)
		f.lock.Unlock()
		return over, pause
	}
	if canKeep && conn.reader.Buffered() > 0 {
		over.Ended, over.Why = checker.Garbage, "bytes after the answer"
	}
	conn.Close()
	return over, pause
}

// receive reads one answer.
func (f *routedFleet) receive(conn *callerConn, asked ask, over *checker.RoutedEvent) (pause kernel.Micros, canKeep bool) {
	wire := router.DefaultWire()
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: "POST"})
	if err != nil {
		over.Ended, over.Why = endOf(err, checker.Nothing), err.Error()
		return 50 * ms, false
	}
	over.Status, over.Run, over.GotID = response.StatusCode, response.Header.Get(wire.Stamp), response.Header.Get(wire.RequestID)
	if text := response.Header.Get("Retry-After"); text != "" {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil {
			pause = kernel.Micros(seconds * float64(sec))
		}
	}
	isStream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	over.IsOwn = true
	if isStream && over.Status == http.StatusOK {
		err = f.receiveEvents(response.Body, over)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		want := emulator.ModelBody(over.Run, asked.out)
		if over.Status != http.StatusOK {
			want = emulator.ModelFailure(over.Run)
		}
		if over.Run != "" && (!bytes.HasPrefix(want, body) || err == nil && len(body) != len(want)) {
			over.IsOwn, over.Why = false, fmt.Sprintf("%.60q", body)
		}
	}
	if err != nil {
		over.Ended = endOf(err, checker.Broken)
		if over.Why == "" {
			over.Why = err.Error()
		}
		return 50 * ms, false
	}
	over.Ended = checker.Whole
	return pause, !response.Close
}

// receiveEvents reads a stream's events as they come.
func (f *routedFleet) receiveEvents(body io.Reader, over *checker.RoutedEvent) error {
	var pending []byte
	buffer := make([]byte, 4096)
	for {
		count, err := body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		for {
			end := bytes.Index(pending, []byte("\n\n"))
			if end < 0 {
				break
			}
			piece, isOwn := emulator.ReadModelEvent(pending[:end+2])
			if !isOwn {
				over.IsOwn, over.Why = false, fmt.Sprintf("%.80q", pending[:end+2])
			}
			if len(over.Pieces) == 0 {
				over.FirstAt = f.clock.Now()
			}
			over.Pieces = append(over.Pieces, piece)
			pending = pending[end+2:]
		}
		switch {
		case err == io.EOF && len(pending) > 0:
			over.IsOwn, over.Why = false, fmt.Sprintf("half an event at the end: %.80q", pending)
			return nil
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// endOf tells an answer that broke off from bytes that are none.
func endOf(err error, otherwise checker.Ended) checker.Ended {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return checker.LeftIt
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, new(*net.OpError)), isErrno(err):
		return otherwise
	}
	return checker.Garbage
}
