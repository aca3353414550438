package server

import (
	"context"
	"net/http"

	"dunlinloom/internal/kernel"
)

// serveMetrics serves the read-only endpoints of a deployed node: metrics, journal, and its views of the fleet and the
// core. Callers are served without them too, so a failure, such as a port already in use, is logged and not fatal.
func (d *deploymentProcess) serveMetrics(ctx context.Context) {
	address := d.deployment.Metrics
	if address == "" {
		return
	}
	api := &API{
		env: d.env, runner: d.runner, compiler: d.compiler, limitedListener: d.services.LimitedListener, services: d.kernel,
		isStopping: d.isStopping.Load, router: d.services.Router, invariants: d.invariants,
		controlGuard: d.services.ControlGuard, callerConnections: d.services.callerConnections,
	}
	var err error
	if api.connections, err = kernel.Find[*Connections](d.kernel, ServiceConnections); err != nil {
		d.env.Log.Error(err, "metrics endpoint is not served")
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", api.metrics)
	mux.HandleFunc("GET /v1/journal", api.getJournal)
	mux.HandleFunc("GET /v1/explain/{request}", api.explain)
	mux.HandleFunc("GET /v1/fleet", api.getFleet)
	mux.HandleFunc("GET /v1/core", api.getCore)
	if _, err := d.listen(ctx, "metrics", address, mux, plainListener); err != nil {
		d.env.Log.Error(err, "metrics endpoint is not served")
	}
}
