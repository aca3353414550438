package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/history"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// recordStart records the start of the process.
func (a *assembly) recordStart() error {
	a.env.Record("process", "process", "start", a.roles.Program+" "+a.settings.Version())
	return nil
}

// openClock gives the journal the number of this start and the wall clock, which its entries carry.
func (a *assembly) openClock(start uint64) {
	a.env.Journal.Open(start, func() kernel.Micros { return kernel.Micros(time.Now().UnixMicro()) })
}

// openJournal makes the journal write to the data folder, if both are configured and the folder is open.
func (a *assembly) openJournal() error {
	if a.folder.Load() == nil || a.settings.JournalMB == 0 {
		return nil
	}
	journalFile, err := kernel.OpenJournalFile(filepath.Join(a.settings.Data, "journal"), int64(a.settings.JournalMB)<<20)
	if err != nil {
		// The journal also works in memory only, and serving must not depend on its file.
		a.env.Log.Error(err, "journal file can't be opened; the journal is kept in memory only")
		return nil
	}
	// A context of its own, so that entries recorded during the cleanup are written too.
	journalCtx, endJournal := context.WithCancel(context.Background())
	written := startWorker(func() { journalFile.Run(journalCtx) })
	a.env.Journal.Observe(journalFile.Enqueue)
	a.kernel.Cleanup.Defer(func() error {
		a.env.Record("process", "process", "stop", "the process is exiting")
		endJournal()
		// A stalled disk may lose the last entries; it must not keep the process from exiting.
		waitClosed(written, finalWriteTimeout)
		return nil
	})
	return a.kernel.Register(ServiceJournalFile, journalFile)
}

// openNode creates the control node, its runner and, on a router of the product's own daemons, the dispatcher and the
// forwarder of requests.
func (a *assembly) openNode(node control.NodeSettings) error {
	connections := NewConnections(a.env, peerDialer())
	services := map[string]any{ServiceConnections: connections, ServiceCompiler: a.compiler}
	if a.roles.IsRouter && a.deployment == nil {
		a.dispatcher = relay.NewDispatcher(a.env.Self.Address, a.env.Self.Zone, func(now kernel.Micros, subject, decision, why string) {
			if strings.HasPrefix(subject, "engine ") {
				a.env.Journal.Record(now, "relay", subject, decision, why)
				return
			}
			a.env.Journal.RecordRequest(now, "relay", subject, decision, why)
		})
		a.forwarder = &relay.Forwarder{Env: a.env, Dispatcher: a.dispatcher, Timeouts: a.settings.Timeouts(), Dial: plainDialer()}
		services[ServiceForwarder] = a.forwarder
	}
	var store *storage.Store
	if folder := a.folder.Load(); folder != nil {
		store = folder.store
	}
	a.runner = NewRunner(a.env, control.NewNode(node, a.env.Clock.Now()), store, connections, a.dispatcher, a.compiler, a.settings.Platform)
	a.runner.NoProbes = a.deployment != nil
	services[ServiceRunner] = a.runner
	if a.forwarder != nil {
		a.forwarder.Suspect, a.forwarder.Restarted = a.runner.Suspect, a.runner.Restarted
	}
	for name, service := range services {
		if err := a.kernel.Register(name, service); err != nil {
			return err
		}
	}
	return nil
}

// openArchive opens the object store of past configurations, if it is configured and the data folder is open.
func (a *assembly) openArchive() error {
	if a.folder.Load() == nil || a.settings.ArchiveMB == 0 {
		return nil
	}
	archive, err := history.Open(filepath.Join(a.settings.Data, "specs.git"), a.settings.Fleet, int64(a.settings.ArchiveMB)<<20)
	switch {
	case errors.As(err, new(history.ForeignStoreError)):
		return err
	case err != nil:
		// Past configurations can be archived later; it is more important that the node serves now.
		a.env.Log.Error(err, "object store can't be opened; past configurations are not archived")
		return nil
	}
	connections, err := kernel.Find[*Connections](a.kernel, ServiceConnections)
	if err != nil {
		return err
	}
	a.archiver = NewArchiver(a.env, a.runner, connections, archive)
	return errors.Join(a.kernel.Register(ServiceArchive, archive), a.kernel.Register(ServiceArchiver, a.archiver))
}

// openLimitedListener opens the public listener. It fails if the limit of open files is too low for the settings.
func (a *assembly) openLimitedListener() error {
	if err := checkFileLimit(a.settings.Connections, a.settings.MaxInFlight); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(a.env, "tcp", a.settings.Public)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	a.publicListener = NewLimitedListener(listener, a.settings.Connections)
	a.kernel.Cleanup.Defer(func() error { return ignoreClosed(a.publicListener.Close()) })
	if a.forwarder != nil {
		a.forwarder.Limits = relay.Limits{InFlight: int64(a.settings.MaxInFlight), BodyBytes: int64(a.settings.BodiesMB) << 20}
		a.forwarder.IsOverloaded = a.publicListener.IsOverloaded
	}
	return a.kernel.Register(ServiceLimitedListener, a.publicListener)
}
