// Emulator emulates an engine, or with --list the platform's list of engines.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/emulator"
)

type arguments struct {
	List         bool     `arg:"--list" help:"stand in for the platform's list instead of an engine"`
	Listen       string   `arg:"--listen,required" help:"IP:port"`
	ID           string   `arg:"--id" help:"the engine's name"`
	Zone         string   `arg:"--zone"`
	Pool         string   `arg:"--pool" default:"main"`
	Nodes        []string `arg:"--node,separate" help:"public address of a node that gets reports"`
	Slots        int      `arg:"--slots" default:"8" help:"requests that run at once"`
	Queue        int      `arg:"--inbox" default:"64" help:"requests that may wait"`
	PrefillUS    int64    `arg:"--prefill-us" default:"100" help:"a prompt token that is not cached"`
	CachedUS     int64    `arg:"--cached-us" default:"5"`
	DecodeUS     int64    `arg:"--decode-us" default:"5000"`
	Blocks       int      `arg:"--blocks" default:"512" help:"cached blocks of 16 prompt tokens"`
	ColdUS       int64    `arg:"--cold-us" default:"0"`
	ColdFactor   int      `arg:"--cold-factor" default:"4"`
	ColdCapacity int      `arg:"--cold-bears" default:"0"`
	ReportUS     int64    `arg:"--report-us" default:"500000" help:"between reports; 0 sends none"`
	LagUS        int64    `arg:"--lag-us" default:"500000" help:"how late a report, or a change of the list, is"`
	IsResumable  bool     `arg:"--resumable"`
	Start        uint64   `arg:"--start" help:"start identity; the time if not given"`
	Log          string   `arg:"--log" help:"file for the engine's events"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

// run serves as the engine or the list that the command line asks for, until a signal stops it.
func run() error {
	var arguments arguments
	arg.MustParse(&arguments)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if arguments.List {
		return serve(ctx, arguments.Listen, emulator.NewPlatform(kernel.Micros(arguments.LagUS)).Handler())
	}
	settings := engineSettings(arguments)
	if arguments.Log != "" {
		file, err := emulator.OpenLog(arguments.Log)
		if err != nil {
			return err
		}
		// The log is not buffered: an error of a write has been reported by then.
		defer func() { _ = file.Close() }()
		settings.Log = file
	}
	engine := emulator.NewEngine(settings)
	if arguments.ReportUS > 0 && len(arguments.Nodes) > 0 {
		go engine.PostReports(ctx, arguments.Nodes, kernel.Micros(arguments.ReportUS), kernel.Micros(arguments.LagUS))
	}
	return serve(ctx, arguments.Listen, engine.Handler())
}

// engineSettings returns the settings of the emulated engine, without its log.
func engineSettings(arguments arguments) emulator.EngineSettings {
	settings := emulator.EngineSettings{
		ID: arguments.ID, Zone: arguments.Zone, Pool: arguments.Pool, Address: arguments.Listen, Start: arguments.Start,
		Slots: arguments.Slots, Queue: arguments.Queue, Prefill: kernel.Micros(arguments.PrefillUS), Cached: kernel.Micros(arguments.CachedUS),
		Decode: kernel.Micros(arguments.DecodeUS), Blocks: arguments.Blocks, ColdSpan: kernel.Micros(arguments.ColdUS),
		ColdFactor: arguments.ColdFactor, ColdCapacity: arguments.ColdCapacity, IsResumable: arguments.IsResumable,
	}
	if settings.Start == 0 {
		settings.Start = uint64(time.Now().UnixMicro())
	}
	return settings
}

const (
	// headerTimeout bounds the wait for a request's header.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for open requests when the process is to stop.
	shutdownTimeout = 5 * time.Second
)

// serve serves requests until the context ends, and then waits for those that are open.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- server.Shutdown(shutdown)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return <-stopped
}
