//go:build faults

package wings

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunlinloom/house"
)

// Builds for rehearsals can fail on purpose: EnvFaults names a file with Mishaps,
// EnvSelf is the peer address of this process in it.
const (
	EnvFaults = "DUNLINLOOM_FAULTS"
	EnvSelf   = "DUNLINLOOM_SELF"
)

// BuildNote marks such a build where it prints its version.
const BuildNote = " (with faults)"

// channelCut says that a channel is cut on purpose.
type channelCut struct{ way string }

func (b channelCut) Error() string { return "cut on purpose: " + b.way }

// mishaps is the list as it was read last.
type mishaps struct {
	lock sync.Mutex
	read time.Time
	now  Mishaps
}

var listed mishaps

func (l *mishaps) look() Mishaps {
	l.lock.Lock()
	defer l.lock.Unlock()
	// Looked at again often enough that a fault falls within a pulse.
	if time.Since(l.read) > 20*time.Millisecond {
		l.read, l.now = time.Now(), Mishaps{}
		if content, err := os.ReadFile(os.Getenv(EnvFaults)); err == nil {
			// Half a file is read again in a moment.
			if err := json.Unmarshal(content, &l.now); err != nil {
				l.read = time.Time{}
			}
		}
	}
	return l.now
}

func way(to string) (string, WayMishap) {
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
		return channelCut{name}
	}
	return nil
}

// mishap tells how often a message gets through, and how late the next parcel is.
func mishap(to string) (copies int, delay time.Duration) {
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

// cutChannel fails once its way is cut.
type cutChannel struct {
	net.Conn
	to string
}

func (c *cutChannel) Write(chunk []byte) (int, error) {
	if err := cutTo(c.to); err != nil {
		return 0, err
	}
	return c.Conn.Write(chunk)
}

func peerDialer() Dialer {
	plain := channelDialer()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := cutTo(address); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		channel, err := plain(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutChannel{channel, address}, nil
	}
}

// mishapFolder slows, stalls or fills a data folder. What a write that has not
// returned would take the place of is kept beside the folder, so that a rehearsal can
// cut the power: it kills the process and puts everything unsynced back.
type mishapFolder struct {
	house.Folder
	undo string
}

func openData(path string) (house.Folder, error) {
	folder, err := house.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	undo := path + UndoSuffix
	if err := os.MkdirAll(undo, 0o755); err != nil {
		return nil, house.DiskBreakdown{Step: "make", Name: undo, Cause: err}
	}
	return &mishapFolder{folder, undo}, nil
}

func (f *mishapFolder) Put(name string, content []byte) error {
	self := os.Getenv(EnvSelf)
	for listed.look().Disks[self].IsStalled {
		time.Sleep(10 * time.Millisecond)
	}
	disk := listed.look().Disks[self]
	time.Sleep(time.Duration(disk.SlowUS) * time.Microsecond)
	if disk.IsFull {
		return house.DiskBreakdown{Step: "write", Name: name, Cause: syscall.ENOSPC}
	}
	kept := filepath.Join(f.undo, name)
	if old, err := f.Folder.Get(name); err == nil {
		if err := os.WriteFile(kept, old, 0o644); err != nil {
			return house.DiskBreakdown{Step: "keep", Name: name, Cause: err}
		}
	} else if err := os.WriteFile(kept+UndoAbsent, nil, 0o644); err != nil {
		return house.DiskBreakdown{Step: "keep", Name: name, Cause: err}
	}
	failed := f.Folder.Put(name, content)
	os.Remove(kept)
	os.Remove(kept + UndoAbsent)
	return failed
}
