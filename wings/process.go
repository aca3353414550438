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

// Run puts a node together and serves until stop ends, then drains it.
func Run(stop context.Context, log klog.Logger, settings Settings, parts Parts) (err error) {
	self := house.Identity{Fleet: settings.Fleet, Address: settings.Peer, Public: settings.Public, Zone: settings.Zone}
	life, end := context.WithCancel(context.Background())
	cue := house.Cue{Context: life, Clock: house.BootClock{}, Log: log, Self: self, Journal: house.NewJournal(settings.Journal)}
	stage := house.Open()
	defer func() { err = errors.Join(err, stage.Strike.Run()) }()
	stage.Strike.Defer(func() error { end(); return nil })

	shelf := &playbill.Shelf{}
	start := uint64(time.Now().UnixMicro())
	cue.Journal.Open(start, func() house.Micros { return house.Micros(time.Now().UnixMicro()) })
	var diary *house.Diary
	if settings.Data != "" && settings.JournalMB > 0 {
		var err error
		if diary, err = house.OpenDiary(filepath.Join(settings.Data, "journal"), int64(settings.JournalMB)<<20); err != nil {
			// What happened can be told from memory too; serving must not hang on it.
			log.Error(err, "the journal is kept in memory alone")
		} else {
			cue.Journal.Watch = diary.Take
			if err := stage.Place(ServiceDiary, diary); err != nil {
				return fmt.Errorf("start: %w", err)
			}
			// A life of its own, so that what the others note as they end is written too.
			pages, endPages := context.WithCancel(context.Background())
			written := make(chan struct{})
			go func() { diary.Run(pages); close(written) }()
			stage.Strike.Defer(func() error {
				endPages()
				// A stalled disk may keep the last entries; it must not keep the process.
				select {
				case <-written:
				case <-time.After(2 * time.Second):
				}
				return nil
			})
		}
	}
	cue.Note("house", "process", "start", parts.Program+" "+settings.Version())
	stage.Strike.Defer(func() error { cue.Note("house", "process", "stop", "its work is done"); return nil })
	node := flyloft.NodeSettings{
		Identity: self, IsRouter: parts.IsRouter, IsPrompter: parts.IsPrompter, HasFolder: settings.Data != "",
		// Of the address, so that the elections of two nodes do not collide.
		Seeds: settings.Seeds, Start: start, RandomSeed: xxhash.Sum64String(self.Address), Timing: settings.Timing(), Journal: cue.Journal,
		CheckSpec: shelf.Check, IsCompiled: shelf.Has,
	}
	var store *flyloft.Store
	if settings.Data != "" {
		folder, err := openData(settings.Data)
		if err != nil {
			return fmt.Errorf("start: %w", err)
		}
		release, err := house.LockFolder(settings.Data)
		if err != nil {
			return fmt.Errorf("start: %w", err)
		}
		stage.Strike.Defer(release)
		if store, node.Ballot, node.Document, err = flyloft.OpenStore(folder, settings.Fleet, rand.Text); err != nil {
			return fmt.Errorf("start: %w", err)
		}
		node.Member, node.Kept = store.Member(), store.SpecGenerations()
		for _, name := range store.Aside() {
			log.Info("a damaged file was set aside", "file", name)
		}
	} else {
		node.Member = flyloft.MemberID("no-folder-" + self.Address)
	}
	channels := NewChannels(cue, peerDialer())
	var desk *auditorium.Desk
	var usher *auditorium.Usher
	if parts.IsRouter {
		desk = auditorium.NewDesk(self.Address, self.Zone, func(now house.Micros, subject, decision, why string) {
			if strings.HasPrefix(subject, "engine ") {
				cue.Journal.Note(now, "auditorium", subject, decision, why)
				return
			}
			cue.Journal.NoteRequest(now, "auditorium", subject, decision, why)
		})
		usher = &auditorium.Usher{Cue: cue, Desk: desk, Spans: settings.Spans(), Dial: plainDialer()}
	}
	runner := NewRunner(cue, flyloft.NewNode(node, cue.Clock.Now()), store, channels, desk, shelf, settings.Platform)
	if usher != nil {
		usher.Suspect, usher.Restarted = runner.Suspect, runner.Restarted
	}
	services := map[string]any{ServiceRunner: runner, ServiceChannels: channels, ServiceShelf: shelf}
	if usher != nil {
		services[ServiceUsher] = usher
	}
	var librarian *Librarian
	if settings.Data != "" && settings.ArchiveMB > 0 {
		kept, err := wardrobe.Open(filepath.Join(settings.Data, "specs.git"), settings.Fleet, int64(settings.ArchiveMB)<<20)
		switch {
		case errors.As(err, new(wardrobe.Foreign)):
			return fmt.Errorf("start: %w", err)
		case err != nil:
			// The past can be filed later; a node that serves now is worth more.
			log.Error(err, "there is no object store for the past")
		default:
			librarian = NewLibrarian(cue, runner, channels, kept)
			services[ServiceWardrobe], services[ServiceLibrarian] = kept, librarian
		}
	}
	for name, service := range services {
		if err := stage.Place(name, service); err != nil {
			return fmt.Errorf("start: %w", err)
		}
	}

	if err := checkFiles(settings.Channels, settings.Live); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	listener, err := net.Listen("tcp", settings.Public)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	public := NewDoor(listener, settings.Channels)
	stage.Strike.Defer(func() error { return ignoreClosed(public.Close()) })
	if err := stage.Place(ServiceDoor, public); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if usher != nil {
		usher.Bounds = auditorium.Bounds{Live: int64(settings.Live), Bodies: int64(settings.BodiesMB) << 20}
		usher.IsCrowded = public.IsCrowded
	}
	var isStopping atomic.Bool
	handler, err := NewFace(cue, stage, isStopping.Load)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	peer, err := net.Listen("tcp", settings.Peer)
	if err != nil {
		return fmt.Errorf("listen for nodes: %w", err)
	}
	stage.Strike.Defer(func() error { return ignoreClosed(peer.Close()) })
	face := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 120 * time.Second, MaxHeaderBytes: 64 << 10,
	}
	back := &http.Server{
		Handler: NewPeerHandler(runner.Deliver, runner.Recall, func() flyloft.Witness {
			state := runner.State()
			witness := flyloft.Witness{Address: self.Address, Member: node.Member, Founding: state.Founding}
			if state.Document != nil {
				witness.Generation = state.Document.Generation
			}
			return witness
		}),
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
	}
	failed := make(chan error, 2)
	serve := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}
	go serve(face, public)
	go serve(back, peer)
	ended := make(chan struct{})
	go func() { runner.Run(); close(ended) }()
	if desk != nil {
		go tellMinutes(cue, desk)
	}
	if librarian != nil {
		// Nobody waits for it: a stalled disk must not hold up a stop.
		go librarian.Run()
	}
	stage.Strike.Defer(func() error { end(); <-ended; return ignoreClosed(back.Close()) })
	log.Info("serving", "public", self.Public, "member", string(node.Member))
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}

	// A planned stop: say so and hand duties on, take callers a little longer while
	// the platform learns of it, then close the door and finish what was accepted.
	log.Info("stopping")
	isStopping.Store(true)
	runner.Leave()
	waitUntil(settings.LameDuckUS, func() bool { return false })
	if err := ignoreClosed(public.Close()); err != nil {
		log.Error(err, "close the door")
	}
	if desk != nil {
		desk.Shut()
		waitUntil(settings.DrainUS, func() bool { return usher.Live() == 0 })
		log.Info("drained", "live", usher.Live())
	}
	waitUntil(int64(2*house.Second), func() bool { return !runner.HasDuties() })
	last, done := context.WithTimeout(context.Background(), 5*time.Second)
	defer done()
	if err := face.Shutdown(last); err != nil {
		log.Error(err, "some channels had to be cut")
	}
	return nil
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
