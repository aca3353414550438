// Package localport reserves loopback ports for tests that start a program at an address that other programs have to
// know in advance.
//
// A test that asks the system for a free port and releases it before use may lose it to another process. A reservation
// keeps the port: a socket stays bound to it without listening. The system then assigns the port neither to listeners
// on port 0 nor to outgoing connections, and it refuses connections until a program listens there. A program may
// listen on the port by its number any number of times, because both sockets set SO_REUSEADDR (package net sets it for
// every listener).
package localport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// host is the address on which ports are reserved.
const host = "127.0.0.1"

// Error reports which step of a reservation failed.
type Error struct {
	Step  string
	Cause error
}

func (err Error) Error() string { return fmt.Sprintf("reserve a port: %s: %v", err.Step, err.Cause) }

// Unwrap returns the system's error.
func (err Error) Unwrap() error { return err.Cause }

// Reservation is a port that the system assigns to no other socket until Close.
type Reservation struct {
	address string
	socket  int
}

// Reserve reserves a free port. It returns errors of type Error.
func Reserve() (*Reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, Error{"open a socket", err}
	}
	reservation, err := bind(socket)
	if err != nil {
		// The error of closing the socket is ignored, because the reservation has already failed.
		_ = syscall.Close(socket)
		return nil, err
	}
	return reservation, nil
}

func bind(socket int) (*Reservation, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, Error{"set SO_REUSEADDR", err}
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, Error{"bind", err}
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return nil, Error{"read the address", err}
	}
	inet4, isInet4 := bound.(*syscall.SockaddrInet4)
	if !isInet4 {
		return nil, Error{"read the address", os.ErrInvalid}
	}
	return &Reservation{net.JoinHostPort(host, strconv.Itoa(inet4.Port)), socket}, nil
}

// Address returns the reserved address as host:port.
func (r *Reservation) Address() string { return r.address }

// Close releases the port.
func (r *Reservation) Close() error {
	if err := syscall.Close(r.socket); err != nil {
		return Error{"close", err}
	}
	return nil
}
