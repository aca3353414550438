package router

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// writeMessage encodes a request for an engine. The caller's method, target, headers and body stay unchanged, except
// that hop-by-hop headers and Expect are left out, Content-Length is set anew, and newHeaders replace the caller's
// headers of the same names.
func writeMessage(to *bytes.Buffer, r *http.Request, body []byte, newHeaders http.Header) error {
	to.Reset()
	fmt.Fprintf(to, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, targetOf(r), r.Host)
	skipped := map[string]bool{"Content-Length": true, "Expect": true, "Host": true}
	for name := range relay.ConnectionHeaders(r.Header) {
		skipped[name] = true
	}
	for name := range newHeaders {
		skipped[name] = true
	}
	if err := r.Header.WriteSubset(to, skipped); err != nil {
		return fmt.Errorf("write the caller's headers: %w", err)
	}
	if err := newHeaders.Write(to); err != nil {
		return fmt.Errorf("write the router's headers: %w", err)
	}
	if len(body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(to, "Content-Length: %d\r\n", len(body))
	}
	to.WriteString("\r\n")
	to.Write(body)
	return nil
}

// maxPriority is the lowest priority; 0 is the highest.
const maxPriority = 9

// newHeaders returns the headers that the router sets on an attempt.
func (rt *Router) newHeaders(call *Call, run *attemptRun, now kernel.Micros) http.Header {
	request := &call.Request
	headers := http.Header{}
	set := func(name, value string) { headers[http.CanonicalHeaderKey(name)] = []string{value} }
	remaining := max((request.Deadline-now)/kernel.Millisecond, 1)
	set(rt.Wire.Deadline, strconv.FormatInt(int64(remaining), 10))
	set(rt.Wire.WantInstance, run.attempt.Engine.ID)
	set(rt.Wire.Priority, strconv.Itoa(min(max(request.Priority, 0), maxPriority)))
	if request.IsKeyHidden {
		// A header with no values is omitted, and the caller's header of this name is dropped.
		headers[http.CanonicalHeaderKey(rt.Wire.Key)], headers[http.CanonicalHeaderKey(rt.Wire.Tenant)] = nil, nil
	}
	if request.Tenant != nil {
		set(rt.Wire.Tenant, request.Tenant.Name)
	}
	if run.resumedAfter != "" && run.resumedAfter != request.LastEvent {
		set(rt.Wire.LastEvent, run.resumedAfter)
	}
	return headers
}
