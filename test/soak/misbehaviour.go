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

// misbehaveInterval is the mean time between two callers that misbehave.
const misbehaveInterval = 300 * ms

// misbehaviours are what such callers do with a new connection. What they send is no whole request, so
// no engine may run it.
var misbehaviours = []func(ctx context.Context, connection net.Conn, request routedcaller.Request){
	sendHalfABody, trickleAHead, sendGarbage, openAndRest, neverRead, sendTwoLengths, nameNothing,
}

// misbehave has callers do what they should not, one after another.
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

// write sends what it can; how far that got makes no difference to who misbehaves.
func write(connection net.Conn, text string) bool {
	if err := connection.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
		return false
	}
	_, err := connection.Write([]byte(text))
	return err == nil
}

func sendHalfABody(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	request.IsChunked = false
	message := string(request.Message(platform.Wire(), 4*kernel.Second))
	if write(connection, message[:len(message)-len(request.Body)/2-1]) {
		pause(ctx, 6*kernel.Second)
	}
}

func trickleAHead(ctx context.Context, connection net.Conn, request routedcaller.Request) {
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

func openAndRest(ctx context.Context, _ net.Conn, _ routedcaller.Request) {
	pause(ctx, 8*kernel.Second)
}

// neverRead asks for a long answer on a route that does not exist, again and again, and reads nothing.
func neverRead(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	for range 500 {
		head := fmt.Sprintf("GET /nowhere/%s HTTP/1.1\r\nHost: nowhere.example\r\n%s: %s\r\n\r\n", request.ID, platform.Wire().RequestID, request.ID)
		if !write(connection, head) {
			break
		}
	}
	pause(ctx, 5*kernel.Second)
}

// nameNothing sends a request without an id, which no engine may get.
func nameNothing(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	message := strings.Replace(string(request.Message(platform.Wire(), 4*kernel.Second)), platform.Wire().RequestID, "X-Nothing", 1)
	if write(connection, message) {
		pause(ctx, kernel.Second)
	}
}

// sendTwoLengths hides a request in another one's body: by the length it is a part of it, by the chunks
// a request that follows.
func sendTwoLengths(ctx context.Context, connection net.Conn, request routedcaller.Request) {
	inner := string(request.Message(platform.Wire(), 4*kernel.Second))
	const lastChunk = "0\r\n\r\n"
	outer := fmt.Sprintf("POST /nowhere/ HTTP/1.1\r\nHost: nowhere.example\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s%s",
		len(lastChunk)+len(inner), lastChunk, inner)
	if write(connection, outer) {
		pause(ctx, kernel.Second)
	}
}
