package fleetconfig

import (
	"fmt"
	"math/bits"
	"strings"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
	"dunlinloom/internal/kernel"
)

// RouteKind determines whether a router may send a request again after a failure.
type RouteKind int

// The kinds of routes.
const (
	Unsafe RouteKind = iota // a request may run at most once
	Safe                    // a request may run any number of times
	Stream                  // as Unsafe, but answered by a stream of events; repeatable if it is resumable
)

// Split assigns a share of a route's requests to a service. Shares are proportional to the weights.
type Split struct {
	Service string
	Weight  uint32
}

// Route assigns the requests of a host and path prefix to the engines of one or several services.
type Route struct {
	Name, Host, Prefix string // the prefix begins and ends with a slash
	Kind               RouteKind
	Timeout            kernel.Micros // the longest time that a request may be pending
	LatencyTarget      kernel.Micros // target for the time to an answer or to a stream's first event; zero: none is set
	InterTokenTarget   kernel.Micros // target for the longest pause between events of a stream; zero: none is set
	Priority           int           // 0 is the highest
	MaxAttempts        int           // how many engines a request may be sent to
	IsPinned           bool          // requests are assigned to engines by the prefix of their prompt
	IsResumable        bool          // another engine may continue a stream after its last event
	IsOpen             bool          // requests need no key
	Splits             []Split       // at least one
}

// IsRepeatable reports whether a request may run more than once.
func (r *Route) IsRepeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.IsResumable }

// Service is a pool of engines that register themselves under its name.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one engine accepts from all callers together
	Slots          int // requests that one engine processes concurrently; zero: not stated
	MemoryTokens   int64
	Stride         int // tokens per event of a stream
}

// Caps bound the size of a caller's request, the time to send its header, and the time that the caller may
// be idle. Zero means the router's default.
type Caps struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout kernel.Micros
}

// Format reads operators' documents in one format. The native format is protojson. A deployment may define
// another one, whose documents are stored and returned as they were sent.
type Format interface {
	// Read compiles a document. It fails as the package's function Read does.
	Read(document []byte) (*Config, error)
	// Change applies a change of named items to a document and returns the complete resulting
	// document. It does not check the result; Read does.
	Change(document, change []byte) ([]byte, error)
}

// NewRouteConfig returns a configuration of routes and services that another format has checked. It
// normalizes the hosts of the routes in place.
func NewRouteConfig(routes []Route, services []Service) *Config {
	config := &Config{
		Routes: routes, Services: make(map[string]Service, len(services)), Policy: DefaultPolicy(),
		Engines: map[string]Engine{}, Zones: map[string]bool{},
	}
	for _, service := range services {
		config.Services[service.Name] = service
	}
	for i := range routes {
		routes[i].Host = normalizeHost(routes[i].Host)
	}
	config.indexRoutes()
	return config
}

// hostRoutes are the routes of a host by prefix.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int // in bytes; no longer part of a path needs to be looked up
}

// RouteOf returns the route of a host with the longest prefix of the path; nil: no route matches. Case
// and port of the host are ignored. The path is not normalized: "/a" does not match the prefix "/a/".
// Nothing is allocated unless the host contains capital letters.
func (config *Config) RouteOf(host, path string) *Route {
	byHost := config.byHost.Load()
	if byHost == nil {
		// This configuration was made without a constructor, as a format or a test may do, so it has no index yet.
		byHost = config.indexRoutes()
	}
	routes := (*byHost)[normalizeHost(host)]
	if routes == nil {
		return nil
	}
	// Every prefix ends with a slash, so only the parts of the path up to a slash are looked up, longest first.
	for end := min(len(path), routes.longestPrefix); ; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if route := routes.byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
}

// indexRoutes indexes the routes by host and prefix. Concurrent calls are harmless, since they produce
// the same index.
func (config *Config) indexRoutes() *map[string]*hostRoutes {
	byHost := map[string]*hostRoutes{}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := normalizeHost(route.Host)
		routes := byHost[host]
		if routes == nil {
			routes = &hostRoutes{byPrefix: map[string]*Route{}}
			byHost[host] = routes
		}
		routes.byPrefix[route.Prefix] = route
		routes.longestPrefix = max(routes.longestPrefix, len(route.Prefix))
	}
	config.byHost.Store(&byHost)
	return &byHost
}

// normalizeHost removes the port from the value of a Host header and converts it to lower case.
func normalizeHost(host string) string {
	if end := strings.LastIndexByte(host, ':'); end >= 0 && strings.IndexByte(host[end:], ']') < 0 {
		// In an IPv6 address without brackets, a port can't be told from the address, so nothing is removed.
		isBracketed := host[0] == '[' && host[end-1] == ']'
		if isBracketed || strings.IndexByte(host, ':') == end {
			host = host[:end]
		}
	}
	for i := range len(host) {
		if 'A' <= host[i] && host[i] <= 'Z' {
			return lowerASCII(host)
		}
	}
	return host
}

// lowerASCII converts only ASCII letters to lower case. In Unicode, some characters of other scripts have
// ASCII letters as their lower case, so that different hosts would become equal.
func lowerASCII(text string) string {
	lower := []byte(text)
	for i, character := range lower {
		if 'A' <= character && character <= 'Z' {
			lower[i] = character + 'a' - 'A'
		}
	}
	return string(lower)
}

// Pick chooses a service by weight. The same hash always gets the same service. When weight is shifted
// between two adjacent splits, only the hashes of the shifted share change their service.
func (r *Route) Pick(hash uint64) string {
	total := uint64(0)
	for _, split := range r.Splits {
		total += uint64(split.Weight)
	}
	// Callers may pass poor hashes, even consecutive numbers. So the bits are mixed first, and the high bits
	// select the share.
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	hash ^= hash >> 31
	point, _ := bits.Mul64(hash, total)
	for _, split := range r.Splits {
		if point < uint64(split.Weight) {
			return split.Service
		}
		point -= uint64(split.Weight)
	}
	return ""
}

// checkRouteCounts checks the numbers of routes, services and splits. It runs before the other checks, so
// that no work is spent on a configuration that is too large.
func checkRouteCounts(message *fleetconfigpb.Spec) error {
	if count := len(message.Routes); count > MaxRoutes {
		return TooLargeError{"routes", count, MaxRoutes}
	}
	if count := len(message.Services); count > MaxServices {
		return TooLargeError{"services", count, MaxServices}
	}
	splits := 0
	for _, route := range message.Routes {
		splits += len(route.Splits)
	}
	if splits > MaxSplits {
		return TooLargeError{"splits", splits, MaxSplits}
	}
	return nil
}

func checkRoutes(problems *InvalidConfigError, message *fleetconfigpb.Spec) {
	services := make(map[string]bool, len(message.Services))
	for i, service := range message.Services {
		fieldPath := func(field string) string { return fmt.Sprintf("services[%d].%s", i, field) }
		checkUniqueName(problems, func() string { return fieldPath("name") }, "service", service.Name, services)
		if problem := pathProblem(service.HealthPath); service.HealthPath != "" && problem != "" {
			problems.Add(fieldPath("healthPath"), "%q %s", service.HealthPath, problem)
		}
		if service.MemoryTokens > MaxSize {
			problems.Add(fieldPath("memoryTokens"), "%d is above %d", service.MemoryTokens, uint64(MaxSize))
		}
	}
	checkRouteList(problems, message.Routes, services)
	checkCaps(problems, message.Caps)
}

func checkRouteList(problems *InvalidConfigError, routes []*fleetconfigpb.Route, services map[string]bool) {
	names, earlierRoutes := make(map[string]bool, len(routes)), make(map[[2]string]string, len(routes))
	for i, route := range routes {
		fieldPath := func(field string) string { return fmt.Sprintf("routes[%d].%s", i, field) }
		checkUniqueName(problems, func() string { return fieldPath("name") }, "route", route.Name, names)
		host := normalizeHost(route.Host)
		if !isValidHost(host) {
			problems.Add(fieldPath("host"), "%q is not a host name", route.Host)
		}
		if problem := pathProblem(route.Prefix); problem != "" {
			problems.Add(fieldPath("prefix"), "%q %s", route.Prefix, problem)
		} else if !strings.HasSuffix(route.Prefix, "/") {
			problems.Add(fieldPath("prefix"), "%q does not end with a slash", route.Prefix)
		}
		hostAndPrefix := [2]string{host, route.Prefix}
		if earlier, exists := earlierRoutes[hostAndPrefix]; exists {
			problems.Add(fieldPath("prefix"), "route %q has the same host and prefix", earlier)
		} else {
			earlierRoutes[hostAndPrefix] = route.Name
		}
		if route.TimeoutUs == 0 {
			problems.Add(fieldPath("timeoutUs"), "must be above 0")
		}
		checkDuration(problems, fieldPath, "timeoutUs", route.TimeoutUs)
		checkDuration(problems, fieldPath, "goalUs", route.GoalUs)
		checkDuration(problems, fieldPath, "gapGoalUs", route.GapGoalUs)
		checkSplits(problems, fieldPath, route, services)
	}
}

func checkCaps(problems *InvalidConfigError, caps *fleetconfigpb.Caps) {
	if caps != nil {
		fieldPath := func(field string) string { return "caps." + field }
		checkSize(problems, fieldPath, "headerBytes", caps.HeaderBytes)
		checkSize(problems, fieldPath, "bodyBytes", caps.BodyBytes)
		checkDuration(problems, fieldPath, "headerUs", caps.HeaderUs)
		checkDuration(problems, fieldPath, "idleUs", caps.IdleUs)
	}
}

func checkSplits(problems *InvalidConfigError, fieldPath func(string) string, route *fleetconfigpb.Route, services map[string]bool) {
	if len(route.Splits) == 0 {
		if route.Service == "" {
			problems.Add(fieldPath("service"), "a route needs a service, or a split between several")
		} else if !services[route.Service] {
			problems.Add(fieldPath("service"), "service %q is not among the services", route.Service)
		}
		return
	}
	if route.Service != "" {
		problems.Add(fieldPath("service"), "a route has either one service or a split, not both")
	}
	total := uint64(0)
	for j, split := range route.Splits {
		total += uint64(split.Weight)
		if !services[split.Service] {
			problems.Add(fmt.Sprintf("%s[%d].service", fieldPath("splits"), j), "service %q is not among the services", split.Service)
		}
	}
	if total == 0 {
		problems.Add(fieldPath("splits"), "the weights add up to 0")
	}
}

func checkDuration(problems *InvalidConfigError, fieldPath func(string) string, field string, duration uint64) {
	if duration > uint64(MaxDuration) {
		problems.Add(fieldPath(field), "is above a year")
	}
}

func checkSize(problems *InvalidConfigError, fieldPath func(string) string, field string, size uint64) {
	if size > MaxSize {
		problems.Add(fieldPath(field), "%d is above %d", size, uint64(MaxSize))
	}
}

// isValidHost reports whether a normalized host is valid in a Host header.
func isValidHost(host string) bool {
	if host == "" || len(host) > 253 {
		return false
	}
	for _, character := range []byte(host) {
		isPlain := character >= 'a' && character <= 'z' || character >= '0' && character <= '9' || strings.IndexByte("-_.:[]", character) >= 0
		if !isPlain {
			return false
		}
	}
	return true
}

// pathProblem returns why no request's path can begin with a path; empty: one can.
func pathProblem(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "does not begin with a slash"
	}
	if len(path) > MaxPrefix {
		return fmt.Sprintf("has more than %d bytes", MaxPrefix)
	}
	for _, character := range []byte(path) {
		// A prefix with '?' or '#' would never match, since a request's path ends before its query.
		if character <= ' ' || character == 0x7f || character == '?' || character == '#' {
			return "has a character that is not allowed in a path"
		}
	}
	return ""
}

func compileRoutes(config *Config, message *fleetconfigpb.Spec) {
	config.Version = message.Version
	config.Services = make(map[string]Service, len(message.Services))
	for _, from := range message.Services {
		config.Services[from.Name] = Service{
			Name: from.Name, HealthPath: from.HealthPath, MaxConnections: int(from.MaxConnections),
			Slots: int(from.Slots), MemoryTokens: int64(from.MemoryTokens), Stride: int(from.Stride),
		}
	}
	config.Routes = make([]Route, len(message.Routes))
	for i, from := range message.Routes {
		route := &config.Routes[i]
		*route = Route{
			Name: from.Name, Host: normalizeHost(from.Host), Prefix: from.Prefix, Kind: routeKinds[from.Kind],
			Timeout: kernel.Micros(from.TimeoutUs), LatencyTarget: kernel.Micros(from.GoalUs), InterTokenTarget: kernel.Micros(from.GapGoalUs),
			Priority: int(from.Priority), MaxAttempts: max(1, int(from.Tries)), IsPinned: from.Pinned, IsResumable: from.Resumable, IsOpen: from.Open,
		}
		if len(from.Splits) == 0 {
			route.Splits = []Split{{from.Service, 1}}
		}
		for _, split := range from.Splits {
			route.Splits = append(route.Splits, Split{split.Service, split.Weight})
		}
	}
	config.indexRoutes()
	config.Caps = Caps{
		HeaderBytes: int64(message.Caps.GetHeaderBytes()), BodyBytes: int64(message.Caps.GetBodyBytes()),
		HeaderTimeout: kernel.Micros(message.Caps.GetHeaderUs()), IdleTimeout: kernel.Micros(message.Caps.GetIdleUs()),
	}
}

// routeKinds maps the kinds of the schema. A kind of a later schema is not in the map and so counts as
// Unsafe, which allows the least.
var routeKinds = map[fleetconfigpb.Route_Kind]RouteKind{
	fleetconfigpb.Route_unsafe: Unsafe, fleetconfigpb.Route_safe: Safe, fleetconfigpb.Route_stream: Stream,
}
