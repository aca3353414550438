package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/drain"
)

// trackedServer is an HTTP server with the connections that it serves.
type trackedServer struct {
	*http.Server
	connections *drain.Listener
}

// listen opens one of the deployment's addresses and serves it until the cleanup. An error of the server is sent to
// d.failed.
func (d *deploymentProcess) listen(ctx context.Context, what, address string, handler http.Handler, wrap func(net.Listener) net.Listener) (*trackedServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", what, err)
	}
	tracker := drain.NewListener(what, wrap(listener))
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withConnection, ConnState: tracker.SetState,
	}
	d.kernel.Cleanup.Defer(func() error { return ignoreClosed(server.Close()) })
	go func() {
		if err := server.Serve(tracker); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.failed <- fmt.Errorf("%s: %w", what, err)
		}
	}()
	return &trackedServer{server, tracker}, nil
}

// withConnection adds what handlers need to know of a connection to the context of its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return withHeadGuard(drain.ConnContext(ctx, connection), connection)
}

// plainListener returns the listener unchanged.
func plainListener(listener net.Listener) net.Listener { return listener }

// serveAll starts the runner, the archiver and every server that the deployment configures.
func (d *deploymentProcess) serveAll(ctx context.Context, member cluster.MemberID) error {
	deployment := d.deployment
	if err := checkFileLimit(d.settings.Connections, d.settings.MaxInFlight); err != nil {
		// A low file limit only reduces the number of connections, so the node serves nevertheless.
		d.env.Log.Error(err, "file limit is too low for the configured connections")
	}
	d.services = &Services{
		Env: d.env, Runner: d.runner, Compiler: d.compiler, Deployment: d.current.Load, IsStopping: d.isStopping.Load,
		Invariants: d.invariants, Quota: d.quota,
	}
	// The peer address first: the callers' handler may need what other nodes report.
	peers := NewPeerHandler(d.runner.Deliver, d.runner.Unreadable, d.runner.FetchConfig, d.runner.PeerStatus)
	if _, err := d.listen(ctx, "nodes", d.settings.Peer, peers, plainListener); err != nil {
		return err
	}
	ended := startWorker(d.runner.Run)
	d.kernel.Cleanup.Defer(func() error { d.cancel(); <-ended; return nil })
	d.startArchiver()
	if deployment.Control != "" {
		handler, err := d.adapter.Control(d.services)
		if err != nil {
			return fmt.Errorf("build the control handler: %w", err)
		}
		d.services.ControlGuard = NewControlGuard(deployment.Limits.controlLimits())
		if d.control, err = d.listen(ctx, "control", deployment.Control, drain.CloseWhenStopping(d.isStopping.Load, d.services.ControlGuard.Handler(handler)), d.services.ControlGuard.Listener); err != nil {
			return err
		}
	}
	if deployment.Callers != "" {
		limitedListener := NewLimitedListener(nil, d.settings.Connections)
		d.services.LimitedListener = limitedListener
		handler, err := d.adapter.Callers(d.services)
		if err != nil {
			return fmt.Errorf("build the callers' handler: %w", err)
		}
		d.callers, err = d.listen(ctx, "callers", deployment.Callers, guardHeads(drain.CloseWhenStopping(d.isStopping.Load, d.countInFlight(handler))), func(listener net.Listener) net.Listener {
			limitedListener.Listener = listener
			return guardedListener{limitedListener}
		})
		if err != nil {
			return err
		}
		d.services.callerConnections = d.callers.connections
	}
	if deployment.Readiness != "" {
		if _, err := d.listen(ctx, "readiness", deployment.Readiness, d.readiness(), plainListener); err != nil {
			return err
		}
	}
	d.serveMetrics(ctx)
	d.env.Log.Info("serving", "callers", deployment.Callers, "control", deployment.Control, "peer", d.settings.Peer, "member", string(member),
		"seeds", d.settings.Seeds, "votes", deployment.CanVote, "bootstrap", deployment.Bootstrap)
	return nil
}

// startArchiver starts the archiver, if there is one. The stop does not wait for it, since a stalled disk must not delay
// the stop.
func (d *deploymentProcess) startArchiver() {
	if d.archiver != nil {
		startWorker(d.archiver.Run)
	}
}

// countInFlight counts the requests in progress in d.inFlight.
func (d *deploymentProcess) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// readiness returns the handler of the readiness probe: 200 while the node is ready, otherwise 503 with the reason.
func (d *deploymentProcess) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.adapter.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if why := d.services.UnreadyReason(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
		}
	})
	return mux
}
