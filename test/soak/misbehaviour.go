package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/routedcaller"
)

// misbehaveInterval is the mean time between two misbehaving callers.
const misbehaveInterval = 300 * ms

// misbehaviours are the ways in which such callers use a new connection. They send no complete valid request, so no
// engine may run anything of theirs.
var misbehaviours = []func(ctx context.Context, connection net.Conn, request routedcaller.Request){
	sendPartialBody, trickleHeader, sendGarbage, holdIdleConnection, neverRead, sendConflictingLengths, omitRequestID,
}

// misbehave starts misbehaving callers at random intervals until the context ends.
func (f *fleet) misbehave(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 900))
	kind := &kinds()[2]
	for count := 0; ; count++ {
		if !pause(ctx, kernel.Micros(random.ExpFloat64()*float64(misbehaveInterval))) {
			return
		}
		request := routedcaller.NewRequest(random, kind, 1, fmt.Sprintf("bad-%d", count))
		act := misbehaviours[random.IntN(len(misbehaviours))]
		n := f.anyNode()
		f.work.Go(func() {
			connection, err := f.dial(n.address(portCallers))
			if err != nil {
				return
			}
			defer closeQuietly(connection)
			act(ctx, connection, request)
		})
	}
}

// write sends a text and reports whether all of it was sent.
func write(connection net.Conn, text string) bool {
	if err := connection.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
		return false
	}
	_, err := connection.Write([]byte(text))
	return err == nil
}

func sendPartialBody(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	request.IsChunked = false
	message := string(request.Message(platform.Wire(), 4*kernel.Second))
	if write(connection, message[:len(message)-len(request.Body)/2-1]) {
		pause(ctx, 6*kernel.Second)
	}
}

func trickleHeader(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	message := string(request.Message(platform.Wire(), 4*kernel.Second))
	for _, letter := range message[:40] {
		if !write(connection, string(letter)) || !pause(ctx, 200*ms) {
			return
		}
	}
}

func sendGarbage(ctx context.Context, connection net.Conn, _ routedcaller.Request) {
	if write(connection, strings.Repeat("\x00\xff garbage \r\n", 200)) {
		pause(ctx, 200*ms)
	}
}

func holdIdleConnection(ctx context.Context, _ net.Conn, _ routedcaller.Request) {
	pause(ctx, 8*kernel.Second)
}

// neverRead pipelines many requests on a route that does not exist, and reads no response.
func neverRead(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	for range 500 {
		head := fmt.Sprintf("GET /nowhere/%s HTTP/1.1\r\nHost: nowhere.example\r\n%s: %s\r\n\r\n", request.ID, platform.Wire().RequestID, request.ID)
		if !write(connection, head) {
			break
		}
	}
	pause(ctx, 5*kernel.Second)
}

// omitRequestID sends a request without the request id header, which no engine may receive.
func omitRequestID(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	message := strings.Replace(string(request.Message(platform.Wire(), 4*kernel.Second)), platform.Wire().RequestID, "X-Nothing", 1)
	if write(connection, message) {
		pause(ctx, kernel.Second)
	}
}

// sendConflictingLengths attempts to smuggle a request inside another one's body. The outer request has both a content
// length, by which the inner request is part of its body, and chunked encoding, by which the inner request follows it.
func sendConflictingLengths(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	inner := string(request.Message(platform.Wire(), 4*kernel.Second))
	const lastChunk = "0\r\n\r\n"
	outer := fmt.Sprintf("POST /nowhere/ HTTP/1.1\r\nHost: nowhere.example\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s%s",
		len(lastChunk)+len(inner), lastChunk, inner)
	if write(connection, outer) {
		pause(ctx, kernel.Second)
	}
}
