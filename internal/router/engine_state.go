package router

import (
	"dunlinloom/internal/kernel"
)

// engineState is what a router knows of an engine: its own attempts there, its load by the late reports of
// the engine, and its health.
type engineState struct {
	engine            Engine
	tableNumber       uint64 // of the newest routing table that has it
	attempts          map[*Attempt]bool
	outstandingTokens int64 // outstanding, of own attempts
	failures          int
	ejectedUntil      kernel.Micros
	isProbing         bool
	lastSeenAt        kernel.Micros // when anything was last heard from it
	foreignRequests   float64       // requests of other routers there, by its last report
	foreignWaiting    float64       // of those, the ones that waited for their first event
	loadReportedAt    kernel.Micros
	hasLoadReport     bool
	// prefillTimePerToken is the learned time to the first event, in microseconds for each token that had to be read first.
	prefillTimePerToken float64
	prefillTimeAt       kernel.Micros
}
