package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
)

// listen opens one of the deployment's addresses and serves it.
func (d *deploymentProcess) listen(ctx context.Context, what, address string, handler http.Handler, wrap func(net.Listener) net.Listener) (*http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", what, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withHeadGuard,
	}
	d.servers = append(d.servers, server)
	d.stage.Cleanup.Defer(func() error { return ignoreClosed(server.Close()) })
	go func() {
		if err := server.Serve(wrap(listener)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.failed <- fmt.Errorf("%s: %w", what, err)
		}
	}()
	return server, nil
}

// plainListener leaves a listener as it is.
func plainListener(listener net.Listener) net.Listener { return listener }

// serveAll sets everything going.
func (d *deploymentProcess) serveAll(ctx context.Context, member cluster.MemberID) error {
	deployment := d.deployment
	if err := checkFileLimit(d.settings.Connections, d.settings.MaxInFlight); err != nil {
		// Fewer files allow fewer connections; they are no reason to serve nobody.
		d.env.Log.Error(err, "the bounds on channels can't be met")
	}
	d.services = &Services{
		Env: d.env, Runner: d.runner, Compiler: d.compiler, Deployment: d.current.Load, IsStopping: d.isStopping.Load,
		Invariants: d.invariants, Quota: d.quota,
	}
	// Nodes first: the callers' handler may need what they report.
	peers := NewPeerHandler(d.runner.Deliver, d.runner.Unreadable, d.runner.FetchConfig, func() storage.PeerStatus { return d.runner.Witness(member) })
	if _, err := d.listen(ctx, "nodes", d.settings.Peer, peers, plainListener); err != nil {
		return err
	}
	ended := startWorker(d.runner.Run)
	d.stage.Cleanup.Defer(func() error { d.cancel(); <-ended; return nil })
	if d.archiver != nil {
		// Nobody waits for it: a stalled disk must not hold up a stop.
		startWorker(d.archiver.Run)
	}
	if deployment.Control != "" {
		handler, err := d.adapter.Control(d.services)
		if err != nil {
			return fmt.Errorf("open control: %w", err)
		}
		d.services.ControlGuard = NewControlGuard(deployment.Limits.controlLimits())
		if d.control, err = d.listen(ctx, "control", deployment.Control, d.closeWhenStopping(d.services.ControlGuard.Handler(handler)), d.services.ControlGuard.Listener); err != nil {
			return err
		}
	}
	if deployment.Callers != "" {
		limitedListener := NewLimitedListener(nil, d.settings.Connections)
		d.services.LimitedListener = limitedListener
		handler, err := d.adapter.Callers(d.services)
		if err != nil {
			return fmt.Errorf("open the callers' side: %w", err)
		}
		d.callers, err = d.listen(ctx, "callers", deployment.Callers, guardHeads(d.closeWhenStopping(d.countInFlight(handler))), func(listener net.Listener) net.Listener {
			limitedListener.Listener = listener
			return guardedListener{limitedListener}
		})
		if err != nil {
			return err
		}
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

// closeWhenStopping has a stopping node's channels close after their next answer.
func (d *deploymentProcess) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isStopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// countInFlight knows how many requests are being served.
func (d *deploymentProcess) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

func (d *deploymentProcess) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.adapter.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if why := d.services.UnreadyReason(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
		}
	})
	return mux
}
