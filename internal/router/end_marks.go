package router

import "sync"

// endMarks remembers of which services the streams close with an end mark. It learns from streams whose end is certain,
// by a length or a last chunk, and the newest of them counts: an upgrade may change the form.
type endMarks struct {
	lock       sync.Mutex // guards isMarkedBy
	isMarkedBy map[string]bool
}

// observe notes whether a stream of a service, complete for certain, closed with an end mark.
func (e *endMarks) observe(service string, hasEndMark bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.isMarkedBy == nil {
		e.isMarkedBy = map[string]bool{}
	}
	e.isMarkedBy[service] = hasEndMark
}

// isExpected tells whether a stream of a service has to close with an end mark.
func (e *endMarks) isExpected(service string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.isMarkedBy[service]
}
