package router

import (
	"net/http"
	"strings"
)

// requestTarget is the target of a caller's request as it stands in the request line. The engine gets it unchanged, so
// the route is looked up by it too. http.Request.URL must not be used for either: its path is decoded, so an encoded slash
// would count as one, and a request could reach the service of another route, or pass the key that its own route needs.
type requestTarget string

// targetOf returns the target of a request.
func targetOf(r *http.Request) requestTarget { return requestTarget(r.RequestURI) }

// path returns the path of the target with its encoding, or "" if the target has none: "*", or the authority of a CONNECT.
// The path of an absolute URI begins after its authority.
func (t requestTarget) path() string {
	path, _, _ := strings.Cut(string(t), "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	_, rest, isAbsolute := strings.Cut(path, "://")
	if !isAbsolute {
		return ""
	}
	start := strings.IndexByte(rest, '/')
	if start < 0 {
		return ""
	}
	return rest[start:]
}
