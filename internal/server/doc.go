// Package server runs the control plane and the data plane as processes: it reads settings, assembles a node, transports
// messages between nodes, and serves callers, engines and operators over HTTP.
//
// # Use
//
// Main runs one of the product's own daemons from command-line flags (Settings, Roles). MainDeployment runs a node of a
// deployment, whose platform defines its own names and formats (Deployment, Adapter, Services). Run and RunDeployment
// do the same without handling the process's flags and signals. NewCallerHandler builds the data plane of a deployment.
//
// # Files
//
//   - settings.go and rules.go: settings and their validation
//   - process.go and process_open.go: a daemon from its start to its graceful shutdown
//   - deployment.go: the description of a deployment; deployment_process.go, deployment_serve.go,
//     deployment_metrics.go, deployment_shutdown.go: its process; services.go: the dependencies of its handlers
//   - data_folder.go: opening and locking a data folder; pending_folder.go: a deployment's folder whose disk fails at the
//     start
//   - waiting.go and dialing.go: helpers that both kinds of process use
//   - runner.go: the runner, which connects the node to the outside and executes its commands; runner_loop.go: the
//     event loop that owns the node; lateness.go: how late the loop is; runner_calls.go and submissions.go: calls into
//     the loop that wait for a reply; engine_probe.go and platform_list.go: discovery and probing of engines
//   - channel.go: connections to other nodes; envelope_batch.go: how messages are encoded for them; archiver.go: the
//     object store of past configurations
//   - api.go and api_*.go: the public HTTP interface; core_view.go: the operators' view of the core
//   - callers.go, routing_table.go and quota.go: derive the data plane's inputs from the control plane's state
//   - overload.go and head_guard.go: overload protection of the callers' listeners
//   - fault_injection*.go: fault injection, only in builds with the tag faults
//
// # Goroutines and the state they own
//
//   - Runner.Run: the control.Node, the TableBuilder and the routing tables of a deployment. Every other
//     goroutine reaches the node through an event in one of Runner's queues, and blocks while that queue is full.
//     Of the node's methods only those that read immutable settings, such as Validate, ContactSpan and
//     TickInterval, are called from other goroutines. The function given to Runner.Watch runs in the loop and must
//     not block. A turn of the loop handles the queued events, within limits, publishes the state once, and only
//     then executes the commands: a message that confirms a state is sent after the data plane has that state.
//   - Runner.Run starts these goroutines and waits for them before it returns: one for ordered reads and writes of
//     the data folder, one for snapshots, one that fetches the platform's list, one that probes engines. A stalled
//     disk or a slow engine delays none of the others. Each compilation of a configuration, and each probe of a
//     suspected engine, has a goroutine of its own that is not waited for; its result is posted as an event.
//   - Two senders for each peer (Connections), one for small and one for large messages. Only the sender uses the
//     stream of its queue. Both start with the first envelope and end with the environment.
//   - Archiver.Run: the set of configurations archived already. The object store has its own lock.
//   - RunDeployment: the list of servers and the exit deadline. A second goroutine reloads the settings and is the
//     only one to replace the current Deployment.
//   - net/http handlers run in the goroutines of their requests. They read State, an immutable snapshot, and
//     otherwise call the Runner.
//
// The exported methods of Runner, Connections, LimitedListener and Services may be called from any goroutine, but
// Runner.Run and Archiver.Run only once. The fields of Runner and Services are set before Run.
//
// # Locks
//
//   - Runner.lock guards the maps of callers waiting for a reply and the last token issued to one. No other lock is
//     taken and no channel send is made while it is held.
//   - Connections.lock guards the map of peers. peerQueue.lock guards one peer's byte counts by kind of message; it
//     may be taken while Connections.lock is held, never the other way round.
//   - headGuard.lock guards the state of a connection's request heads, since net/http reads in the background while
//     a handler runs.
//   - In builds with the tag faults, faults.lock guards the last contents read from the fault file.
//
// Values that are read by goroutines other than their owner are atomic: the Runner's times and its State, the counters of
// Connections, Archiver and LimitedListener, the number of requests in flight, and the stopping flag.
//
// # Units
//
// Times and durations are kernel.Micros, microseconds of Env's clock; settings whose names end in US are microseconds
// too. Timeouts of net/http and intervals of tickers are time.Duration. Sizes are in bytes unless the name says
// otherwise (MB: 2^20 bytes).
//
// # Errors
//
// Invalid settings return a SettingsError, or a fleetconfig.InvalidConfigError that lists every problem. A read that
// could not be confirmed to be the newest returns an UnconfirmedReadError, whose cause may be a StoppingError. A fetched
// configuration that is not the requested one returns a ConfigMismatchError, a stream that ended a BrokenStreamError, and
// a system limit that is too low a FileLimitError. All can be matched with errors.As. api.go maps them to the responses
// that operators get.
//
// # Context
//
// The environment's context outlives the stop signal, since a graceful shutdown hands over duties and finishes accepted
// requests first. Functions that close resources are registered with kernel.Kernel's Cleanup, which runs them in reverse
// order.
package server
