package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/server"
)

// unreachableError reports that none of the nodes responded.
type unreachableError struct {
	nodes []string
	cause error
}

func (e unreachableError) Error() string {
	return fmt.Sprintf("none of the nodes %v responded: %v", e.nodes, e.cause)
}

func (e unreachableError) Unwrap() error { return e.cause }

// malformedResponseError reports that a value in a node's response, or in the command line, is not
// valid.
type malformedResponseError struct {
	what  string
	cause error
}

func (e malformedResponseError) Error() string { return fmt.Sprintf("read %s: %v", e.what, e.cause) }

func (e malformedResponseError) Unwrap() error { return e.cause }

// do sends a request to the nodes in turn until one responds.
func (s *session) do(method, path string, body []byte, submission string) (int, []byte, error) {
	status, _, got, err := s.query(method, path, body, submission)
	return status, got, err
}

// query is like do, and also returns the headers of the response.
func (s *session) query(method, path string, body []byte, submission string) (int, http.Header, []byte, error) {
	var last error
	for _, node := range s.arguments.Nodes {
		status, headers, got, err := s.queryAt(node, method, path, body, submission)
		if err == nil {
			return status, headers, got, nil
		}
		last = err
	}
	return 0, nil, nil, unreachableError{s.arguments.Nodes, last}
}

func (s *session) doAt(node, method, path string, body []byte, submission string) (int, []byte, error) {
	status, _, got, err := s.queryAt(node, method, path, body, submission)
	return status, got, err
}

func (s *session) queryAt(node, method, path string, body []byte, submission string) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("create a request: %w", err)
	}
	if submission != "" {
		request.Header.Set(server.HeaderSubmission, submission)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("send a request to %s: %w", node, err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("read the response of %s: %w", node, err)
	}
	return response.StatusCode, response.Header, got, nil
}

// submit sends an operation to the nodes in turn until one responds. Each attempt has the same
// submission ID, so the operation is applied at most once.
func (s *session) submit(method, path string, body []byte, submission string) (int, error) {
	if submission == "" {
		submission = rand.Text()
	}
	status, content, err := s.do(method, path, body, submission)
	if err != nil {
		return exitUnknown, fmt.Errorf("%w; query the outcome with: dunlinctl submission %s", err, submission)
	}
	var reply cluster.SubmitResponse
	if err := json.Unmarshal(content, &reply); err != nil || reply.Outcome == "" {
		return s.fail(status, content)
	}
	if s.arguments.JSON {
		s.out.Write(content)
	} else {
		switch reply.Outcome {
		case cluster.Accepted:
			fmt.Fprintf(s.out, "yes, revision %d (submission %s)\n", reply.Revision, reply.ID)
		case cluster.Rejected:
			fmt.Fprintf(s.out, "no, %s: %s (submission %s)\n", reply.Reason, reply.Detail, reply.ID)
		default:
			fmt.Fprintf(s.out, "unproved, %s; query the outcome again with: dunlinctl submission %s\n", reply.Detail, reply.ID)
		}
	}
	switch reply.Outcome {
	case cluster.Accepted:
		return exitAccepted, nil
	case cluster.Rejected:
		return exitRejected, nil
	}
	return exitUnknown, nil
}

// fail prints the typed error in a node's response with all its faults, and returns the exit
// status.
func (s *session) fail(status int, got []byte) (int, error) {
	var body struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
			Faults  []struct {
				Path string `json:"path"`
				Why  string `json:"why"`
			} `json:"faults"`
			More int `json:"more_faults"`
		} `json:"error"`
	}
	if err := json.Unmarshal(got, &body); err != nil {
		return exitFailure, malformedResponseError{fmt.Sprintf("a response of status %d", status), err}
	}
	if s.arguments.JSON {
		s.out.Write(got)
	} else {
		fmt.Fprintf(s.out, "%s: %s\n", body.Error.Type, body.Error.Message)
		for _, fault := range body.Error.Faults {
			fmt.Fprintf(s.out, "  %s: %s\n", fault.Path, fault.Why)
		}
		if body.Error.More > 0 {
			fmt.Fprintf(s.out, "  and %d more\n", body.Error.More)
		}
	}
	switch status {
	case http.StatusNotFound:
		return exitMissing, nil
	case http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge, http.StatusConflict, http.StatusBadRequest:
		return exitRejected, nil
	}
	return exitFailure, nil
}

func (s *session) show(method, path string, body []byte, print func([]byte) error) (int, error) {
	status, got, err := s.do(method, path, body, "")
	if err != nil {
		return exitFailure, err
	}
	if status != http.StatusOK {
		return s.fail(status, got)
	}
	if s.arguments.JSON || print == nil {
		s.out.Write(got)
		return exitAccepted, nil
	}
	if err := print(got); err != nil {
		return exitFailure, err
	}
	return exitAccepted, nil
}
