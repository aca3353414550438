package kernel

import (
	"context"
	"log/slog"
	"os"

	"k8s.io/klog/v2"
)

// Identity identifies a node and the fleet that it belongs to.
type Identity struct {
	Fleet   string `json:"fleet"`
	Address string `json:"address"` // host and port for other nodes, which identify the node by it
	Public  string `json:"public"`  // host and port for callers and operators
	Zone    string `json:"zone"`
}

// Env is a context together with the node's clock, logger, identity and journal. It is passed by value and
// never changed.
type Env struct {
	context.Context
	Clock   Clock
	Log     klog.Logger
	Self    Identity
	Journal *Journal // nil: nothing is recorded
}

// With returns a copy of the environment with another context.
func (env Env) With(ctx context.Context) Env {
	env.Context = ctx
	return env
}

// Record adds a decision and its reason to the journal.
func (env Env) Record(component, subject, decision, reason string) {
	env.Journal.Record(env.Clock.Now(), component, subject, decision, reason)
}

// LogJSON configures klog to write JSON lines to standard error, each with the given attributes. It replaces
// the global logger of the process, so a program calls it once, before it starts goroutines that log.
func LogJSON(attrs ...slog.Attr) klog.Logger {
	handler := slog.NewJSONHandler(os.Stderr, nil).WithAttrs(attrs)
	klog.SetSlogLogger(slog.New(handler))
	return klog.Background()
}
