package playbill

import "dunlinloom/house"

// RouteKind says what may be done with a route's requests after a failure.
type RouteKind int

// The kinds of routes.
const (
	Unsafe RouteKind = iota // at most one engine may run a request
	Safe                    // any number may
	Stream                  // as unsafe, with an answer in events; one that may be resumed is repeatable
)

// Split leads a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  uint32
}

// Route leads the requests of a host and path prefix to the engines of services.
type Route struct {
	Name, Host, Prefix string // the prefix begins and ends with a slash
	Kind               RouteKind
	Timeout            house.Micros // the longest that a request may be held
	Goal               house.Micros // within which an answer, or a stream's first event, earns its full worth
	GapGoal            house.Micros // the longest pause between events that is still in time; zero: none is set
	Priority           int          // 0 is the highest
	Tries              int          // engines that one request may be sent to
	IsPinned           bool         // placed by its prompt's prefix
	IsResumable        bool         // a stream may go on at another engine after its last event
	Splits             []Split      // at least one
}

// IsRepeatable tells whether a request may run more than once.
func (r *Route) IsRepeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.IsResumable }

// Service is a pool of engines that register themselves under its name.
type Service struct {
	Name         string
	HealthPath   string
	MaxChannels  int // connections that one engine takes from all callers together
	Slots        int // requests that one engine works on at once; zero: not said
	MemoryTokens int64
	Stride       int // tokens in an event of a stream
}

// Caps bound what a caller may send, and how long it may take or rest.
type Caps struct {
	HeaderBytes, BodyBytes int64
	HeaderTime, IdleTime   house.Micros
}

// Form reads operators' documents of one form. The product's own is protojson; a
// deployment may bring another, which is kept and read back as it was sent.
type Form interface {
	// Read takes a document to a compiled spec, or to every fault in it.
	Read(document []byte) (*Spec, error)
	// Change applies a change of named items to a document and gives the whole
	// document that follows. It does not judge the result; Read does.
	Change(document, change []byte) ([]byte, error)
}
