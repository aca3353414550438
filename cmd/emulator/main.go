// Emulator emulates an engine or, with --list, the service that lists the platform's engines.
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
	List            bool     `arg:"--list" help:"emulate the platform's list of engines instead of an engine"`
	Listen          string   `arg:"--listen,required" help:"listen address, as IP:port"`
	ID              string   `arg:"--id" help:"ID of the engine"`
	Zone            string   `arg:"--zone"`
	Pool            string   `arg:"--pool" default:"main"`
	Nodes           []string `arg:"--node,separate" help:"public address of a node to which reports are sent"`
	Slots           int      `arg:"--slots" default:"8" help:"number of requests that run concurrently"`
	Queue           int      `arg:"--inbox" default:"64" help:"number of requests that may be queued"`
	PrefillUS       int64    `arg:"--prefill-us" default:"100" help:"time per prompt token that is not cached, in microseconds"`
	CachedUS        int64    `arg:"--cached-us" default:"5"`
	DecodeUS        int64    `arg:"--decode-us" default:"5000"`
	Blocks          int      `arg:"--blocks" default:"512" help:"capacity of the prefix cache in blocks of 16 prompt tokens"`
	ColdUS          int64    `arg:"--cold-us" default:"0"`
	ColdFactor      int      `arg:"--cold-factor" default:"4"`
	MaxColdRequests int      `arg:"--cold-bears" default:"0"`
	ReportUS        int64    `arg:"--report-us" default:"500000" help:"interval of reports in microseconds; 0: no reports"`
	LagUS           int64    `arg:"--lag-us" default:"500000" help:"delay of a report, or of a change of the list, in microseconds"`
	IsResumable     bool     `arg:"--resumable"`
	Start           uint64   `arg:"--start" help:"start number; default: the current time in microseconds"`
	Log             string   `arg:"--log" help:"file to which the engine's events are appended"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

// run serves the emulated engine or list until a signal stops it.
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
		// The log is not buffered, so errors of writes have been reported before it is closed.
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
		ColdFactor: arguments.ColdFactor, ColdCapacity: arguments.MaxColdRequests, IsResumable: arguments.IsResumable,
	}
	if settings.Start == 0 {
		settings.Start = uint64(time.Now().UnixMicro())
	}
	return settings
}

const (
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 5 * time.Second
	// shutdownTimeout limits the wait for open requests during shutdown.
	shutdownTimeout = 5 * time.Second
)

// serve serves HTTP requests until the context is canceled, and then shuts down gracefully.
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
