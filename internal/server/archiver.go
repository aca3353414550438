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

	"dunlinloom/internal/control"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Archiver files every acknowledged configuration in the node's object store. It works beside
// the owners and never on the path of a reply: what it can't do now it tries again.
type Archiver struct {
	env           kernel.Env
	runner        *Runner
	connections   *Connections
	archive       *history.Archive
	known         map[control.ConfigMark]bool // filed and read back by this process
	client        *http.Client
	Filed, Failed atomic.Uint64
}

// Spans of the archiver.
const (
	fileEvery   = time.Second
	mendEvery   = 60 // turns between looks at another node's history
	fetchSpan   = 5 * time.Second
	historySize = 4 << 20
)

// NewArchiver makes a archiver; Run has it work until the environment ends.
func NewArchiver(env kernel.Env, runner *Runner, connections *Connections, kept *history.Archive) *Archiver {
	return &Archiver{
		env: env, runner: runner, connections: connections, archive: kept, known: map[control.ConfigMark]bool{},
		client: &http.Client{Timeout: fetchSpan, Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
	}
}

// Run files what the core has committed, and now and then what other nodes still have.
func (l *Archiver) Run() {
	ticker := time.NewTicker(fileEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		if document := l.runner.State().Document; document != nil {
			err := l.fileChain(document)
			if err == nil && turn%mendEvery == 0 {
				err = l.mend(document, l.runner.State().Nodes)
			}
			if err != nil {
				l.Failed.Add(1)
				l.env.Log.V(1).Info("the object store lags behind", "error", err.Error())
				l.env.Note("history", "history", "lag", err.Error())
			}
		}
		select {
		case <-l.env.Done():
			return
		case <-ticker.C:
		}
	}
}

// fileChain files the configurations that the document names.
func (l *Archiver) fileChain(document *control.Document) error {
	for _, mark := range document.Chain {
		if l.known[mark] {
			continue
		}
		// A stop waits for what is being written, not for a whole chain.
		if l.env.Err() != nil {
			return nil
		}
		if l.archive.Holds(mark.Revision, mark.Digest) {
			l.known[mark] = true
			continue
		}
		config, err := l.configOf(document, mark)
		if err != nil {
			return err
		}
		facts := history.Facts{Revision: mark.Revision, Digest: mark.Digest, Founding: document.Founding}
		for _, submission := range document.Submissions {
			if submission.Revision == mark.Revision && !submission.IsFenced {
				facts.Submission = submission.ID
			}
		}
		if err := l.archive.File(facts, config); err != nil {
			return err
		}
		l.Filed.Add(1)
		l.known[mark] = true
		l.env.Note("history", "history", "file", fmt.Sprintf("revision %d of submission %q", mark.Revision, facts.Submission))
	}
	return nil
}

func (l *Archiver) configOf(document *control.Document, mark control.ConfigMark) ([]byte, error) {
	if mark == control.MarkOf(document) {
		return document.Config, nil
	}
	reply, err := l.runner.Recall(RecallAsk{Mark: mark})
	if err == nil {
		return reply.Config, nil
	}
	failed := []error{err}
	for _, member := range document.Voters {
		if member.Address == l.env.Self.Address {
			continue
		}
		reply, err := l.connections.Recall(l.env, member.Address, RecallAsk{Mark: mark})
		if err == nil {
			return reply.Config, nil
		}
		failed = append(failed, err)
	}
	return nil, errors.Join(failed...)
}

// mend brings what other nodes hold of a past that the core has let go of.
func (l *Archiver) mend(document *control.Document, nodes []control.NodeRecord) error {
	held := map[uint64]bool{}
	for _, facts := range l.archive.History() {
		held[facts.Revision] = true
	}
	for _, node := range nodes {
		if !node.IsController || node.Address == l.env.Self.Address {
			continue
		}
		var past History
		if err := l.get(node.Public, "/v1/spec/history", func(_ http.Header, content []byte) error { return json.Unmarshal(content, &past) }); err != nil {
			continue // another node may tell, and this one when it is back
		}
		for _, facts := range past.Kept {
			if l.env.Err() != nil {
				return nil
			}
			// Only what the chain no longer vouches for; the rest comes from the core.
			if held[facts.Revision] || len(document.Chain) == 0 || facts.Revision >= document.Chain[0].Revision || facts.Founding != document.Founding {
				continue
			}
			var config []byte
			err := l.get(node.Public, fmt.Sprintf("/v1/spec?stale=1&generation=%d", facts.Revision), func(headers http.Header, content []byte) error {
				config = content
				if headers.Get(relay.HeaderRevision) != fmt.Sprint(facts.Revision) {
					return history.Missing{Revision: facts.Revision}
				}
				return nil
			})
			if err != nil {
				continue
			}
			if err := l.archive.File(facts, config); err != nil {
				return err
			}
			held[facts.Revision] = true
			l.env.Note("history", "history", "mend", fmt.Sprintf("revision %d came from %s", facts.Revision, node.Address))
		}
	}
	return nil
}

// unhelpful says that another node answered, but not with what was asked for.
type unhelpful struct{ status string }

func (b unhelpful) Error() string { return "it answered " + b.status }

func (l *Archiver) get(public, path string, take func(http.Header, []byte) error) error {
	ctx, cancel := context.WithTimeout(l.env, fetchSpan)
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
		return fmt.Errorf("ask %s: %w", public, unhelpful{response.Status})
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, max(historySize, fleetconfig.MaxBytes)))
	if err != nil {
		return fmt.Errorf("hear %s: %w", public, err)
	}
	return take(response.Header, content)
}
