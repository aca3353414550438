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

// BuildNote marks such a build where it prints its version.
const BuildNote = " (with faults)"

// cutError says that a connection is cut on purpose.
type cutError struct{ way string }

func (b cutError) Error() string { return "cut on purpose: " + b.way }

// faults is the file of faults as it was read last.
type faults struct {
	lock sync.Mutex // guards what follows
	read time.Time
	now  FaultInjection
}

var listed faults

func (l *faults) look() FaultInjection {
	l.lock.Lock()
	defer l.lock.Unlock()
	// Looked at again often enough that a fault falls within a heartbeat.
	if time.Since(l.read) > 20*time.Millisecond {
		l.read, l.now = time.Now(), FaultInjection{}
		if content, err := os.ReadFile(os.Getenv(EnvFaults)); err == nil {
			// Half a file is read again in a moment.
			if err := json.Unmarshal(content, &l.now); err != nil {
				l.read = time.Time{}
			}
		}
	}
	return l.now
}

func way(to string) (string, LinkFault) {
	name := os.Getenv(EnvSelf) + ">" + to
	list := listed.look()
	found, isThere := list.Ways[name]
	if !isThere {
		found = list.Ways["*"]
	}
	return name, found
}

func cutTo(to string) error {
	if name, found := way(to); found.IsCut {
		return cutError{name}
	}
	return nil
}

// fault gives how often a message gets through, and by how much the next batch is late.
func fault(to string) (copies int, delay time.Duration) {
	_, found := way(to)
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

// cutConnection fails once its way is cut.
type cutConnection struct {
	net.Conn
	to string
}

func (c *cutConnection) Write(chunk []byte) (int, error) {
	if err := cutTo(c.to); err != nil {
		return 0, err
	}
	return c.Conn.Write(chunk)
}

func peerDialer() Dialer {
	plain := connectionDialer()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := cutTo(address); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		connection, err := plain(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutConnection{connection, address}, nil
	}
}

// faultFolder slows, stalls or fills a data folder. What a write that has not
// returned would take the place of is kept beside the folder, so that a local fleet run can
// cut the power: it kills the process and puts everything unsynced back.
type faultFolder struct {
	kernel.Folder
	undo string
}

func openData(path string) (kernel.Folder, error) {
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

func (f *faultFolder) Put(name string, content []byte) error {
	self := os.Getenv(EnvSelf)
	for listed.look().Disks[self].IsStalled {
		time.Sleep(10 * time.Millisecond)
	}
	disk := listed.look().Disks[self]
	time.Sleep(time.Duration(disk.SlowUS) * time.Microsecond)
	if disk.IsFull {
		return kernel.DiskError{Op: "write", Name: name, Cause: syscall.ENOSPC}
	}
	kept := filepath.Join(f.undo, name)
	if old, err := f.Get(name); err == nil {
		if err := os.WriteFile(kept, old, 0o644); err != nil {
			return kernel.DiskError{Op: "keep", Name: name, Cause: err}
		}
	} else if err := os.WriteFile(kept+UndoAbsent, nil, 0o644); err != nil {
		return kernel.DiskError{Op: "keep", Name: name, Cause: err}
	}
	return errors.Join(f.Folder.Put(name, content), removeUndo(kept), removeUndo(kept+UndoAbsent))
}

// removeUndo removes what a power cut would put back, once the write has returned. Left behind it would undo
// a synced write, so a failure is one of the disk.
func removeUndo(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return kernel.DiskError{Op: "remove", Name: path, Cause: err}
	}
	return nil
}
