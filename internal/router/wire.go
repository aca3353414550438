package router

import (
	"strconv"
	"strings"
)

// Wire holds the names of the HTTP headers that callers and engines of a deployment use.
type Wire struct {
	RequestID    string // ID of the request, chosen by the caller
	Deadline     string // milliseconds until the request's deadline
	Tokens       string // tokens of the prompt and maximum tokens of the output, separated by a comma
	Prefix       string // segments of the prompt in order, ID:TOKENS separated by commas
	LastEvent    string // ID of the last event that the receiver of a resumed stream has
	EngineProof  string // proves that an engine made the response
	WantInstance string // the one engine that may run the request
	Load         string // running requests, waiting requests and slots of the engine
	NotRun       string // states that the engine did not run the request
	Priority     string // 0 is the highest
	Key          string // key of a tenant, after the scheme
	KeyScheme    string
	Tenant       string // name of the tenant whose key the request came with
}

// DefaultWire returns the default header names.
func DefaultWire() Wire {
	return Wire{
		RequestID: "Dunlinloom-Request", Deadline: "Dunlinloom-Deadline", Tokens: "Dunlinloom-Tokens", Prefix: "Dunlinloom-Prefix",
		LastEvent: "Last-Event-Id", EngineProof: "Dunlinloom-Stamp", WantInstance: "Dunlinloom-Want-Engine", Load: "Dunlinloom-Load",
		NotRun: "Dunlinloom-Not-Run", Priority: "Dunlinloom-Priority",
		Key: "Authorization", KeyScheme: "Bearer", Tenant: "Dunlinloom-Tenant",
	}
}

// BadHeaderError says which header can't be parsed.
type BadHeaderError struct{ Name, Reason string }

func (e BadHeaderError) Error() string { return e.Name + ": " + e.Reason }

const (
	maxTokens   = 1 << 30
	maxSegments = 1 << 12
)

// ParseTokens parses "PROMPT,OUTPUT"; a missing part is zero. The error is a BadHeaderError with the header's name.
func ParseTokens(name, text string) (prompt, output int, err error) {
	if text == "" {
		return 0, 0, nil
	}
	first, second, _ := strings.Cut(text, ",")
	if prompt, err = parseCount(first); err != nil {
		return 0, 0, BadHeaderError{name, "the prompt tokens " + err.Error()}
	}
	if second == "" {
		return prompt, 0, nil
	}
	if output, err = parseCount(second); err != nil {
		return 0, 0, BadHeaderError{name, "the output tokens " + err.Error()}
	}
	return prompt, output, nil
}

// countError says that a text is not a valid number of tokens.
type countError struct{ text string }

func (e countError) Error() string {
	return "are not a whole number within the limit: " + strconv.Quote(e.text)
}

func parseCount(text string) (int, error) {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
	if err != nil || count > maxTokens {
		return 0, countError{text}
	}
	return int(count), nil
}

// ParseSegments parses "ID:TOKENS,ID:TOKENS"; an empty text has no segments. The error is a BadHeaderError with the
// header's name.
func ParseSegments(name, text string) ([]Segment, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, ",")
	if len(fields) > maxSegments {
		return nil, BadHeaderError{name, "more than " + strconv.Itoa(maxSegments) + " segments"}
	}
	segments := make([]Segment, 0, len(fields))
	for _, field := range fields {
		id, count, hasCount := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := parseCount(count)
		if !hasCount || id == "" || err != nil {
			return nil, BadHeaderError{name, "segment is not of the form ID:TOKENS: " + strconv.Quote(field)}
		}
		segments = append(segments, Segment{id, tokens})
	}
	return segments, nil
}

// Load is an engine's load report: how many requests run, how many wait, and how many can run at once.
type Load struct{ Running, Waiting, Slots int }

// ParseLoad parses "RUNNING,WAITING,SLOTS" and reports whether the text has this form.
func ParseLoad(text string) (Load, bool) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return Load{}, false
	}
	var counts [3]int
	for i, field := range fields {
		count, err := parseCount(field)
		if err != nil {
			return Load{}, false
		}
		counts[i] = count
	}
	return Load{counts[0], counts[1], counts[2]}, true
}
