package wings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"dunlinloom/auditorium"
	"dunlinloom/flyloft"
	"dunlinloom/house"
	"dunlinloom/playbill"
	"dunlinloom/wardrobe"
)

// Librarian files every acknowledged spec in the node's object store. It works beside
// the owners and never on the path of a receipt: what it can't do now it tries again.
type Librarian struct {
	cue           house.Cue
	runner        *Runner
	channels      *Channels
	wardrobe      *wardrobe.Wardrobe
	known         map[flyloft.SpecMark]bool // filed and read back by this process
	client        *http.Client
	Filed, Failed atomic.Uint64
}

// Spans of the librarian.
const (
	fileEvery   = time.Second
	mendEvery   = 60 // turns between looks at another node's history
	fetchSpan   = 5 * time.Second
	historySize = 4 << 20
)

// NewLibrarian makes a librarian; Run has it work until the cue ends.
func NewLibrarian(cue house.Cue, runner *Runner, channels *Channels, kept *wardrobe.Wardrobe) *Librarian {
	return &Librarian{
		cue: cue, runner: runner, channels: channels, wardrobe: kept, known: map[flyloft.SpecMark]bool{},
		client: &http.Client{Timeout: fetchSpan, Transport: &http.Transport{DialContext: plainDialer(), DisableKeepAlives: true}},
	}
}

// Run files what the core has committed, and now and then what other nodes still have.
func (l *Librarian) Run() {
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
				l.cue.Log.V(1).Info("the object store lags behind", "error", err.Error())
				l.cue.Note("wardrobe", "history", "lag", err.Error())
			}
		}
		select {
		case <-l.cue.Done():
			return
		case <-ticker.C:
		}
	}
}

// fileChain files the specs that the document names.
func (l *Librarian) fileChain(document *flyloft.Document) error {
	for _, mark := range document.Chain {
		if l.known[mark] {
			continue
		}
		// A stop waits for what is being written, not for a whole chain.
		if l.cue.Err() != nil {
			return nil
		}
		if l.wardrobe.Holds(mark.Generation, mark.Digest) {
			l.known[mark] = true
			continue
		}
		spec, err := l.specOf(document, mark)
		if err != nil {
			return err
		}
		facts := wardrobe.Facts{Generation: mark.Generation, Digest: mark.Digest, Founding: document.Founding}
		for _, submission := range document.Submissions {
			if submission.Generation == mark.Generation && !submission.IsFenced {
				facts.Submission = submission.ID
			}
		}
		if err := l.wardrobe.File(facts, spec); err != nil {
			return err
		}
		l.Filed.Add(1)
		l.known[mark] = true
		l.cue.Note("wardrobe", "history", "file", fmt.Sprintf("generation %d of submission %q", mark.Generation, facts.Submission))
	}
	return nil
}

func (l *Librarian) specOf(document *flyloft.Document, mark flyloft.SpecMark) ([]byte, error) {
	if mark == flyloft.MarkOf(document) {
		return document.Spec, nil
	}
	receipt, err := l.runner.Recall(RecallAsk{Mark: mark})
	if err == nil {
		return receipt.Spec, nil
	}
	failed := []error{err}
	for _, member := range document.Voters {
		if member.Address == l.cue.Self.Address {
			continue
		}
		receipt, err := l.channels.Recall(l.cue, member.Address, RecallAsk{Mark: mark})
		if err == nil {
			return receipt.Spec, nil
		}
		failed = append(failed, err)
	}
	return nil, errors.Join(failed...)
}

// mend brings what other nodes hold of a past that the core has let go of.
func (l *Librarian) mend(document *flyloft.Document, nodes []flyloft.NodeRecord) error {
	held := map[uint64]bool{}
	for _, facts := range l.wardrobe.History() {
		held[facts.Generation] = true
	}
	for _, node := range nodes {
		if !node.IsPrompter || node.Address == l.cue.Self.Address {
			continue
		}
		var history History
		if err := l.get(node.Public, "/v1/spec/history", func(_ http.Header, content []byte) error { return json.Unmarshal(content, &history) }); err != nil {
			continue // another node may tell, and this one when it is back
		}
		for _, facts := range history.Kept {
			if l.cue.Err() != nil {
				return nil
			}
			// Only what the chain no longer vouches for; the rest comes from the core.
			if held[facts.Generation] || len(document.Chain) == 0 || facts.Generation >= document.Chain[0].Generation || facts.Founding != document.Founding {
				continue
			}
			var spec []byte
			err := l.get(node.Public, fmt.Sprintf("/v1/spec?stale=1&generation=%d", facts.Generation), func(headers http.Header, content []byte) error {
				spec = content
				if headers.Get(auditorium.HeaderGeneration) != fmt.Sprint(facts.Generation) {
					return wardrobe.Missing{Generation: facts.Generation}
				}
				return nil
			})
			if err != nil {
				continue
			}
			if err := l.wardrobe.File(facts, spec); err != nil {
				return err
			}
			held[facts.Generation] = true
			l.cue.Note("wardrobe", "history", "mend", fmt.Sprintf("generation %d came from %s", facts.Generation, node.Address))
		}
	}
	return nil
}

// unhelpful says that another node answered, but not with what was asked for.
type unhelpful struct{ status string }

func (b unhelpful) Error() string { return "it answered " + b.status }

func (l *Librarian) get(public, path string, take func(http.Header, []byte) error) error {
	ctx, cancel := context.WithTimeout(l.cue, fetchSpan)
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
	content, err := io.ReadAll(io.LimitReader(response.Body, max(historySize, playbill.MaxBytes)))
	if err != nil {
		return fmt.Errorf("hear %s: %w", public, err)
	}
	return take(response.Header, content)
}
