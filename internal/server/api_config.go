package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/relay"
)

// readConfig reads and validates a configuration from a request's body. It returns false if it has already written an
// error response.
func (f *API) readConfig(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		f.writeError(w, http.StatusInternalServerError, "channel", err.Error())
		return nil, false
	}
	// A body whose declared length is too large is rejected before it is read.
	if r.ContentLength > fleetconfig.MaxBytes {
		w.Header().Set("Connection", "close")
		f.writeError(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("a configuration has at most %d bytes", fleetconfig.MaxBytes))
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleetconfig.MaxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		f.writeError(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("a configuration has at most %d bytes", fleetconfig.MaxBytes))
		return nil, false
	}
	if err != nil {
		f.writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return nil, false
	}
	_, err = f.compiler.Read(body)
	var faults *fleetconfig.InvalidConfigError
	var above fleetconfig.TooLargeError
	switch {
	case errors.As(err, &faults):
		f.writeJSON(w, http.StatusUnprocessableEntity, apiError{apiErrorFields{"invalid_spec", "the configuration is invalid", faults.List, faults.Omitted}})
		return nil, false
	case errors.As(err, &above):
		f.writeError(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return nil, false
	case err != nil:
		f.writeError(w, http.StatusUnprocessableEntity, "invalid_spec", err.Error())
		return nil, false
	}
	return body, true
}

func (f *API) checkConfig(w http.ResponseWriter, r *http.Request) {
	if _, isValid := f.readConfig(w, r); isValid {
		f.writeJSON(w, http.StatusOK, map[string]bool{"ok": true})
	}
}

func (f *API) putConfig(w http.ResponseWriter, r *http.Request) {
	id, err := submissionID(r)
	if err != nil {
		f.writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	submit := &cluster.Submit{ID: id, Operation: cluster.PutConfig}
	if text := r.URL.Query().Get("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			f.writeError(w, http.StatusBadRequest, "bad_request", "base is not a revision number")
			return
		}
		submit.Base = &base
	}
	body, isValid := f.readConfig(w, r)
	if !isValid {
		return
	}
	submit.Config = body
	f.submit(w, r, submit)
}

// linearizableReadTimeout bounds how long a linearizable read waits for a majority.
const linearizableReadTimeout = 5 * time.Second

// getNewestConfig serves the configuration by a linearizable read: it is at least as new as every configuration that
// was acknowledged before the read began.
func (f *API) getNewestConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), linearizableReadTimeout)
	defer cancel()
	document, err := f.runner.LinearizableRead(ctx)
	if err != nil {
		w.Header().Set("Retry-After", "1")
		f.writeError(w, http.StatusServiceUnavailable, "not_shown", err.Error())
		return
	}
	if document.ConfigRevision == 0 {
		f.writeError(w, http.StatusNotFound, "no_spec", "no configuration has been put yet")
		return
	}
	f.writeConfig(w, document.ConfigRevision, document.Config)
}

func (f *API) writeConfig(w http.ResponseWriter, revision uint64, config []byte) {
	w.Header().Set(relay.HeaderRevision, strconv.FormatUint(revision, 10))
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(config); err != nil {
		f.env.Log.V(2).Info("configuration response could not be written", "error", err.Error())
	}
}

func (f *API) getConfig(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("newest") {
		f.getNewestConfig(w, r)
		return
	}
	state := f.runner.State()
	if !f.isCurrent(state) && !r.URL.Query().Has("stale") {
		w.Header().Set("Retry-After", "1")
		f.writeError(w, http.StatusServiceUnavailable, "not_current", "this node cannot tell whether its copy is the newest; add ?stale=1 to read it anyway")
		return
	}
	document := state.Document
	if document == nil {
		f.writeError(w, http.StatusNotFound, "no_spec", "no document has reached this node")
		return
	}
	revision := document.Revision
	if text := r.URL.Query().Get("generation"); text != "" {
		var err error
		if revision, err = strconv.ParseUint(text, 10, 64); err != nil || revision == 0 {
			f.writeError(w, http.StatusBadRequest, "bad_request", "generation is not a positive number")
			return
		}
	}
	if revision > document.Revision {
		f.writeError(w, http.StatusNotFound, "no_generation", fmt.Sprintf("revision does not exist yet; the fleet is at revision %d", document.Revision))
		return
	}
	reply := &FetchConfigResponse{Config: document.Config, ConfigRevision: document.ConfigRevision}
	if revision < document.ConfigRevision {
		ref, isKnown := document.ConfigAt(revision)
		reply = nil
		if isKnown {
			reply = f.fetchConfig(r, document, FetchConfigRequest{Ref: ref})
		}
		if reply == nil {
			reply = f.configFromArchive(revision, ref)
		}
	}
	if reply == nil || reply.ConfigRevision == 0 {
		f.writeError(w, http.StatusNotFound, "no_spec", fmt.Sprintf("no configuration for revision %d is stored", revision))
		return
	}
	f.writeConfig(w, reply.ConfigRevision, reply.Config)
}

// configFromArchive reads from the archive a configuration that the core no longer holds. If the document's chain still
// names the revision (ref is not zero), the archived revision and digest have to match it.
func (f *API) configFromArchive(revision uint64, ref cluster.ConfigRef) *FetchConfigResponse {
	if f.archive == nil {
		return nil
	}
	newest := uint64(0)
	for _, metadata := range f.archive.History() {
		if metadata.Revision <= revision {
			newest = metadata.Revision
		}
	}
	config, metadata, err := f.archive.Config(newest)
	if err != nil || ref.Revision > 0 && (metadata.Revision != ref.Revision || metadata.Digest != ref.Digest) {
		return nil
	}
	return &FetchConfigResponse{Config: config, ConfigRevision: metadata.Revision}
}

// fetchConfig looks for an older configuration on this node and then on the voters. It returns nil if none has it.
func (f *API) fetchConfig(r *http.Request, document *cluster.Document, request FetchConfigRequest) *FetchConfigResponse {
	if reply, err := f.runner.FetchConfig(request); err == nil {
		return reply
	}
	for _, member := range document.Voters {
		if member.Address == f.env.Self.Address {
			continue
		}
		reply, err := f.connections.FetchConfig(r.Context(), member.Address, request)
		if err == nil {
			return reply
		}
		f.env.Log.V(2).Info("configuration fetch from a voter failed", "error", err.Error())
	}
	return nil
}

func (f *API) getHistory(w http.ResponseWriter, _ *http.Request) {
	document := f.runner.State().Document
	if document == nil {
		f.writeError(w, http.StatusNotFound, "no_spec", "no document has reached this node")
		return
	}
	history := History{Revisions: []uint64{}, CurrentRevision: document.ConfigRevision}
	for _, ref := range document.ConfigChain {
		history.Revisions = append(history.Revisions, ref.Revision)
	}
	if f.archive != nil {
		history.Archived = f.archive.History()
	}
	f.writeJSON(w, http.StatusOK, history)
}

// History lists the configurations that can be read: those that the core's document names, and those in this node's
// archive.
type History struct {
	Revisions       []uint64           `json:"generations"`
	CurrentRevision uint64             `json:"current"`
	Archived        []history.Metadata `json:"kept,omitempty"`
}
