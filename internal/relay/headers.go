package relay

import (
	"net/http"
	"slices"
	"strings"
)

// Headers of the project's interfaces (docs/interfaces.md).
const (
	HeaderRequest = "Dunlinloom-Request" // the request's id, sent to callers and engines
	HeaderKind    = "Dunlinloom-Kind"    // the kind of request, sent by callers
	HeaderEngine  = "Dunlinloom-Engine"  // the engine that served the request, sent to callers
	HeaderRun     = "Dunlinloom-Run"     // a RunState, sent with rejections
	HeaderNotRun  = "Dunlinloom-Not-Run" // "1": the engine declares that it did not run the request
	HeaderRunID   = "Dunlinloom-Run-Id"  // id of a run that can be resumed, sent by engines
	HeaderStart   = "Dunlinloom-Start"   // a number that identifies the engine process, sent by engines
	HeaderOffset  = "Dunlinloom-Offset"  // byte offset at which a resumed body begins
	// HeaderRevision is the revision of the configuration under which a request was handled.
	HeaderRevision = "Dunlinloom-Generation"
)

// hopByHop has the hop-by-hop headers, which apply to one connection and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ConnectionHeaders returns the names of the hop-by-hop headers of a message: the standard ones
// (RFC 9110, 7.6.1) and those that its Connection headers list. The result must not be changed.
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

// copyHeaders copies all headers except the hop-by-hop ones.
func copyHeaders(to, from http.Header) {
	dropped := ConnectionHeaders(from)
	for name, lines := range from {
		if !dropped[name] {
			to[name] = slices.Clone(lines)
		}
	}
}
