// Package router is the data plane for requests that a deployment's routes lead to
// engines which register themselves: which engine an attempt goes to, what may be tried
// again, the connections to engines, and the relay of an answer.
//
// What it speaks is told by a Wire: the names belong to the deployment, the meaning is here.
package router

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// Wire names the headers that a deployment's callers and engines use.
type Wire struct {
	RequestID    string // of one try of a caller
	Deadline     string // milliseconds that are left
	Tokens       string // prompt and the most put out, separated by a comma
	Prefix       string // the prompt's parts in order, ID:TOKENS separated by commas
	LastEvent    string // where a stream goes on
	EngineProof  string // an engine's proof that it made an answer
	WantInstance string // the one engine that may run the request
	Load         string // running, waiting, slots of the answering engine
	NotRun       string // an engine's word that it did not run the request
	Priority     string // 0 is first
	Key          string // a tenant's key, after the scheme
	KeyScheme    string
	Tenant       string // whose key a request came with
}

// DefaultWire is the product's own.
func DefaultWire() Wire {
	return Wire{
		RequestID: "Dunlinloom-Request", Deadline: "Dunlinloom-Deadline", Tokens: "Dunlinloom-Tokens", Prefix: "Dunlinloom-Prefix",
		LastEvent: "Last-Event-Id", EngineProof: "Dunlinloom-Stamp", WantInstance: "Dunlinloom-Want-Engine", Load: "Dunlinloom-Load",
		NotRun: "Dunlinloom-Not-Run", Priority: "Dunlinloom-Priority",
		Key: "Authorization", KeyScheme: "Bearer", Tenant: "Dunlinloom-Tenant",
	}
}

// Engine is what the control plane tells of one engine.
type Engine struct {
	ID, Address, Zone, Service string
	Slots                      int
	IsDraining, IsUnresponsive bool
}

// RoutingTable is all that the control plane has told this router, as one snapshot.
type RoutingTable struct {
	Config  *fleetconfig.Config
	Engines []Engine
	Routers int // routers that serve now, this one included
}

// Segment is a stretch of a prompt that other prompts may share.
type Segment struct {
	ID     string
	Tokens int
}

// Request is what the choice of an engine goes by.
type Request struct {
	ID                      string
	PromptTokens, MaxTokens int
	Segments                []Segment
	ArrivedAt               kernel.Micros
	Deadline                kernel.Micros // the moment after which nobody waits any more
	Route                   *fleetconfig.Route
	Service                 string
	LastEvent               string
	Priority                int                 // 0 is first
	Tenant                  *fleetconfig.Tenant // whose key it came with; nil: it needed none
	HasTokens               bool                // it tells its tokens
	// IsKeyHidden: engines are told the tenant, and not the key.
	IsKeyHidden bool
}

// BadHeaderError says which header can't be read.
type BadHeaderError struct{ Name, Reason string }

func (b BadHeaderError) Error() string { return b.Name + ": " + b.Reason }

const (
	maxTokens   = 1 << 30
	maxSegments = 1 << 12
)

// ParseTokens reads "PROMPT,MOST"; nothing stands for zero tokens.
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

// countError says why a word is no number of tokens.
type countError struct{ text string }

func (b countError) Error() string { return "are not a whole number: " + strconv.Quote(b.text) }

func parseCount(text string) (int, error) {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
	if err != nil || count > maxTokens {
		return 0, countError{text}
	}
	return int(count), nil
}

// ParseSegments reads "ID:TOKENS,ID:TOKENS"; nothing stands for a prompt without parts.
func ParseSegments(name, text string) ([]Segment, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, ",")
	if len(fields) > maxSegments {
		return nil, BadHeaderError{name, "it has more than " + strconv.Itoa(maxSegments) + " parts"}
	}
	parts := make([]Segment, 0, len(fields))
	for _, field := range fields {
		id, count, hasCount := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := parseCount(count)
		if !hasCount || id == "" || err != nil {
			return nil, BadHeaderError{name, "a part is not ID:TOKENS: " + strconv.Quote(field)}
		}
		parts = append(parts, Segment{id, tokens})
	}
	return parts, nil
}

// PrefixHash hashes the ids of the parts that cover the first tokens of a prompt.
func PrefixHash(parts []Segment, length int) uint64 {
	digest := xxhash.New()
	for covered, i := 0, 0; i < len(parts) && covered < length; i++ {
		digest.WriteString(parts[i].ID)
		digest.Write([]byte{','})
		covered += parts[i].Tokens
	}
	return digest.Sum64()
}

// sharedHash hashes all parts but the last, which belongs to one request or session.
func sharedHash(parts []Segment) uint64 {
	digest := xxhash.New()
	for i := 0; i < len(parts)-1; i++ {
		digest.WriteString(parts[i].ID)
		digest.Write([]byte{','})
	}
	return digest.Sum64()
}

// Load is an engine's late word on itself.
type Load struct{ Running, Waiting, Slots int }

// ParseLoad reads "RUNNING,WAITING,SLOTS"; false when it is not that.
func ParseLoad(text string) (Load, bool) {
	words := strings.Split(text, ",")
	if len(words) != 3 {
		return Load{}, false
	}
	var counts [3]int
	for i, word := range words {
		count, err := parseCount(word)
		if err != nil {
			return Load{}, false
		}
		counts[i] = count
	}
	return Load{counts[0], counts[1], counts[2]}, true
}
