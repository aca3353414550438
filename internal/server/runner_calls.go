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

// Submit submits an operation and waits for its reply. The error is the context's; the submission goes on.
func (r *Runner) Submit(ctx context.Context, submit *cluster.Submit) (cluster.SubmitResponse, error) {
	waiter, isTaken := r.addWaiter(submit)
	if !isTaken {
		return cluster.SubmitResponse{ID: submit.ID, Outcome: cluster.Unknown, Reason: "id_busy",
			Detail: "another submission with this id is under way at this node; ask again once it has ended"}, nil
	}
	if state := r.State(); state.IsLeader && len(submit.Config) > 0 {
		// As in Deliver: the leader is to have its verdict at hand.
		if err := r.node.Validate(submit, state.Document); err != nil {
			r.env.Log.V(2).Info("a configuration with faults was handed in", "error", err.Error())
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

// Register takes an engine's announcement of itself; Seq numbers its announcements. One that it is
// draining (IsDraining) or deregistered (IsUnlisted) is acknowledged only when the routers know; an
// error says that this could not be shown. heartbeatTo is the public address for the engine's
// later heartbeats; empty: no better one is known.
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

// UnconfirmedReadError says that a document could not be shown to be the newest one in time.
type UnconfirmedReadError struct{ Cause error }

func (b UnconfirmedReadError) Error() string {
	return "no document could be shown to be the newest: " + b.Cause.Error()
}

// Unwrap gives the cause.
func (b UnconfirmedReadError) Unwrap() error { return b.Cause }

// StoppingError says that this process ends before it could answer.
type StoppingError struct{}

func (StoppingError) Error() string { return "this process is stopping" }

// LinearizableRead gives a committed document that is at least as new as every one that was
// acknowledged before the call. The error is an UnconfirmedReadError.
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

// ReportEngines brings engine records learned first-hand.
func (r *Runner) ReportEngines(records []registry.EngineRecord) {
	r.post(func() []commands.Command { return r.node.ReportEngines(r.env.Clock.Now(), records) })
}

// Suspect reports an engine to the control plane that could not be reached.
func (r *Runner) Suspect(engine relay.Engine) {
	r.post(func() []commands.Command { return r.node.Suspect(r.env.Clock.Now(), engine.ID, engine.Start) })
}

// SuspectEngine reports an engine to the control plane, by its id alone, that could not be reached.
func (r *Runner) SuspectEngine(id string) {
	for _, engine := range r.State().Engines {
		if engine.ID == id {
			r.post(func() []commands.Command { return r.node.Suspect(r.env.Clock.Now(), engine.ID, engine.Start) })
		}
	}
}

// Restarted reports an engine to the control plane that answered under a later start.
func (r *Runner) Restarted(engine relay.Engine, start uint64) {
	r.post(func() []commands.Command { return r.node.Restarted(r.env.Clock.Now(), engine.ID, start) })
}

// RequestQuota has the router's account ask for what it lacks.
func (r *Runner) RequestQuota() {
	r.postRequest(func() []commands.Command { return r.node.RequestQuota(r.env.Clock.Now()) })
}

// Leave begins a planned stop.
func (r *Runner) Leave() {
	r.post(func() []commands.Command { return r.node.Leave(r.env.Clock.Now()) })
}

// HasDuties asks the owners whether duties are still held.
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

// FetchConfig reads an older configuration from this node's data folder.
func (r *Runner) FetchConfig(request FetchConfigRequest) (*FetchConfigResponse, error) {
	if r.store == nil {
		return nil, storage.MissingRevisionError{Revision: request.Ref.Revision}
	}
	document, err := r.store.ConfigAt(request.Ref)
	if err != nil {
		return nil, err
	}
	return &FetchConfigResponse{Config: document.Config, ConfigRevision: document.ConfigRevision}, nil
}
