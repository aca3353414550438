// Package localport reserves ports of this machine for tests and runs that start a program at an address which other
// programs have to know before.
//
// A test that takes a free port from the system and gives it back before it is used may find that another process has
// it by then. A reservation keeps the port: a socket stays bound to it without listening. The system gives it neither
// to who asks for any port nor to outgoing connections, and it refuses connections until somebody listens. A program
// that listens there by its number may, any number of times, as both sockets have SO_REUSEADDR (which package net sets
// for every listener).
package localport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// host is the only address of this machine that is reserved at.
const host = "127.0.0.1"

// Error says which step of a reservation failed.
type Error struct {
	Step  string
	Cause error
}

func (err Error) Error() string { return fmt.Sprintf("reserve a port: %s: %v", err.Step, err.Cause) }

// Unwrap returns the system's error.
func (err Error) Unwrap() error { return err.Cause }

// Reservation is a port that nobody else gets until Close.
type Reservation struct {
	address string
	socket  int
}

// Reserve reserves a free port. Its error is an Error.
func Reserve() (*Reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, Error{"open a socket", err}
	}
	reservation, err := bind(socket)
	if err != nil {
		// The reservation failed already; closing what it opened can add nothing.
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
	internet, isInternet := bound.(*syscall.SockaddrInet4)
	if !isInternet {
		return nil, Error{"read the address", os.ErrInvalid}
	}
	return &Reservation{net.JoinHostPort(host, strconv.Itoa(internet.Port)), socket}, nil
}

// Address is host and port.
func (r *Reservation) Address() string { return r.address }

// Close gives the port back.
func (r *Reservation) Close() error {
	if err := syscall.Close(r.socket); err != nil {
		return Error{"close", err}
	}
	return nil
}
