package server

import (
	"context"
	"fmt"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/relay"
)

// Submit submits an operation and waits for its reply. An error means that ctx ended first; the submission continues.
func (r *Runner) Submit(ctx context.Context, submit *cluster.Submit) (cluster.SubmitResponse, error) {
	waiter, isAdded := r.addWaiter(submit)
	if !isAdded {
		return cluster.SubmitResponse{ID: submit.ID, Outcome: cluster.Unknown, Reason: "id_busy",
			Detail: "another submission with this id is in progress on this node; retry once it has ended"}, nil
	}
	if state := r.State(); state.IsLeader && len(submit.Config) > 0 {
		// As in Deliver: validated outside the loop, so that the leader finds the cached result.
		if err := r.node.Validate(submit, state.Document); err != nil {
			r.env.Log.V(2).Info("invalid configuration submitted", "error", err.Error())
		}
	}
	r.postRequest(func() []commands.Command { return r.node.Submit(r.env.Clock.Now(), submit) })
	select {
	case reply := <-waiter:
		return reply, nil
	case <-ctx.Done():
		return cluster.SubmitResponse{}, fmt.Errorf("wait for submission %s: %w", submit.ID, ctx.Err())
	case <-r.env.Done():
		return cluster.SubmitResponse{ID: submit.ID, Outcome: cluster.Unknown, Reason: "stopping"}, nil
	}
}

// Register reports an engine's announcement of itself to the node and waits for the acknowledgement; Seq numbers the
// announcements. One that says that the engine is draining (IsDraining) or deregistered (IsUnlisted) is acknowledged only
// once the routers know it; an error means that this could not be confirmed. heartbeatTo is the public address to which
// the engine should send its later heartbeats; empty: no better one is known.
func (r *Runner) Register(ctx context.Context, record registry.EngineRecord) (heartbeatTo string, err error) {
	waiter := make(chan control.Registered, 1)
	r.lock.Lock()
	r.nextToken++
	token := r.nextToken
	r.registrations[token] = waiter
	r.lock.Unlock()
	defer func() {
		r.lock.Lock()
		delete(r.registrations, token)
		r.lock.Unlock()
	}()
	r.postRequest(func() []commands.Command { return r.node.Register(r.env.Clock.Now(), token, record) })
	select {
	case answer := <-waiter:
		return answer.HeartbeatTo, answer.Err
	case <-ctx.Done():
		return "", fmt.Errorf("register engine %s: %w", record.ID, ctx.Err())
	case <-r.env.Done():
		return "", fmt.Errorf("register engine %s: %w", record.ID, StoppingError{})
	}
}

// UnconfirmedReadError is returned when no document could be confirmed to be the newest one in time.
type UnconfirmedReadError struct{ Cause error }

func (e UnconfirmedReadError) Error() string {
	return "read of the newest document was not confirmed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e UnconfirmedReadError) Unwrap() error { return e.Cause }

// StoppingError is returned when this process stops before it could answer.
type StoppingError struct{}

func (StoppingError) Error() string { return "this process is stopping" }

// LinearizableRead returns a committed document that is at least as new as every document acknowledged before the call.
// The error is an UnconfirmedReadError.
func (r *Runner) LinearizableRead(ctx context.Context) (*cluster.Document, error) {
	waiter := make(chan *cluster.Document, 1)
	r.lock.Lock()
	r.nextToken++
	token := r.nextToken
	r.reads[token] = waiter
	r.lock.Unlock()
	r.postRequest(func() []commands.Command { return r.node.Read(r.env.Clock.Now(), token) })
	var cause error = StoppingError{}
	select {
	case document := <-waiter:
		return document, nil
	case <-ctx.Done():
		cause = ctx.Err()
	case <-r.env.Done():
	}
	r.lock.Lock()
	delete(r.reads, token)
	r.lock.Unlock()
	r.postRequest(func() []commands.Command { return r.node.CancelRead(r.env.Clock.Now(), token) })
	return nil, UnconfirmedReadError{cause}
}

// ReportEngines passes engine records that this process learned first-hand to the node.
func (r *Runner) ReportEngines(records []registry.EngineRecord) {
	r.post(func() []commands.Command { return r.node.ReportEngines(r.env.Clock.Now(), records) })
}

// Suspect reports to the control plane that an engine could not be reached.
func (r *Runner) Suspect(engine relay.Engine) {
	r.post(func() []commands.Command { return r.node.Suspect(r.env.Clock.Now(), engine.ID, engine.Start) })
}

// SuspectEngine reports to the control plane that the engine with this id could not be reached. An unknown id is ignored.
func (r *Runner) SuspectEngine(id string) {
	for _, engine := range r.State().Engines {
		if engine.ID == id {
			r.post(func() []commands.Command { return r.node.Suspect(r.env.Clock.Now(), engine.ID, engine.Start) })
		}
	}
}

// Restarted reports to the control plane that an engine answered with a later start number.
func (r *Runner) Restarted(engine relay.Engine, start uint64) {
	r.post(func() []commands.Command { return r.node.Restarted(r.env.Clock.Now(), engine.ID, start) })
}

// RequestQuota makes the node request the quota that the router's account lacks.
func (r *Runner) RequestQuota() {
	r.postRequest(func() []commands.Command { return r.node.RequestQuota(r.env.Clock.Now()) })
}

// Leave begins a planned stop: the node hands over its duties.
func (r *Runner) Leave() {
	r.post(func() []commands.Command { return r.node.Leave(r.env.Clock.Now()) })
}

// HasDuties reports whether the node still holds duties. It asks the loop; false once the environment has ended.
func (r *Runner) HasDuties() bool {
	reply := make(chan bool, 1)
	r.post(func() []commands.Command { reply <- r.node.HasDuties(); return nil })
	select {
	case hasDuties := <-reply:
		return hasDuties
	case <-r.env.Done():
		return false
	}
}

// FolderFailed reports to the control plane why the pending data folder is not open.
func (r *Runner) FolderFailed(reason string) {
	r.post(func() []commands.Command { return r.node.FolderFailed(r.env.Clock.Now(), reason) })
}

// AttachFolder gives the node its pending data folder; see control.Node.AttachFolder. From then on the runner writes to the
// store.
func (r *Runner) AttachFolder(store *storage.Store, folder control.FolderState, start uint64) error {
	reply := make(chan error, 1)
	r.post(func() []commands.Command {
		out, err := r.node.AttachFolder(r.env.Clock.Now(), folder, start)
		if err == nil {
			r.store.Store(store)
			r.startDiskWorkers(store)
		}
		reply <- err
		return out
	})
	select {
	case err := <-reply:
		return err
	case <-r.env.Done():
		return StoppingError{}
	}
}

// FetchConfig reads a past configuration from this node's data folder.
func (r *Runner) FetchConfig(request FetchConfigRequest) (*FetchConfigResponse, error) {
	store := r.store.Load()
	if store == nil {
		return nil, storage.MissingRevisionError{Revision: request.Ref.Revision}
	}
	document, err := store.ConfigAt(request.Ref)
	if err != nil {
		return nil, err
	}
	return &FetchConfigResponse{Config: document.Config, ConfigRevision: document.ConfigRevision}, nil
}
