package server

import (
	"context"
	"net/http"

	"dunlinloom/internal/kernel"
)

// serveMetrics opens the address at which a deployed node can be observed, and nothing changed:
// its figures, its journal, its view of the fleet and of the core. Without it callers are served all the
// same, so a port that is taken is no reason to end.
func (d *deploymentProcess) serveMetrics(ctx context.Context) {
	address := d.deployment.Metrics
	if address == "" {
		return
	}
	view := &API{
		env: d.env, runner: d.runner, compiler: d.compiler, limitedListener: d.services.LimitedListener, archiver: d.archiver,
		isStopping: d.isStopping.Load, router: d.services.Router, invariants: d.invariants,
		controlGuard: d.services.ControlGuard,
	}
	var err error
	if view.connections, err = kernel.Find[*Connections](d.stage, ServiceConnections); err != nil {
		d.env.Log.Error(err, "no figures are told")
		return
	}
	if journalFile, err := kernel.Find[*kernel.JournalFile](d.stage, ServiceJournalFile); err == nil {
		view.journalFile = journalFile
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", view.metrics)
	mux.HandleFunc("GET /v1/journal", view.getJournal)
	mux.HandleFunc("GET /v1/explain/{request}", view.explain)
	mux.HandleFunc("GET /v1/fleet", view.getFleet)
	mux.HandleFunc("GET /v1/core", view.getCore)
	if _, err := d.listen(ctx, "metrics", address, mux, plainListener); err != nil {
		d.env.Log.Error(err, "no figures are told")
	}
}
