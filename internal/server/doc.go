// Package server runs the planes of the product as processes: it reads settings, puts a node together, carries
// messages between nodes, and serves callers, engines and operators over HTTP.
//
// # Use
//
// Main runs a daemon of the product by its flags (Settings, Roles); MainDeployment runs a deployment, whose
// platform brings names and formats of its own (Deployment, Adapter, Services). Run and RunDeployment are the
// same without the process's flags and signals. NewCallerHandler makes the data plane of a deployment.
//
// # Files
//
//   - settings.go and rules.go: settings and their checks
//   - process.go and process_open.go: a daemon from its start to its planned stop
//   - deployment.go: what a deployment is made of; deployment_process.go, deployment_serve.go,
//     deployment_metrics.go, deployment_shutdown.go: its process; services.go: what its handlers get
//   - waiting.go and dialing.go: what both kinds of process use
//   - runner.go: the shell round the node, and how it carries out commands; runner_loop.go: the loop that owns the
//     node; lateness.go: how late the loop is; runner_calls.go and submissions.go: calls into it that wait for a
//     reply; engine_probe.go and platform_list.go: what it learns of engines by itself
//   - channel.go: connections to other nodes; envelope_batch.go: how messages are encoded for them; archiver.go: the
//     object store of past configurations
//   - api.go and api_*.go: the public HTTP interface; core_view.go: the core as operators see it
//   - callers.go, routing_table.go and quota.go: from the control plane's state to the data planes
//   - overload.go and head_guard.go: what protects the listeners of callers
//   - fault_injection*.go: faults on purpose, only in builds with the tag faults
//
// # Goroutines and what they own
//
//   - Runner.Run: the control.Node, the TableBuilder and the routing tables of a deployment. Every other
//     goroutine reaches the node by an event in Runner's queue, which waits while the queue is full. Of the
//     node's methods only Validate, ContactSpan and TickInterval are called beside it: they read what does
//     not change. The function given to Runner.Watch runs in it and must not wait. A turn of the loop takes
//     what is queued, within bounds, publishes the state once, and only then carries out the commands: what
//     confirms a state leaves after the data plane has it.
//   - Beside Runner.Run, started by it and awaited at its end: one goroutine for writes and reads of the
//     data folder in their order, one for snapshots, one that fetches the platform's list, one that probes
//     engines. A stalled disk or a slow engine holds up none of the others. A configuration is compiled, and a
//     suspected engine probed, in a goroutine of its own that nobody awaits; both hand their result in as an event.
//   - Two senders for each other node (Connections), one for its small and one for its large messages: each
//     alone uses its queue's stream. They start with the first envelope and end with the environment.
//   - Archiver.Run: the set of what was archived already. The object store locks itself.
//   - RunDeployment: the list of servers and the deadline of the exit. A goroutine beside it reads the settings
//     again and is the only one to replace the current Deployment.
//   - Handlers of net/http run in goroutines of their requests. They read State, a snapshot that is
//     never changed after it was published, and otherwise call the Runner.
//
// The exported methods of Runner, Connections, LimitedListener and Services may be called from any goroutine;
// Run of Runner and of Archiver are called once. Fields of Runner and Services are set before Run.
//
// # Locks
//
//   - Runner.lock guards the maps of callers that wait for a reply and the last token. No other lock is
//     taken under it, and nothing is sent under it.
//   - Connections.lock guards the map of nodes; peerQueue.lock guards one node's bytes by kind of message and
//     is taken under Connections.lock, never the other way round.
//   - headGuard.lock guards what was read of a connection's heads, since net/http reads in the background while
//     a handler runs.
//   - In builds with faults, faults.lock guards the file of faults as it was read last.
//
// Figures that are read beside their owner are atomic: the Runner's times and its State, the counts of
// Connections, Archiver and LimitedListener, the requests in flight, the mark that the process is stopping.
//
// # Units
//
// Times and spans are kernel.Micros, microseconds of the Env's clock; settings whose names end in US are
// microseconds too. Limits of net/http and of tickers are time.Duration. Sizes are bytes where a name does not
// say otherwise (MB: 2^20 bytes).
//
// # Errors
//
// Settings give a SettingsError or fleetconfig.InvalidConfigError, which lists every fault at once. Reads that could not
// be shown to be the newest give an UnconfirmedReadError, whose cause may be a StoppingError; an answer that is not
// what was asked for a ConfigMismatchError; a stream that ended a BrokenStreamError; a limit of the system that is too
// low a FileLimitError. All are found by errors.As. What an operator gets for them is in api.go.
//
// # Context
//
// The environment's context outlives the stop signal: a planned stop hands duties on and finishes what was accepted
// before it ends. What has to be closed is registered at kernel.Kernel's Cleanup and runs in reverse order.
package server
