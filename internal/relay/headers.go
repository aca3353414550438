package relay

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that belong to one connection and are not passed on.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ConnectionHeaders tells which headers of a message belong to its connection alone: the usual
// ones, and those that its Connection lines name. The result must not be changed.
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
