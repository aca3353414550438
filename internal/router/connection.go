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

// connection is one connection to an engine. net/http reads and writes the messages on
// it; that it is ours, and not a Transport's, is what makes sure of what was written: a
// Transport sends a request again by itself, and shows an answer that came late as the
// answer of the next request.
type connection struct {
	net      net.Conn
	input    *io.LimitedReader // what the reader may still take off the connection
	reader   *bufio.Reader
	address  string
	closesAt kernel.Micros // the engine closes it about then; zero: it did not say
	uses     int           // requests that it has carried to the end of their answers
}

const (
	// maxMismatchedResponses is how many answers to other requests may come before the own one.
	maxMismatchedResponses = 4
	// maxHeadBytes is the most that an answer's head may have, interim ones before it included.
	maxHeadBytes = 64 << 10
	// readerBufferBytes is the size of a connection's buffer.
	readerBufferBytes = 2048
)

func newConnection(dialed net.Conn, address string) *connection {
	input := &io.LimitedReader{R: dialed, N: math.MaxInt64}
	return &connection{net: dialed, input: input, reader: bufio.NewReaderSize(input, readerBufferBytes), address: address}
}

// interrupt ends every read and write that is under way. An error is one of a connection that is closed.
func (c *connection) interrupt() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

// close closes the connection. Its error is dropped: nothing is read from it any more, and what was written
// counts only by its answer.
func (c *connection) close() { _ = c.net.Close() }

// NotWrittenError says that not one byte of a request went out, so that it may be sent elsewhere.
type NotWrittenError struct{ Cause error }

func (e NotWrittenError) Error() string { return fmt.Sprintf("not one byte was written: %v", e.Cause) }

// Unwrap gives the cause.
func (e NotWrittenError) Unwrap() error { return e.Cause }

// ExchangeError says that an exchange failed in a step after bytes were written: the request may have run.
type ExchangeError struct {
	Step  string
	Cause error
}

func (e ExchangeError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Cause) }

// Unwrap gives the cause.
func (e ExchangeError) Unwrap() error { return e.Cause }

// mismatchedResponseError says that an answer came that belongs to another request, or to nobody.
type mismatchedResponseError struct{ id string }

func (e mismatchedResponseError) Error() string {
	if e.id == "" {
		return "the answer names no request, and the connection has carried others"
	}
	return "the answer belongs to request " + strconv.Quote(e.id)
}

// protocolSwitchError says that an engine changed to another protocol, which nobody asked for.
type protocolSwitchError struct{}

func (protocolSwitchError) Error() string { return "the engine switched protocols" }

// isAlive reports whether an idle connection may still be used: it is not closed by the engine, and no bytes
// have arrived, which would belong to no request of ours.
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

// exchange writes a request and reads the head of its answer. The error is a NotWrittenError or an
// ExchangeError. The caller closes the body, after the connection unless it was read to its end.
func (c *connection) exchange(message []byte, method, id, idHeader string) (*http.Response, error) {
	written, errWrite := c.net.Write(message)
	if errWrite != nil && written == 0 {
		return nil, NotWrittenError{errWrite}
	}
	response, err := c.readHead(method, id, idHeader)
	if errWrite == nil {
		return response, err
	}
	// An engine may reject a request, and close, before it has read all of it.
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
		answered, isOurs := c.matchRequest(response, id, idHeader)
		if isOurs {
			return response, nil
		}
		// Nothing may be read after one without an id: it may have been ours.
		if answered == "" || stray >= maxMismatchedResponses || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, ExchangeError{"read the head", mismatchedResponseError{answered}}
		}
		c.input.N = math.MaxInt64
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, ExchangeError{"read a stray answer", err}
		}
		c.input.N = maxHeadBytes
	}
}

// matchRequest gives the id that an answer names. isOurs: it is the answer to the request with this id. An answer
// that names none can only be ours on a connection that has carried no other request; on a reused one it
// may as well be a second answer to an earlier request.
func (c *connection) matchRequest(response *http.Response, id, idHeader string) (answered string, isOurs bool) {
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
