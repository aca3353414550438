package relay

import (
	"net/http"
	"slices"
	"strings"
)

// Headers of the project's interfaces (docs/interfaces.md).
const (
	HeaderRequest = "Dunlinloom-Request" // the request's id, to callers and engines
	HeaderKind    = "Dunlinloom-Kind"    // the kind of request, from callers
	HeaderEngine  = "Dunlinloom-Engine"  // the engine that served, to callers
	HeaderRun     = "Dunlinloom-Run"     // a RunState, on rejections
	HeaderNotRun  = "Dunlinloom-Not-Run" // "1": an engine states that it ran nothing
	HeaderRunID   = "Dunlinloom-Run-Id"  // names a run that can be resumed, from engines
	HeaderStart   = "Dunlinloom-Start"   // an engine's start, a number
	HeaderOffset  = "Dunlinloom-Offset"  // where a resumed body begins, in bytes
	// HeaderRevision names the revision of the configuration that a request was handled under.
	HeaderRevision = "Dunlinloom-Generation"
)

// hopByHop are the headers that belong to one connection and are not passed on.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ConnectionHeaders gives the headers of a message that belong to its connection alone: the usual
// ones (RFC 9110, 7.6.1), and those that its Connection lines name. The result must not be changed.
func ConnectionHeaders(header http.Header) map[string]bool {
	lines := header.Values("Connection")
	if len(lines) == 0 {
		return hopByHop
	}
	named := map[string]bool{}
	for name := range hopByHop {
		named[name] = true
	}
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// copyHeaders copies the headers that are passed on.
func copyHeaders(to, from http.Header) {
	dropped := ConnectionHeaders(from)
	for name, lines := range from {
		if !dropped[name] {
			to[name] = slices.Clone(lines)
		}
	}
}
