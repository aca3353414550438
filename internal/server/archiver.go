package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Archiver stores every acknowledged configuration in the node's archive. It runs in the background, outside the control
// loop, and never delays a reply. What fails is retried at the next tick.
type Archiver struct {
	env                kernel.Env
	runner             *Runner
	connections        *Connections
	archive            *history.Archive
	archivedRefs       map[cluster.ConfigRef]bool // known to be in the archive, so that it is not looked up again
	client             *http.Client
	Archived, Failures atomic.Uint64
}

const (
	archiveInterval  = time.Second
	antiEntropyTicks = 60 // ticks between two comparisons with the other nodes' archives
	fetchTimeout     = 5 * time.Second
	maxHistoryBytes  = 4 << 20
)

// NewArchiver returns an archiver that does nothing until Run is called.
func NewArchiver(env kernel.Env, runner *Runner, connections *Connections, archive *history.Archive) *Archiver {
	return &Archiver{
		env: env, runner: runner, connections: connections, archive: archive, archivedRefs: map[cluster.ConfigRef]bool{},
		client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
	}
}

// Run archives the configurations that the core has committed and, every antiEntropyTicks, copies those that only other
// nodes still have. It returns once the environment ends.
func (a *Archiver) Run() {
	ticker := time.NewTicker(archiveInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		if document := a.runner.State().Document; document != nil {
			err := a.archiveChain(document)
			if err == nil && tick%antiEntropyTicks == 0 {
				err = a.antiEntropy(document, a.runner.State().Nodes)
			}
			if err != nil {
				a.Failures.Add(1)
				a.env.Log.V(1).Info("archiving failed; it is retried at the next tick", "error", err.Error())
				a.env.Record("history", "history", "lag", err.Error())
			}
		}
		select {
		case <-a.env.Done():
			return
		case <-ticker.C:
		}
	}
}

// archiveChain archives the configurations that the document's chain names.
func (a *Archiver) archiveChain(document *cluster.Document) error {
	for _, ref := range document.ConfigChain {
		if a.archivedRefs[ref] {
			continue
		}
		// Shutdown waits for the write in progress, but not for the rest of the chain.
		if a.env.Err() != nil {
			return nil
		}
		if a.archive.Contains(ref.Revision, ref.Digest) {
			a.archivedRefs[ref] = true
			continue
		}
		config, err := a.configOf(document, ref)
		if err != nil {
			return err
		}
		metadata := history.Metadata{Revision: ref.Revision, Digest: ref.Digest, ClusterID: document.ClusterID}
		for _, submission := range document.Submissions {
			if submission.Revision == ref.Revision && !submission.IsAborted {
				metadata.Submission = submission.ID
			}
		}
		if err := a.archive.Store(metadata, config); err != nil {
			return err
		}
		a.Archived.Add(1)
		a.archivedRefs[ref] = true
		a.env.Record("history", "history", "file", fmt.Sprintf("revision %d of submission %q", ref.Revision, metadata.Submission))
	}
	return nil
}

// configOf returns the configuration that ref names, from the document, this node's core or another voter.
func (a *Archiver) configOf(document *cluster.Document, ref cluster.ConfigRef) ([]byte, error) {
	if ref == cluster.ConfigRefOf(document) {
		return document.Config, nil
	}
	reply, err := a.runner.FetchConfig(FetchConfigRequest{Ref: ref})
	if err == nil {
		return reply.Config, nil
	}
	errs := []error{err}
	for _, member := range document.Voters {
		if member.Address == a.env.Self.Address {
			continue
		}
		reply, err := a.connections.FetchConfig(a.env, member.Address, FetchConfigRequest{Ref: ref})
		if err == nil {
			return reply.Config, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// antiEntropy copies from the other controllers the archived configurations that the core no longer names and this
// node lacks.
func (a *Archiver) antiEntropy(document *cluster.Document, nodes []registry.NodeRecord) error {
	archivedRevisions := map[uint64]bool{}
	for _, metadata := range a.archive.History() {
		archivedRevisions[metadata.Revision] = true
	}
	for _, node := range nodes {
		if !node.IsController || node.Address == a.env.Self.Address {
			continue
		}
		if err := a.copyMissing(document, node, archivedRevisions); err != nil {
			return err
		}
	}
	return nil
}

// copyMissing archives the configurations that one node has and this node lacks, and adds them to archivedRevisions. A
// node that does not answer is skipped: another may have the same configurations, and the next comparison asks it again.
// Only an error of this node's archive is returned.
func (a *Archiver) copyMissing(document *cluster.Document, node registry.NodeRecord, archivedRevisions map[uint64]bool) error {
	var peerHistory History
	readHistory := func(_ http.Header, content []byte) error { return json.Unmarshal(content, &peerHistory) }
	if err := a.get(node.PublicAddress, "/v1/spec/history", readHistory); err != nil {
		return nil
	}
	for _, metadata := range peerHistory.Archived {
		if a.env.Err() != nil {
			return nil
		}
		if archivedRevisions[metadata.Revision] || !isPrunedFromChain(document, metadata) {
			continue
		}
		config, err := a.getConfig(node.PublicAddress, metadata.Revision)
		if err != nil {
			continue
		}
		if err := a.archive.Store(metadata, config); err != nil {
			return err
		}
		archivedRevisions[metadata.Revision] = true
		a.env.Record("history", "history", "mend", fmt.Sprintf("revision %d came from %s", metadata.Revision, node.Address))
	}
	return nil
}

// isPrunedFromChain reports whether a configuration belongs to this cluster and is older than the document's chain, so
// that only archives hold it. The newer ones are fetched from the core.
func isPrunedFromChain(document *cluster.Document, metadata history.Metadata) bool {
	return len(document.ConfigChain) > 0 && metadata.Revision < document.ConfigChain[0].Revision && metadata.ClusterID == document.ClusterID
}

// getConfig fetches the configuration of exactly one revision from a node's public address.
func (a *Archiver) getConfig(public string, revision uint64) (config []byte, err error) {
	err = a.get(public, fmt.Sprintf("/v1/spec?stale=1&generation=%d", revision), func(headers http.Header, content []byte) error {
		config = content
		if headers.Get(relay.HeaderRevision) != strconv.FormatUint(revision, 10) {
			return history.MissingRevisionError{Revision: revision}
		}
		return nil
	})
	return config, err
}

// unexpectedStatusError reports that another node answered with a status other than 200.
type unexpectedStatusError struct{ status string }

func (b unexpectedStatusError) Error() string { return "unexpected status " + b.status }

func (a *Archiver) get(public, path string, handle func(http.Header, []byte) error) error {
	ctx, cancel := context.WithTimeout(a.env, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+public+path, nil)
	if err != nil {
		return fmt.Errorf("send a history request to %s: %w", public, err)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return fmt.Errorf("send a history request to %s: %w", public, err)
	}
	// The body was only read, so a failed close loses nothing.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("history request to %s: %w", public, unexpectedStatusError{response.Status})
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, max(maxHistoryBytes, fleetconfig.MaxBytes)))
	if err != nil {
		return fmt.Errorf("read the history response of %s: %w", public, err)
	}
	return handle(response.Header, content)
}
