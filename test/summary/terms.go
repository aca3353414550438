package summary

import (
	"strings"

	"dunlinloom/test/checker"
)

// Reports keep the names that are stored in the event records. The tables below map these names to the terms that
// pages show.

var outcomeTerms = map[checker.Outcome]string{
	checker.EngineError: "the engine's own error", checker.NotRun: "rejected (not run)", checker.MayHaveRun: "failed (may have run)",
	checker.Truncated: "truncated", checker.Corrupted: "wrong bytes", checker.FalseEnd: "ended as if complete", checker.NoResponse: "no response",
	checker.Unreached: "no connection", checker.Abandoned: "cancelled by the caller",
}

// Unserved returns the counts of calls that were not served, by the term of their outcome.
func Unserved(outcomes map[string]int) map[string]int {
	found := map[string]int{}
	for name, number := range outcomes {
		if checker.Outcome(name) == checker.Served {
			continue
		}
		term, isKnown := outcomeTerms[checker.Outcome(name)]
		if !isKnown {
			term = name
		}
		found[term] += number
	}
	return found
}

var operationTerms = map[string]string{
	"spec": "configuration", "empty": "drain of a zone", "refill": "end of a drain", "repeat": "repeated operation", "newest": "linearizable read",
	"forget": "removal of a router", "change": "change of a configuration",
}

var answerTerms = map[string]string{"yes": "accepted", "no": "rejected", "unproved": "without a response", "read": "answered"}

var reasonTerms = map[string]string{"clash": "conflict", "no_majority": "no quorum", "busy": "overloaded", "leader_changed": "leader changed"}

// Operations returns the counts of operator requests by term. The keys of orders have the form "operation outcome
// reason".
func Operations(orders map[string]int) map[string]int {
	found := map[string]int{}
	for name, number := range orders {
		words := strings.Fields(name)
		terms := []string{}
		for i, word := range words {
			table := []map[string]string{operationTerms, answerTerms, reasonTerms}[min(i, 2)]
			if term, isKnown := table[word]; isKnown {
				word = term
			}
			terms = append(terms, word)
		}
		if len(terms) > 2 {
			terms = append(terms[:2], "("+strings.Join(terms[2:], " ")+")")
		}
		found[strings.Join(terms, " ")] += number
	}
	return found
}

var endingTerms = map[checker.Ending]string{
	checker.Complete: "answered", checker.Incomplete: "truncated", checker.NoAnswer: "no response", checker.Malformed: "malformed response", checker.Canceled: "cancelled by the caller",
}

// Endings returns the counts of attempts that were not served by term. The keys of endings have the form "ending
// status".
func Endings(endings map[string]int) map[string]int {
	found := map[string]int{}
	for name, number := range endings {
		ending, status, _ := strings.Cut(name, " ")
		if checker.Ending(ending) == checker.Complete && status == "200" {
			continue
		}
		term, isKnown := endingTerms[checker.Ending(ending)]
		if !isKnown {
			term = ending
		}
		if status != "" && status != "0" {
			term += " (" + status + ")"
		}
		found[term] += number
	}
	return found
}

// messageTerms maps the kinds of messages between nodes, as named in the byte metrics, to the terms that pages show.
var messageTerms = map[string]string{
	"Heartbeat": "heartbeats", "HeartbeatReply": "heartbeats", "AskBatch": "serving leases", "GrantBatch": "serving leases", "Ask": "serving leases", "Grant": "serving leases",
	"News": "directory updates", "Mend": "anti-entropy", "Shuffle": "membership shuffles", "Attest": "attestations", "AttestReply": "attestations",
	"Submit": "operations", "SubmitReply": "operations", "SubmitRetry": "operations", "SubmitRetryReply": "operations", "ReadAsk": "reads", "ReadReply": "reads",
	"Vote": "elections", "VoteAsk": "elections", "Inherit": "elections", "Recall": "past configurations", "Recalled": "past configurations",
	"QuotaAsk": "quotas", "QuotaGrant": "quotas",
}

// Crossing sums bytes by the purpose of the messages. Unknown kinds count as "other".
func Crossing(bytesByKind map[string]float64) map[string]float64 {
	found := map[string]float64{}
	for kind, bytes := range bytesByKind {
		term, isKnown := messageTerms[kind]
		if !isKnown {
			term = "other"
		}
		found[term] += bytes
	}
	return found
}
