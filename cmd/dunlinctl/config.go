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

// change applies the change in a file to the current configuration and submits the result. The
// revision that was read is the base of the submission, so of two concurrent changes only one is
// accepted and none is overwritten.
func (s *session) change(file string) (int, error) {
	change, err := os.ReadFile(file)
	if err != nil {
		return exitFailure, fmt.Errorf("read the change: %w", err)
	}
	status, headers, document, err := s.query(http.MethodGet, "/v1/spec", nil, "")
	if err != nil {
		return exitFailure, err
	}
	if status != http.StatusOK {
		return s.fail(status, document)
	}
	base, err := strconv.ParseUint(headers.Get(relay.HeaderRevision), 10, 64)
	if err != nil || base == 0 {
		return exitFailure, malformedResponseError{"the revision of the current configuration", zeroRevisionError{}}
	}
	changed, err := fleetconfig.ChangeByName(document, change, fleetconfig.NativeFieldNames())
	var faults *fleetconfig.InvalidConfigError
	var tooLarge fleetconfig.TooLargeError
	if errors.As(err, &faults) || errors.As(err, &tooLarge) {
		return exitRejected, err
	}
	if err != nil {
		return exitFailure, err
	}
	if !s.arguments.JSON {
		fmt.Fprintf(s.out, "from revision %d%s, to be put%s\n", base, versionNote(document), versionNote(changed))
	}
	return s.submit(http.MethodPut, fmt.Sprintf("/v1/spec?base=%d", base), changed, "")
}

// versionNote returns a suffix with the operator's version of a configuration in the fleet's own
// format, or an empty string if it has none.
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
		return exitFailure, fmt.Errorf("read the configuration: %w", err)
	}
	path := "/v1/spec"
	if base != nil {
		path += fmt.Sprintf("?base=%d", *base)
	}
	return s.submit(http.MethodPut, path, content, submission)
}

func (s *session) printHistory(got []byte) error {
	var archive server.History
	if err := json.Unmarshal(got, &archive); err != nil {
		return malformedResponseError{"the history", err}
	}
	archived, all := map[uint64]history.Metadata{}, slices.Clone(archive.Revisions)
	for _, metadata := range archive.Archived {
		archived[metadata.Revision] = metadata
		all = append(all, metadata.Revision)
	}
	slices.Sort(all)
	for _, revision := range slices.Compact(all) {
		line := fmt.Sprint(revision)
		if metadata, isArchived := archived[revision]; isArchived {
			line += fmt.Sprintf("  submission %s, filed %s", metadata.Submission, metadata.StoredAt)
		}
		if revision == archive.CurrentRevision {
			line += "  in force"
		}
		fmt.Fprintln(s.out, line)
	}
	return nil
}

// diff prints the differences between two configurations by lines of their indented JSON.
func (s *session) diff(from, to uint64) (int, error) {
	texts := [2]string{}
	for i, revision := range []uint64{from, to} {
		if revision == 0 {
			return exitFailure, malformedResponseError{"the revisions", zeroRevisionError{}}
		}
		status, got, err := s.do(http.MethodGet, fmt.Sprintf("/v1/spec?generation=%d", revision), nil, "")
		if err != nil {
			return exitFailure, err
		}
		if status != http.StatusOK {
			return s.fail(status, got)
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, got, "", "  "); err != nil {
			return exitFailure, malformedResponseError{fmt.Sprintf("the configuration of revision %d", revision), err}
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
	return exitAccepted, nil
}

// zeroRevisionError reports that a revision is zero or missing.
type zeroRevisionError struct{}

func (zeroRevisionError) Error() string { return "revisions start at 1" }
