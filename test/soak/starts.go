package soak

import (
	"math/rand/v2"
	"syscall"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
)

// Steps that end and start the same process several times, with signals, changed settings and a disk that fails from
// before the start until after it.

// loadingSpan is how long a started process may take until its program is loaded. Before that nobody can handle a signal.
const loadingSpan = 5 * kernel.Second

// hangUp sends a signal to reload to a process that was started before, as soon as its program is loaded.
func (f *fleet) hangUp(n *node) error {
	for until := f.clock.Now() + loadingSpan; !n.process.HandlesSignal(syscall.SIGHUP); {
		if f.clock.Now() >= until {
			f.problem("%s sets no handler for signals to reload within %d s", n.name, loadingSpan/kernel.Second)
			return nil
		}
		pause(f.context, ms)
	}
	return n.process.Signal(syscall.SIGHUP)
}

// startOnFailingDisk returns a step that restarts a node whose disk has the fault from before the start until the step's
// span is over. Every other step does so twice in a row. If isWiped is set, the disk is lost before.
func startOnFailingDisk(fault server.DiskFault, isWiped bool) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		target := diskTarget
		if isWiped {
			target = diskLossTarget
		}
		return f.injectFault(s, random, target, func(n *node) error {
			for range 1 + s.index%2 {
				if err := f.restartOnFailingDisk(s, random, n, fault, isWiped); err != nil {
					return err
				}
			}
			if isWiped {
				f.recordDiskLoss()
			}
			return nil
		})
	}
}

// restartOnFailingDisk ends a node's process in one of several ways and starts it on a failing disk. In some steps the
// settings change meanwhile.
func (f *fleet) restartOnFailingDisk(s step, random *rand.Rand, n *node, fault server.DiskFault, isWiped bool) error {
	end := []func(*node) error{f.killNode, f.powerOff, f.terminate}[random.IntN(3)]
	if err := end(n); err != nil {
		return err
	}
	if isWiped {
		if err := f.wipe(n); err != nil {
			return err
		}
	}
	peer := n.address(portPeers)
	if err := f.faults.SetDisk(peer, fault); err != nil {
		return err
	}
	pause(f.context, s.span/4)
	if err := f.startNode(n); err != nil {
		return err
	}
	if random.IntN(2) == 0 {
		pause(f.context, kernel.Micros(random.Int64N(int64(kernel.Second))))
		if err := f.changeSeeds(n, random); err != nil {
			return err
		}
		if err := f.hangUp(n); err != nil {
			return err
		}
	}
	pause(f.context, s.span)
	return f.faults.SetDisk(peer, server.DiskFault{})
}

// recordDiskLoss delays the next loss of a disk, as canLoseDisk does.
func (f *fleet) recordDiskLoss() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lastDiskLossAt = f.clock.Now()
}

// maxSignalRounds limits how often signalSeries restarts a process.
const maxSignalRounds = 4

// signalSeries restarts a node several times in a row. Around each restart the settings change, and signals to reload and
// to stop arrive together, again during the stop, and in the first moments of the new process.
func signalSeries(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, anyNodeTarget, func(n *node) error {
		for range 2 + random.IntN(maxSignalRounds-1) {
			if err := f.restartBySignals(n, random); err != nil {
				return err
			}
		}
		return nil
	})
}

// restartBySignals stops and starts a node once, see signalSeries.
func (f *fleet) restartBySignals(n *node, random *rand.Rand) error {
	if err := f.changeSeeds(n, random); err != nil {
		return err
	}
	f.recordEvent(checker.RoutedEvent{EventKind: checker.RouterStopping, Router: n.name})
	n.setWanted(false)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := n.process.Signal(signal); err != nil {
			return err
		}
		pause(f.context, kernel.Micros(random.Int64N(int64(400*ms))))
	}
	end := f.killNode
	if random.IntN(2) == 0 {
		end = f.terminate
	}
	if err := end(n); err != nil {
		return err
	}
	if err := f.startNode(n); err != nil {
		return err
	}
	for range 1 + random.IntN(3) {
		if err := f.hangUp(n); err != nil {
			return err
		}
		pause(f.context, kernel.Micros(random.Int64N(int64(100*ms))))
	}
	pause(f.context, kernel.Micros(random.Int64N(int64(kernel.Second))))
	return nil
}
