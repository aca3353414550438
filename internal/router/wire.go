package router

import (
	"strconv"
	"strings"
)

// Wire names the headers that a deployment's callers and engines use.
type Wire struct {
	RequestID    string // of one attempt of a caller
	Deadline     string // milliseconds that are left
	Tokens       string // of the prompt and at most of the output, separated by a comma
	Prefix       string // the prompt's segments in order, ID:TOKENS separated by commas
	LastEvent    string // the last event that the caller has of a stream that it resumes
	EngineProof  string // an engine's proof that it made an answer
	WantInstance string // the one engine that may run the request
	Load         string // running, waiting, slots of the answering engine
	NotRun       string // an engine's statement that it did not run the request
	Priority     string // 0 is first
	Key          string // a tenant's key, after the scheme
	KeyScheme    string
	Tenant       string // whose key a request came with
}

// DefaultWire gives the product's own names.
func DefaultWire() Wire {
	return Wire{
		RequestID: "Dunlinloom-Request", Deadline: "Dunlinloom-Deadline", Tokens: "Dunlinloom-Tokens", Prefix: "Dunlinloom-Prefix",
		LastEvent: "Last-Event-Id", EngineProof: "Dunlinloom-Stamp", WantInstance: "Dunlinloom-Want-Engine", Load: "Dunlinloom-Load",
		NotRun: "Dunlinloom-Not-Run", Priority: "Dunlinloom-Priority",
		Key: "Authorization", KeyScheme: "Bearer", Tenant: "Dunlinloom-Tenant",
	}
}

// BadHeaderError says which header can't be read.
type BadHeaderError struct{ Name, Reason string }

func (e BadHeaderError) Error() string { return e.Name + ": " + e.Reason }

const (
	maxTokens   = 1 << 30
	maxSegments = 1 << 12
)

// ParseTokens reads "PROMPT,MOST"; nothing stands for zero tokens. The error is a BadHeaderError with the
// header's name.
func ParseTokens(name, text string) (prompt, most int, err error) {
	if text == "" {
		return 0, 0, nil
	}
	first, second, _ := strings.Cut(text, ",")
	if prompt, err = parseCount(first); err != nil {
		return 0, 0, BadHeaderError{name, "the prompt's tokens " + err.Error()}
	}
	if second == "" {
		return prompt, 0, nil
	}
	if most, err = parseCount(second); err != nil {
		return 0, 0, BadHeaderError{name, "the tokens put out " + err.Error()}
	}
	return prompt, most, nil
}

// countError says that a text is not a number of tokens.
type countError struct{ text string }

func (e countError) Error() string { return "are not a whole number: " + strconv.Quote(e.text) }

func parseCount(text string) (int, error) {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
	if err != nil || count > maxTokens {
		return 0, countError{text}
	}
	return int(count), nil
}

// ParseSegments reads "ID:TOKENS,ID:TOKENS"; nothing stands for a prompt without segments. The error is a
// BadHeaderError with the header's name.
func ParseSegments(name, text string) ([]Segment, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, ",")
	if len(fields) > maxSegments {
		return nil, BadHeaderError{name, "it has more than " + strconv.Itoa(maxSegments) + " parts"}
	}
	segments := make([]Segment, 0, len(fields))
	for _, field := range fields {
		id, count, hasCount := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := parseCount(count)
		if !hasCount || id == "" || err != nil {
			return nil, BadHeaderError{name, "a part is not ID:TOKENS: " + strconv.Quote(field)}
		}
		segments = append(segments, Segment{id, tokens})
	}
	return segments, nil
}

// Load is an engine's report on its requests: how many run, how many wait, and how many can run at once.
type Load struct{ Running, Waiting, Slots int }

// ParseLoad reads "RUNNING,WAITING,SLOTS"; false when it is not that.
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
