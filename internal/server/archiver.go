package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Archiver files every acknowledged configuration in the node's object store. It works beside
// the owners and never on the path of a reply: what it can't do now it tries again.
type Archiver struct {
	env                kernel.Env
	runner             *Runner
	connections        *Connections
	archive            *history.Archive
	archivedRefs       map[cluster.ConfigRef]bool // filed and read back by this process
	client             *http.Client
	Archived, Failures atomic.Uint64
}

// Spans of the archiver.
const (
	archiveInterval  = time.Second
	antiEntropyTicks = 60 // turns between looks at another node's history
	fetchTimeout     = 5 * time.Second
	maxHistoryBytes  = 4 << 20
)

// NewArchiver makes a archiver; Run has it work until the environment ends.
func NewArchiver(env kernel.Env, runner *Runner, connections *Connections, archive *history.Archive) *Archiver {
	return &Archiver{
		env: env, runner: runner, connections: connections, archive: archive, archivedRefs: map[cluster.ConfigRef]bool{},
		client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
	}
}

// Run files what the core has committed, and now and then what other nodes still have.
func (l *Archiver) Run() {
	ticker := time.NewTicker(archiveInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		if document := l.runner.State().Document; document != nil {
			err := l.archiveChain(document)
			if err == nil && tick%antiEntropyTicks == 0 {
				err = l.antiEntropy(document, l.runner.State().Nodes)
			}
			if err != nil {
				l.Failures.Add(1)
				l.env.Log.V(1).Info("the object store lags behind", "error", err.Error())
				l.env.Record("history", "history", "lag", err.Error())
			}
		}
		select {
		case <-l.env.Done():
			return
		case <-ticker.C:
		}
	}
}

// archiveChain files the configurations that the document names.
func (l *Archiver) archiveChain(document *cluster.Document) error {
	for _, ref := range document.ConfigChain {
		if l.archivedRefs[ref] {
			continue
		}
		// A stop waits for what is being written, not for a whole chain.
		if l.env.Err() != nil {
			return nil
		}
		if l.archive.Contains(ref.Revision, ref.Digest) {
			l.archivedRefs[ref] = true
			continue
		}
		config, err := l.configOf(document, ref)
		if err != nil {
			return err
		}
		facts := history.Metadata{Revision: ref.Revision, Digest: ref.Digest, ClusterID: document.ClusterID}
		for _, submission := range document.Submissions {
			if submission.Revision == ref.Revision && !submission.IsAborted {
				facts.Submission = submission.ID
			}
		}
		if err := l.archive.Store(facts, config); err != nil {
			return err
		}
		l.Archived.Add(1)
		l.archivedRefs[ref] = true
		l.env.Record("history", "history", "file", fmt.Sprintf("revision %d of submission %q", ref.Revision, facts.Submission))
	}
	return nil
}

func (l *Archiver) configOf(document *cluster.Document, ref cluster.ConfigRef) ([]byte, error) {
	if ref == cluster.ConfigRefOf(document) {
		return document.Config, nil
	}
	reply, err := l.runner.FetchConfig(FetchConfigRequest{Ref: ref})
	if err == nil {
		return reply.Config, nil
	}
	failed := []error{err}
	for _, member := range document.Voters {
		if member.Address == l.env.Self.Address {
			continue
		}
		reply, err := l.connections.FetchConfig(l.env, member.Address, FetchConfigRequest{Ref: ref})
		if err == nil {
			return reply.Config, nil
		}
		failed = append(failed, err)
	}
	return nil, errors.Join(failed...)
}

// antiEntropy brings what other nodes hold of a past that the core has let go of.
func (l *Archiver) antiEntropy(document *cluster.Document, nodes []registry.NodeRecord) error {
	archivedRevisions := map[uint64]bool{}
	for _, facts := range l.archive.History() {
		archivedRevisions[facts.Revision] = true
	}
	for _, node := range nodes {
		if !node.IsController || node.Address == l.env.Self.Address {
			continue
		}
		var peerHistory History
		if err := l.get(node.Public, "/v1/spec/history", func(_ http.Header, content []byte) error { return json.Unmarshal(content, &peerHistory) }); err != nil {
			continue // another node may tell, and this one when it is back
		}
		for _, facts := range peerHistory.Archived {
			if l.env.Err() != nil {
				return nil
			}
			// Only what the chain no longer vouches for; the rest comes from the core.
			if archivedRevisions[facts.Revision] || len(document.ConfigChain) == 0 || facts.Revision >= document.ConfigChain[0].Revision || facts.ClusterID != document.ClusterID {
				continue
			}
			var config []byte
			err := l.get(node.Public, fmt.Sprintf("/v1/spec?stale=1&generation=%d", facts.Revision), func(headers http.Header, content []byte) error {
				config = content
				if headers.Get(relay.HeaderRevision) != fmt.Sprint(facts.Revision) {
					return history.MissingRevisionError{Revision: facts.Revision}
				}
				return nil
			})
			if err != nil {
				continue
			}
			if err := l.archive.Store(facts, config); err != nil {
				return err
			}
			archivedRevisions[facts.Revision] = true
			l.env.Record("history", "history", "mend", fmt.Sprintf("revision %d came from %s", facts.Revision, node.Address))
		}
	}
	return nil
}

// unexpectedStatusError says that another node answered, but not with what was asked for.
type unexpectedStatusError struct{ status string }

func (b unexpectedStatusError) Error() string { return "it answered " + b.status }

func (l *Archiver) get(public, path string, take func(http.Header, []byte) error) error {
	ctx, cancel := context.WithTimeout(l.env, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+public+path, nil)
	if err != nil {
		return fmt.Errorf("ask %s: %w", public, err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return fmt.Errorf("ask %s: %w", public, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: %w", public, unexpectedStatusError{response.Status})
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, max(maxHistoryBytes, fleetconfig.MaxBytes)))
	if err != nil {
		return fmt.Errorf("hear %s: %w", public, err)
	}
	return take(response.Header, content)
}
