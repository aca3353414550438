package wings

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"dunlinloom/auditorium"
	"dunlinloom/flyloft"
	"dunlinloom/house"
	"dunlinloom/playbill"
	"dunlinloom/wardrobe"
)

// Parts says which planes a program puts together.
type Parts struct {
	Program    string
	IsRouter   bool
	IsPrompter bool
}

// Main runs a daemon with the process's flags and gives its exit status.
func Main(parts Parts) int {
	settings, err := ReadSettings(parts.Program, os.Args[1:])
	if err == nil {
		err = settings.Check(parts.IsPrompter)
	}
	var faults *playbill.Faults
	if errors.As(err, &faults) {
		fmt.Fprintf(os.Stderr, "%s: the settings have faults:\n", parts.Program)
		for _, fault := range faults.List {
			fmt.Fprintln(os.Stderr, "  "+fault.Error())
		}
		return 2
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", parts.Program, err)
		return 2
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// The logger is the process's, set once here.
	log := house.LogJSON(slog.String("program", parts.Program), slog.String("node", settings.Peer), slog.String("zone", settings.Zone))
	if err := Run(stop, log, settings, parts); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", parts.Program, err)
		return 1
	}
	return 0
}

// Names of the services in a house.
const (
	ServiceRunner   = "runner"
	ServiceChannels = "channels"
	ServiceUsher    = "usher"
	ServiceShelf    = "shelf"
	ServiceDoor     = "door"
	ServiceDiary    = "diary" // only with a data folder
	// Only with a data folder.
	ServiceWardrobe  = "wardrobe"
	ServiceLibrarian = "librarian"
)

// assembly is a process while it is put together and while it runs.
type assembly struct {
	cue      house.Cue
	stage    *house.House
	settings Settings
	parts    Parts
	end      context.CancelFunc // ends the cue
	shelf    *playbill.Shelf
	store    *flyloft.Store // nil without a data folder
	runner   *Runner
	// Nil without a router.
	desk  *auditorium.Desk
	usher *auditorium.Usher
	// Nil where nothing of the past is kept.
	librarian  *Librarian
	public     *Door
	isStopping atomic.Bool
	// Nil unless it is run as a deployment; then callers are served by what that brings.
	deployment *Deployment
}

// Run puts a node together and serves until stop ends, then drains it.
func Run(stop context.Context, log klog.Logger, settings Settings, parts Parts) (err error) {
	self := house.Identity{Fleet: settings.Fleet, Address: settings.Peer, Public: settings.Public, Zone: settings.Zone}
	life, end := context.WithCancel(context.Background())
	a := &assembly{
		cue:   house.Cue{Context: life, Clock: house.BootClock{}, Log: log, Self: self, Journal: house.NewJournal(settings.Journal)},
		stage: house.Open(), settings: settings, parts: parts, end: end, shelf: &playbill.Shelf{},
	}
	defer func() { err = errors.Join(err, a.stage.Strike.Run()) }()
	a.stage.Strike.Defer(func() error { end(); return nil })
	node := flyloft.NodeSettings{
		Identity: self, IsRouter: parts.IsRouter, IsPrompter: parts.IsPrompter, HasFolder: settings.Data != "",
		// Of the address, so that the elections of two nodes do not collide.
		Seeds: settings.Seeds, Start: uint64(time.Now().UnixMicro()), RandomSeed: xxhash.Sum64String(self.Address),
		Timing: settings.Timing(), Journal: a.cue.Journal, CheckSpec: a.shelf.Check, IsCompiled: a.shelf.Has,
		Member: flyloft.MemberID("no-folder-" + self.Address),
	}
	settings.Rules.Put(&node)
	a.openClock(node.Start)
	// The folder first: it may be another process's, and then nothing in it is touched.
	for _, step := range []func() error{
		func() error { return a.openFolder(&node) }, a.openJournal, func() error { return a.openNode(node) }, a.openPast, a.openDoor,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("start: %w", err)
		}
	}
	failed, err := a.serve(node.Member)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	a.drain()
	return nil
}

// openFolder reads the data folder, if there is one, into what the node starts with.
func (a *assembly) openFolder(node *flyloft.NodeSettings) error {
	if a.settings.Data == "" {
		return nil
	}
	release, err := house.LockFolder(a.settings.Data)
	if err != nil {
		return err
	}
	a.stage.Strike.Defer(release)
	folder, err := openData(a.settings.Data)
	if err != nil {
		return err
	}
	if a.store, node.Ballot, node.Document, err = flyloft.OpenStore(folder, a.settings.Fleet, rand.Text); err != nil {
		return err
	}
	if a.deployment != nil {
		a.store.Bound(a.deployment.Limits.Store)
	}
	node.Member, node.Kept = a.store.Member(), a.store.SpecGenerations()
	if node.Snapshot, err = a.store.Snapshot(a.settings.Fleet); err != nil {
		// It only makes a start quicker; without it the fleet is asked.
		a.cue.Log.Error(err, "the snapshot is not used")
		a.cue.Note("house", "snapshot", "leave aside", err.Error())
	}
	var keep func() error
	node.Start, keep = a.store.NextStart(node.Start)
	a.openClock(node.Start)
	// Beside the start: a disk that hangs must not hold it up, and the fleet reminds a
	// node of its last number as well.
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		if err := keep(); err != nil {
			a.cue.Log.Error(err, "the number of this start is not kept")
		}
	}()
	a.stage.Strike.Defer(func() error {
		waitClosed(kept, lastWrites)
		return nil
	})
	for _, name := range a.store.Aside() {
		a.cue.Log.Info("a damaged file was set aside", "file", name)
	}
	return nil
}

// openClock has the journal carry the number of this start and the time of day.
func (a *assembly) openClock(start uint64) {
	a.cue.Journal.Open(start, func() house.Micros { return house.Micros(time.Now().UnixMicro()) })
}

// openJournal has the journal written to the data folder.
func (a *assembly) openJournal() error {
	defer a.cue.Note("house", "process", "start", a.parts.Program+" "+a.settings.Version())
	if a.settings.Data == "" || a.settings.JournalMB == 0 {
		return nil
	}
	diary, err := house.OpenDiary(filepath.Join(a.settings.Data, "journal"), int64(a.settings.JournalMB)<<20)
	if err != nil {
		// What happened can be told from memory too; serving must not hang on it.
		a.cue.Log.Error(err, "the journal is kept in memory alone")
		return nil
	}
	a.cue.Journal.Watch = diary.Take
	// A life of its own, so that what the others note as they end is written too.
	pages, endPages := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() { diary.Run(pages); close(written) }()
	a.stage.Strike.Defer(func() error {
		a.cue.Note("house", "process", "stop", "its work is done")
		endPages()
		// A stalled disk may keep the last entries; it must not keep the process.
		waitClosed(written, lastWrites)
		return nil
	})
	return a.stage.Place(ServiceDiary, diary)
}

// openNode makes the owners, their shell and, on a router, the way of a request.
func (a *assembly) openNode(node flyloft.NodeSettings) error {
	channels := NewChannels(a.cue, peerDialer())
	services := map[string]any{ServiceChannels: channels, ServiceShelf: a.shelf}
	if a.parts.IsRouter && a.deployment == nil {
		a.desk = auditorium.NewDesk(a.cue.Self.Address, a.cue.Self.Zone, func(now house.Micros, subject, decision, why string) {
			if strings.HasPrefix(subject, "engine ") {
				a.cue.Journal.Note(now, "auditorium", subject, decision, why)
				return
			}
			a.cue.Journal.NoteRequest(now, "auditorium", subject, decision, why)
		})
		a.usher = &auditorium.Usher{Cue: a.cue, Desk: a.desk, Spans: a.settings.Spans(), Dial: plainDialer()}
		services[ServiceUsher] = a.usher
	}
	a.runner = NewRunner(a.cue, flyloft.NewNode(node, a.cue.Clock.Now()), a.store, channels, a.desk, a.shelf, a.settings.Platform)
	a.runner.NoProbes = a.deployment != nil
	services[ServiceRunner] = a.runner
	if a.usher != nil {
		a.usher.Suspect, a.usher.Restarted = a.runner.Suspect, a.runner.Restarted
	}
	for name, service := range services {
		if err := a.stage.Place(name, service); err != nil {
			return err
		}
	}
	return nil
}

// openPast opens the object store of past specs.
func (a *assembly) openPast() error {
	if a.settings.Data == "" || a.settings.ArchiveMB == 0 {
		return nil
	}
	kept, err := wardrobe.Open(filepath.Join(a.settings.Data, "specs.git"), a.settings.Fleet, int64(a.settings.ArchiveMB)<<20)
	switch {
	case errors.As(err, new(wardrobe.Foreign)):
		return err
	case err != nil:
		// The past can be filed later; a node that serves now is worth more.
		a.cue.Log.Error(err, "there is no object store for the past")
		return nil
	}
	channels, err := house.Find[*Channels](a.stage, ServiceChannels)
	if err != nil {
		return err
	}
	a.librarian = NewLibrarian(a.cue, a.runner, channels, kept)
	return errors.Join(a.stage.Place(ServiceWardrobe, kept), a.stage.Place(ServiceLibrarian, a.librarian))
}

// openDoor listens for callers, within what the system allows.
func (a *assembly) openDoor() error {
	if err := checkFiles(a.settings.Channels, a.settings.Live); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", a.settings.Public)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	a.public = NewDoor(listener, a.settings.Channels)
	a.stage.Strike.Defer(func() error { return ignoreClosed(a.public.Close()) })
	if a.usher != nil {
		a.usher.Bounds = auditorium.Bounds{Live: int64(a.settings.Live), Bodies: int64(a.settings.BodiesMB) << 20}
		a.usher.IsCrowded = a.public.IsCrowded
	}
	return a.stage.Place(ServiceDoor, a.public)
}

// serve sets everything going; what it gives back tells when a server ends by itself.
func (a *assembly) serve(member flyloft.MemberID) (<-chan error, error) {
	handler, err := NewFace(a.cue, a.stage, a.isStopping.Load)
	if err != nil {
		return nil, err
	}
	peer, err := net.Listen("tcp", a.settings.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for nodes: %w", err)
	}
	a.stage.Strike.Defer(func() error { return ignoreClosed(peer.Close()) })
	face := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 120 * time.Second, MaxHeaderBytes: 64 << 10,
	}
	back := &http.Server{
		Handler:           NewPeerHandler(a.runner.Deliver, a.runner.Recall, func() flyloft.Witness { return a.runner.Witness(member) }),
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
	}
	failed := make(chan error, 2)
	serve := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}
	go serve(face, a.public)
	go serve(back, peer)
	ended := make(chan struct{})
	go func() { a.runner.Run(); close(ended) }()
	if a.desk != nil {
		go tellMinutes(a.cue, a.desk)
	}
	if a.librarian != nil {
		filed := make(chan struct{})
		go func() { a.librarian.Run(); close(filed) }()
		// What it is writing is written out, since the folder is another process's after
		// this one; but a stalled disk must not hold up a stop.
		a.stage.Strike.Defer(func() error {
			if !waitClosed(filed, lastWrites) {
				a.cue.Log.Info("the object store is still being written")
			}
			return nil
		})
	}
	a.stage.Strike.Defer(func() error { a.end(); <-ended; return ignoreClosed(back.Close()) })
	// Callers' channels are wound down before the owners end.
	a.stage.Strike.Defer(func() error {
		last, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		if err := face.Shutdown(last); err != nil {
			a.cue.Log.Error(err, "some channels had to be cut")
		}
		return nil
	})
	a.cue.Log.Info("serving", "public", a.cue.Self.Public, "member", string(member))
	return failed, nil
}

// drain is a planned stop: say so and hand duties on, take callers a little longer while
// the platform learns of it, then close the door and finish what was accepted.
func (a *assembly) drain() {
	log := a.cue.Log
	log.Info("stopping")
	a.isStopping.Store(true)
	a.runner.Leave()
	waitUntil(a.settings.LameDuckUS, func() bool { return false })
	if err := ignoreClosed(a.public.Close()); err != nil {
		log.Error(err, "close the door")
	}
	if a.desk != nil {
		a.desk.Shut()
		waitUntil(a.settings.DrainUS, func() bool { return a.usher.Live() == 0 })
		log.Info("drained", "live", a.usher.Live())
	}
	waitUntil(int64(2*house.Second), func() bool { return !a.runner.HasDuties() })
}

// tellMinutes notes once a minute what was declined in it. Requests come by the hundred
// and their entries soon give way; the count of a night's declines has to stay.
func tellMinutes(cue house.Cue, desk *auditorium.Desk) {
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	before := desk.Counts()
	for {
		select {
		case <-cue.Done():
			return
		case <-ticker.C:
		}
		now := desk.Counts()
		if line := now.Since(before); line != "" {
			cue.Note("auditorium", "declines", "count", line)
		}
		before = now
	}
}

// waitUntil looks again and again until a condition holds or the span is over.
func waitUntil(span int64, isMet func() bool) {
	end := time.NewTimer(house.Micros(span).Duration())
	defer end.Stop()
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for !isMet() {
		select {
		case <-end.C:
			return
		case <-again.C:
		}
	}
}

// lastWrites is how long a stop waits for what is being written to a folder.
const lastWrites = 2 * time.Second

// waitClosed tells whether a channel was closed within a span.
func waitClosed(ended <-chan struct{}, span time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(span):
		return false
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func plainDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return dialer.DialContext
}

// channelDialer is for the channels between nodes, on which little is ever answered.
func channelDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unconfirmedSpan/time.Millisecond))
		})
		return errors.Join(err, failed)
	}}
	return dialer.DialContext
}
