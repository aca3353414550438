package router

import (
	"dunlinloom/internal/kernel"
)

// engineState is what a router knows of an engine: the router's own attempts there, the load that the engine last
// reported, and its health.
type engineState struct {
	engine            Engine
	tableNumber       uint64 // of the newest routing table that lists the engine
	attempts          map[*Attempt]bool
	outstandingTokens int64 // of this router's attempts
	failures          int
	ejectedUntil      kernel.Micros
	isProbing         bool
	lastSeenAt        kernel.Micros // when the router last received anything from the engine
	foreignRequests   float64       // requests of other routers, by the last load report
	foreignWaiting    float64       // those of them that waited for their first event
	loadReportedAt    kernel.Micros
	hasLoadReport     bool
	// prefillTimePerToken is the measured time to the first event, in microseconds for each prompt token that the engine
	// had to process first.
	prefillTimePerToken float64
	prefillTimeAt       kernel.Micros
}
