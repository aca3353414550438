package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"dunlinloom/internal/kernel"
)

// connection is one connection to an engine; net/http encodes and parses the messages on it. An http.Transport is not
// used because it hides what was written: it resends a request on its own, and it takes a late response for the
// response to the next request.
type connection struct {
	net      net.Conn
	input    *io.LimitedReader // limits what the reader may still read from the connection
	reader   *bufio.Reader
	address  string
	closesAt kernel.Micros // when the engine is expected to close it; zero: unknown
	uses     int           // requests whose responses were read to their end on this connection
}

const (
	// maxMismatchedResponses is the number of responses to other requests that are skipped before the expected one.
	maxMismatchedResponses = 4
	// maxHeadBytes limits the head of a response, including interim responses before it.
	maxHeadBytes = 64 << 10
	// readerBufferBytes is the size of a connection's read buffer.
	readerBufferBytes = 2048
)

// newConnection takes over a connection that was just opened. Whenever it is closed, it is reset, so that a request that is
// given up reaches its engine at once or never.
func newConnection(dialed net.Conn, address string) *connection {
	kernel.ResetOnClose(dialed)
	input := &io.LimitedReader{R: dialed, N: math.MaxInt64}
	return &connection{net: dialed, input: input, reader: bufio.NewReaderSize(input, readerBufferBytes), address: address}
}

// interrupt ends all pending reads and writes. SetDeadline fails only on a closed connection.
func (c *connection) interrupt() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

// close closes the connection. The error is dropped: nothing more is read, and a request counts as served only by its
// response.
func (c *connection) close() { _ = c.net.Close() }

// NotWrittenError says that no byte of a request was written, so that the request may be sent elsewhere.
type NotWrittenError struct{ Cause error }

func (e NotWrittenError) Error() string {
	return fmt.Sprintf("no byte of the request was written: %v", e.Cause)
}

// Unwrap returns the cause.
func (e NotWrittenError) Unwrap() error { return e.Cause }

// ExchangeError says that an exchange failed in a step after bytes were written, so the request may have run.
type ExchangeError struct {
	Step  string
	Cause error
}

func (e ExchangeError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Cause) }

// Unwrap returns the cause.
func (e ExchangeError) Unwrap() error { return e.Cause }

// mismatchedResponseError says that a response belongs to another request, or has no ID on a reused connection.
type mismatchedResponseError struct{ id string }

func (e mismatchedResponseError) Error() string {
	if e.id == "" {
		return "the response has no request ID, and the connection was used before"
	}
	return "the response belongs to request " + strconv.Quote(e.id)
}

// invalidStatusError says that a response has a status that HTTP does not know, and that can't be passed on.
type invalidStatusError struct{ status int }

func (e invalidStatusError) Error() string {
	return fmt.Sprintf("the engine sent the invalid status %03d", e.status)
}

// protocolSwitchError says that an engine switched protocols although no request asks for that.
type protocolSwitchError struct{}

func (protocolSwitchError) Error() string { return "the engine switched protocols" }

// isAlive reports whether an idle connection may be reused: the engine has not closed it, and no bytes have arrived,
// which would belong to no pending request.
func (c *connection) isAlive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tcp, isTCP := c.net.(*net.TCPConn); isTCP {
		control, err := tcp.SyscallConn()
		if err != nil {
			return false
		}
		isIdle := false
		var peeked [1]byte
		err = control.Read(func(descriptor uintptr) bool {
			_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			isIdle = errors.Is(err, unix.EAGAIN)
			return true
		})
		return err == nil && isIdle
	}
	return true
}

// exchange writes a request and reads the head of its response. The error is a NotWrittenError or an ExchangeError. The
// caller has to close the response's body. If it has not read the body to its end, it has to close the connection
// first, since closing the body would read the rest.
func (c *connection) exchange(message []byte, method, id, idHeader string) (*http.Response, error) {
	written, errWrite := c.net.Write(message)
	if errWrite != nil && written == 0 {
		return nil, NotWrittenError{errWrite}
	}
	response, err := c.readHead(method, id, idHeader)
	if errWrite == nil {
		return response, err
	}
	// An engine may reject a request and close the connection before it has read all of the request. So its response
	// counts although the write failed.
	if err != nil {
		return nil, ExchangeError{"write the request", errWrite}
	}
	response.Close = true
	return response, nil
}

// readHead reads the head of the response to a request. It skips responses to other requests that come first, since an
// engine may send a second, late response.
func (c *connection) readHead(method, id, idHeader string) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.input.N = maxHeadBytes
	defer func() { c.input.N = math.MaxInt64 }()
	for skipped := 0; ; skipped++ {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, ExchangeError{"read the response head", err}
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, ExchangeError{"read the response head", protocolSwitchError{}}
		}
		if response.StatusCode < http.StatusContinue {
			return nil, ExchangeError{"read the response head", invalidStatusError{response.StatusCode}}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		respondedID, isMatch := c.matchRequest(response, id, idHeader)
		if isMatch {
			return response, nil
		}
		// After a response without an ID nothing more is read: it may have been the response to this request. A body
		// that only the end of the connection delimits can't be skipped either.
		if respondedID == "" || skipped >= maxMismatchedResponses || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, ExchangeError{"read the response head", mismatchedResponseError{respondedID}}
		}
		c.input.N = math.MaxInt64
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, ExchangeError{"skip a mismatched response", err}
		}
		c.input.N = maxHeadBytes
	}
}

// matchRequest returns the request ID that a response has, and reports whether that is the expected one. A response
// without an ID matches only on a connection that has carried no other request; on a reused one it may be a second
// response to an earlier request.
func (c *connection) matchRequest(response *http.Response, id, idHeader string) (respondedID string, isMatch bool) {
	ids := response.Header.Values(idHeader)
	if len(ids) == 0 || id == "" {
		return "", c.uses == 0
	}
	for _, respondedID := range ids {
		if respondedID != id {
			return respondedID, false
		}
	}
	return id, true
}
