package kernel

import (
	"context"
	"log/slog"
	"os"

	"k8s.io/klog/v2"
)

// Identity identifies a node, and the fleet that it belongs to.
type Identity struct {
	Fleet   string `json:"fleet"`
	Address string `json:"address"` // the peer address, host and port, by which other nodes know it
	Public  string `json:"public"`  // host and port for callers and operators
	Zone    string `json:"zone"`
}

// Env is the environment of a piece of work: its context, and what it needs of the node. It is passed
// by value and never changed.
type Env struct {
	context.Context
	Clock   Clock
	Log     klog.Logger
	Self    Identity
	Journal *Journal // nil: nothing is recorded
}

// With returns the same environment with another context.
func (env Env) With(ctx context.Context) Env {
	env.Context = ctx
	return env
}

// Record adds a decision and its reason to the journal.
func (env Env) Record(component, subject, decision, reason string) {
	env.Journal.Record(env.Clock.Now(), component, subject, decision, reason)
}

// LogJSON makes klog write JSON lines to standard error, each with the attributes. It changes the
// process's global logger, so a program calls it once, before it starts goroutines that log.
func LogJSON(attrs ...slog.Attr) klog.Logger {
	handler := slog.NewJSONHandler(os.Stderr, nil).WithAttrs(attrs)
	klog.SetSlogLogger(slog.New(handler))
	return klog.Background()
}
