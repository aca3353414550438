package server

import (
	"errors"
	"fmt"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/kernel"
)

// A deployed node serves callers whatever its disk does. So it waits only briefly for its data folder when it starts, and
// goes on opening it until the disk is sound. Then the node becomes the folder's member.

// Timing of the attempts to open a data folder.
const (
	folderTimeout          = 400 * time.Millisecond // how long a start waits for the folder
	folderRetryInterval    = 200 * time.Millisecond // pause before the second attempt; it doubles with each further one
	maxFolderRetryInterval = time.Second
)

// folderHangsReason is the disk's fault while an attempt to open the folder does not return.
const folderHangsReason = "opening the data folder takes long"

// folderResult is the outcome of opening a data folder: the folder, or an error that no further attempt changes.
type folderResult struct {
	folder *dataFolder
	err    error
}

// folderOpener opens a data folder in the background and repeats that for as long as the disk fails.
type folderOpener struct {
	env     kernel.Env
	open    func() (*dataFolder, error)
	results chan folderResult // gets one result; unbuffered, so that nobody else's folder stays locked
	faults  chan string       // the latest error of the disk, which nobody has received yet
}

func newFolderOpener(env kernel.Env, open func() (*dataFolder, error)) *folderOpener {
	return &folderOpener{env: env, open: open, results: make(chan folderResult), faults: make(chan string, 1)}
}

// mayPass reports whether a later attempt to open a folder may succeed after this error: the disk failed, or a process
// that was killed holds the lock until its last call to the disk returns.
func mayPass(err error) bool {
	return errors.As(err, new(kernel.DiskError)) || errors.As(err, new(kernel.FolderInUseError))
}

// run tries to open the folder until that succeeds, fails with an error that does not pass, or the environment ends.
func (o *folderOpener) run() {
	last := ""
	pause := folderRetryInterval
	for attempt := 1; ; attempt++ {
		folder, err := o.open()
		if err == nil || !mayPass(err) {
			o.finish(folderResult{folder, err})
			return
		}
		if err.Error() != last {
			last = err.Error()
			o.env.Log.Error(err, "data folder can't be opened", "attempt", attempt)
			o.report(last)
		}
		select {
		case <-o.env.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxFolderRetryInterval)
	}
}

// report replaces the fault that waits to be received.
func (o *folderOpener) report(fault string) {
	select {
	case <-o.faults:
	default:
	}
	o.faults <- fault
}

// finish hands over the result. A folder that nobody takes is released.
func (o *folderOpener) finish(result folderResult) {
	select {
	case o.results <- result:
	case <-o.env.Done():
		if result.folder != nil {
			// The process is ending, which releases the lock as well.
			_ = result.folder.release()
		}
	}
}

// openFolderInTime opens the data folder, and waits for it for up to folderTimeout. If the disk fails or hangs for longer,
// the node starts without the folder, and attachFolder gives it the folder later. Errors that do not pass are returned.
func (d *deploymentProcess) openFolderInTime(node *control.NodeSettings) error {
	if d.settings.Data == "" {
		return nil
	}
	d.kernel.Cleanup.Defer(d.releaseFolder)
	source, bounds, start := folderSource(node), d.deployment.Limits.Store, node.Start
	opener := newFolderOpener(d.env, func() (*dataFolder, error) {
		return openDataFolder(d.settings.Data, source, bounds, start)
	})
	go opener.run()
	timer := time.NewTimer(folderTimeout)
	defer timer.Stop()
	select {
	case result := <-opener.results:
		if result.err != nil {
			return result.err
		}
		d.startWithFolder(node, result.folder)
	case <-timer.C:
		d.env.Record("process", "disk", "go on without", "the data folder is not open yet")
		node.HasFolder, node.IsController, node.IsFolderPending = false, false, node.IsController
		d.opener = opener
	}
	return nil
}

// awaitFolder starts to wait for a data folder that is pending. It is called once the node runs.
func (d *deploymentProcess) awaitFolder() error {
	if d.opener != nil {
		d.runner.FolderFailed(folderHangsReason)
		go d.attachWhenOpen()
	}
	return nil
}

// attachWhenOpen waits for the pending data folder and attaches it. Meanwhile it reports the disk's faults.
func (d *deploymentProcess) attachWhenOpen() {
	for {
		select {
		case <-d.env.Done():
			return
		case fault := <-d.opener.faults:
			d.runner.FolderFailed(fault)
		case result := <-d.opener.results:
			if err := d.attachFolder(result); err != nil {
				d.failed <- fmt.Errorf("open the data folder: %w", err)
			}
			return
		}
	}
}

// attachFolder gives the running node its data folder, and opens what else lies in it. A folder that the node does not
// take is released, and the node goes on without.
func (d *deploymentProcess) attachFolder(result folderResult) error {
	if result.err != nil {
		return result.err
	}
	folder := result.folder
	if err := d.runner.AttachFolder(folder.store, folder.state, folder.start); err != nil {
		d.env.Log.Error(err, "data folder is not used")
		d.runner.FolderFailed(err.Error())
		return folder.release()
	}
	d.useFolder(folder)
	d.env.Log.Info("data folder is open", "member", string(folder.state.Member))
	d.env.Record("process", "disk", "go on with", "the data folder is open")
	if err := errors.Join(d.openJournal(), d.openArchive()); err != nil {
		return err
	}
	d.startArchiver()
	return nil
}
