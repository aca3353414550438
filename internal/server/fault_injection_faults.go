//go:build faults

package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunlinloom/internal/kernel"
)

// BuildNote is a suffix of the printed version that marks a build with fault injection.
const BuildNote = " (with faults)"

// cutError reports that fault injection cuts the link.
type cutError struct{ link string }

func (b cutError) Error() string { return "link cut by fault injection: " + b.link }

// faultsFile caches the content of the fault injection file.
type faultsFile struct {
	lock      sync.Mutex // guards the fields below
	readAt    time.Time
	injection FaultInjection
}

var injected faultsFile

// current returns the content of the file, which it reads again if the cached content is older than 20 ms. A missing file
// means no faults.
func (l *faultsFile) current() FaultInjection {
	l.lock.Lock()
	defer l.lock.Unlock()
	// The file is read often enough that a new fault takes effect within a heartbeat interval.
	if time.Since(l.readAt) > 20*time.Millisecond {
		l.readAt, l.injection = time.Now(), FaultInjection{}
		if content, err := os.ReadFile(os.Getenv(EnvFaults)); err == nil {
			// The file may be incomplete while it is being written, so the next call reads it again.
			if err := json.Unmarshal(content, &l.injection); err != nil {
				l.readAt = time.Time{}
			}
		}
	}
	return l.injection
}

// linkFault returns the name "FROM>TO" of the link from this process to a peer address, and the fault injected into it.
func linkFault(to string) (string, LinkFault) {
	name := os.Getenv(EnvSelf) + ">" + to
	list := injected.current()
	found, isThere := list.Links[name]
	if !isThere {
		found = list.Links["*"]
	}
	return name, found
}

// checkCut returns a cutError if the link from this process to a peer address is cut.
func checkCut(to string) error {
	if name, found := linkFault(to); found.IsCut {
		return cutError{name}
	}
	return nil
}

// fault draws the effect of the injected link fault: how many copies of a message to send, 0 for a lost one, and by how
// much to delay the next batch.
func fault(to string) (copies int, delay time.Duration) {
	_, found := linkFault(to)
	copies = 1
	if rand.Float64() < found.Loss {
		copies = 0
	} else if rand.Float64() < found.Double {
		copies = 2
	}
	if found.DelayUS > 0 {
		delay = time.Duration(rand.Int64N(found.DelayUS)) * time.Microsecond
	}
	return copies, delay
}

// cutConnection is a connection whose writes fail while its link is cut.
type cutConnection struct {
	net.Conn
	to string
}

func (c *cutConnection) Write(chunk []byte) (int, error) {
	if err := checkCut(c.to); err != nil {
		return 0, err
	}
	return c.Conn.Write(chunk)
}

// peerDialer returns a dialer whose connections fail while their link is cut.
func peerDialer() Dialer {
	plain := connectionDialer()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := checkCut(address); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		connection, err := plain(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutConnection{connection, address}, nil
	}
}

// faultFolder is a data folder with injected delays, stalls and full disks. While a write is in progress, the previous
// content is kept in a second folder next to it. A local fleet run simulates a power loss with it: it kills the process
// and restores what unfinished writes have replaced.
type faultFolder struct {
	kernel.Folder
	undo string
}

func openData(path string) (kernel.Folder, error) {
	if _, err := awaitDisk("open", path); err != nil {
		return nil, err
	}
	folder, err := kernel.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	undo := path + UndoSuffix
	if err := os.MkdirAll(undo, 0o755); err != nil {
		return nil, kernel.DiskError{Op: "make", Name: undo, Cause: err}
	}
	return &faultFolder{folder, undo}, nil
}

// awaitDisk waits while this process's disk stalls or is slow, and returns its fault, or a DiskError if it is refused.
func awaitDisk(operation, name string) (DiskFault, error) {
	self := os.Getenv(EnvSelf)
	for injected.current().Disks[self].IsStalled {
		time.Sleep(10 * time.Millisecond)
	}
	disk := injected.current().Disks[self]
	time.Sleep(time.Duration(disk.SlowUS) * time.Microsecond)
	if disk.IsRefused {
		return disk, kernel.DiskError{Op: operation, Name: name, Cause: syscall.EIO}
	}
	return disk, nil
}

func (f *faultFolder) Get(name string) ([]byte, error) {
	if _, err := awaitDisk("read", name); err != nil {
		return nil, err
	}
	return f.Folder.Get(name)
}

func (f *faultFolder) List(prefix string) ([]string, error) {
	if _, err := awaitDisk("list", prefix); err != nil {
		return nil, err
	}
	return f.Folder.List(prefix)
}

func (f *faultFolder) Rename(from, to string) error {
	if _, err := awaitDisk("rename", from); err != nil {
		return err
	}
	return f.Folder.Rename(from, to)
}

func (f *faultFolder) Remove(name string) error {
	if _, err := awaitDisk("remove", name); err != nil {
		return err
	}
	return f.Folder.Remove(name)
}

func (f *faultFolder) Put(name string, content []byte) error {
	disk, err := awaitDisk("write", name)
	if err != nil {
		return err
	}
	if disk.IsFull {
		return kernel.DiskError{Op: "write", Name: name, Cause: syscall.ENOSPC}
	}
	kept := filepath.Join(f.undo, name)
	if old, err := f.Folder.Get(name); err == nil {
		if err := os.WriteFile(kept, old, 0o644); err != nil {
			return kernel.DiskError{Op: "back up", Name: name, Cause: err}
		}
	} else if err := os.WriteFile(kept+UndoAbsent, nil, 0o644); err != nil {
		return kernel.DiskError{Op: "back up", Name: name, Cause: err}
	}
	return errors.Join(f.Folder.Put(name, content), removeUndo(kept), removeUndo(kept+UndoAbsent))
}

// removeUndo removes the saved previous content once the write has returned. If it stayed, a simulated power loss would
// revert a synced write, so a failure is returned as a disk error.
func removeUndo(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return kernel.DiskError{Op: "remove", Name: path, Cause: err}
	}
	return nil
}
