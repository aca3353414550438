package router

import "sync"

// endMarks records which services close their streams with an end mark (see endMark). It learns this from streams whose
// end is certain because they had a length or a last chunk. The most recent of these streams decides, since an upgrade
// may change the format.
type endMarks struct {
	lock       sync.Mutex // guards isMarkedBy
	isMarkedBy map[string]bool
}

// observe records whether a stream of a service, known to be complete, closed with an end mark.
func (e *endMarks) observe(service string, hasEndMark bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.isMarkedBy == nil {
		e.isMarkedBy = map[string]bool{}
	}
	e.isMarkedBy[service] = hasEndMark
}

// isExpected reports whether streams of a service are expected to close with an end mark.
func (e *endMarks) isExpected(service string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.isMarkedBy[service]
}
