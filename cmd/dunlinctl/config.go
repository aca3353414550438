package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
	"github.com/go-git/go-git/v5/utils/diff"
	"github.com/sergi/go-diff/diffmatchpatch"
)

// change puts what a file names into the configuration in force. It is put with the revision that
// was read as its base: of two who do so at once one gets a yes, and nothing is lost.
func (s *session) change(file string) (int, error) {
	change, err := os.ReadFile(file)
	if err != nil {
		return exitTrouble, fmt.Errorf("read the change: %w", err)
	}
	status, headers, document, err := s.ask(http.MethodGet, "/v1/spec", nil, "")
	if err != nil {
		return exitTrouble, err
	}
	if status != http.StatusOK {
		return s.fail(status, document)
	}
	base, err := strconv.ParseUint(headers.Get(relay.HeaderRevision), 10, 64)
	if err != nil || base == 0 {
		return exitTrouble, misread{"the revision of the configuration in force", noRevision{}}
	}
	changed, err := fleetconfig.ChangeByName(document, change, fleetconfig.OwnFieldNames())
	var faults *fleetconfig.Faults
	var above fleetconfig.TooLarge
	if errors.As(err, &faults) || errors.As(err, &above) {
		return exitNo, err
	}
	if err != nil {
		return exitTrouble, err
	}
	if !s.arguments.JSON {
		fmt.Fprintf(s.out, "from revision %d%s, to be put%s\n", base, versionNote(document), versionNote(changed))
	}
	return s.order(http.MethodPut, fmt.Sprintf("/v1/spec?base=%d", base), changed, "")
}

// versionNote tells the operator's own number of a configuration in the product's form, if it has one.
func versionNote(document []byte) string {
	var config struct{ Version json.Number }
	if json.Unmarshal(document, &config) != nil || config.Version == "" || config.Version == "0" {
		return ""
	}
	return ", version " + config.Version.String()
}

func (s *session) put(file string, base *uint64, submission string) (int, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return exitTrouble, fmt.Errorf("read the configuration: %w", err)
	}
	path := "/v1/spec"
	if base != nil {
		path += fmt.Sprintf("?base=%d", *base)
	}
	return s.order(http.MethodPut, path, content, submission)
}

func (s *session) printHistory(got []byte) error {
	var past server.History
	if err := json.Unmarshal(got, &past); err != nil {
		return misread{"the history", err}
	}
	kept, all := map[uint64]history.Facts{}, slices.Clone(past.Revisions)
	for _, facts := range past.Kept {
		kept[facts.Revision] = facts
		all = append(all, facts.Revision)
	}
	slices.Sort(all)
	for _, revision := range slices.Compact(all) {
		line := fmt.Sprint(revision)
		if facts, isKept := kept[revision]; isKept {
			line += fmt.Sprintf("  submission %s, filed %s", facts.Submission, facts.Filed)
		}
		if revision == past.Current {
			line += "  in force"
		}
		fmt.Fprintln(s.out, line)
	}
	return nil
}

// diff prints what changed between two configurations, line by line of their indented JSON.
func (s *session) diff(from, to uint64) (int, error) {
	texts := [2]string{}
	for i, revision := range []uint64{from, to} {
		if revision == 0 {
			return exitTrouble, misread{"the revisions", noRevision{}}
		}
		status, got, err := s.do(http.MethodGet, fmt.Sprintf("/v1/spec?generation=%d", revision), nil, "")
		if err != nil {
			return exitTrouble, err
		}
		if status != http.StatusOK {
			return s.fail(status, got)
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, got, "", "  "); err != nil {
			return exitTrouble, misread{fmt.Sprintf("the configuration of revision %d", revision), err}
		}
		texts[i] = indented.String() + "\n"
	}
	for _, part := range diff.Do(texts[0], texts[1]) {
		sign := map[diffmatchpatch.Operation]string{diffmatchpatch.DiffInsert: "+", diffmatchpatch.DiffDelete: "-"}[part.Type]
		if sign == "" {
			continue
		}
		for _, line := range strings.Split(strings.TrimSuffix(part.Text, "\n"), "\n") {
			fmt.Fprintln(s.out, sign+line)
		}
	}
	return exitYes, nil
}

// noRevision says that zero names none.
type noRevision struct{}

func (noRevision) Error() string { return "they count from 1" }
