package fleetconfig

import (
	"fmt"
	"math/bits"
	"strings"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
	"dunlinloom/internal/kernel"
)

// RouteKind says what a router may do with a request after a failure.
type RouteKind int

// The kinds of routes.
const (
	Unsafe RouteKind = iota // at most one engine may run a request
	Safe                    // any number may
	Stream                  // as unsafe, with an answer in events; one that may be resumed is repeatable
)

// Split routes a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  uint32
}

// Route assigns the requests of a host and path prefix to the engines of services.
type Route struct {
	Name, Host, Prefix string // the prefix begins and ends with a slash
	Kind               RouteKind
	Timeout            kernel.Micros // the longest that a request may be pending
	LatencyTarget      kernel.Micros // within which an answer, or a stream's first event, has its full priority
	InterTokenTarget   kernel.Micros // the longest pause between events that is still in time; zero: none is set
	Priority           int           // 0 is the highest
	MaxAttempts        int           // engines that one request may be sent to
	IsPinned           bool          // assigned by its prompt's prefix
	IsResumable        bool          // a stream may go on at another engine after its last event
	IsOpen             bool          // needs no key
	Splits             []Split       // at least one
}

// IsRepeatable reports whether a request may run more than once.
func (r *Route) IsRepeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.IsResumable }

// Service is a pool of engines that register themselves under its name.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one engine takes from all callers together
	Slots          int // requests that one engine works on at once; zero: not said
	MemoryTokens   int64
	Stride         int // tokens in an event of a stream
}

// Caps bound what a caller may send, in bytes, and how long it may take or be idle, in microseconds;
// zero: the router's default.
type Caps struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout kernel.Micros
}

// Form reads operators' documents of one form. The product's own is protojson; a
// deployment may bring another, which is kept and read back as it was sent.
type Form interface {
	// Read compiles a document. It fails as the package's function Read does.
	Read(document []byte) (*Config, error)
	// Change applies a change of named items to a document and gives the complete
	// document that results. It does not check the result; Read does.
	Change(document, change []byte) ([]byte, error)
}

// NewRouteConfig makes a configuration of routes and services that were checked in another form.
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

// hostRoutes is a host's routes by prefix.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int // bytes of the longest prefix: no longer part of a path is looked up
}

// RouteOf finds, of a host's routes, the one whose prefix begins the path and is longest;
// nil: there is none. Case and port of the host count for nothing. The path is taken as it
// is: one that ends before the prefix's last slash is not under it. Nothing is allocated,
// unless the host has capital letters.
func (config *Config) RouteOf(host, path string) *Route {
	byHost := config.byHost.Load()
	if byHost == nil {
		// A form, or a test, made this configuration without a constructor: its routes must be found all the same.
		byHost = config.indexRoutes()
	}
	routes := (*byHost)[normalizeHost(host)]
	if routes == nil {
		return nil
	}
	// Every prefix ends with a slash, so only what ends there is looked up, longest first.
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

// indexRoutes sorts the routes by host. Two who do so at once make the same.
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

// normalizeHost removes the port from a Host header's value and puts it in lower case.
func normalizeHost(host string) string {
	if end := strings.LastIndexByte(host, ':'); end >= 0 && strings.IndexByte(host[end:], ']') < 0 {
		// An address of IP version 6 without brackets has no port that could be distinguished.
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

// lowerASCII leaves other scripts as they are: some of their characters would become plain letters.
func lowerASCII(text string) string {
	lower := []byte(text)
	for i, character := range lower {
		if 'A' <= character && character <= 'Z' {
			lower[i] = character + 'a' - 'A'
		}
	}
	return string(lower)
}

// Pick chooses a service by weight; the same hash always gets the same one. When weights change
// between two services, only hashes at the border between them move.
func (r *Route) Pick(hash uint64) string {
	total := uint64(0)
	for _, split := range r.Splits {
		total += uint64(split.Weight)
	}
	// Callers may hash poorly, even count: mix first, then take the share by the high bits.
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

// checkRouteCounts is called before the other checks, so that no work is done on what is too large.
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
		if !isPlainHost(host) {
			problems.Add(fieldPath("host"), "%q is not a host's name", route.Host)
		}
		if problem := pathProblem(route.Prefix); problem != "" {
			problems.Add(fieldPath("prefix"), "%q %s", route.Prefix, problem)
		} else if !strings.HasSuffix(route.Prefix, "/") {
			problems.Add(fieldPath("prefix"), "%q does not end with a slash", route.Prefix)
		}
		hostAndPrefix := [2]string{host, route.Prefix}
		if earlier, isThere := earlierRoutes[hostAndPrefix]; isThere {
			problems.Add(fieldPath("prefix"), "route %q has the same host and prefix", earlier)
		} else {
			earlierRoutes[hostAndPrefix] = route.Name
		}
		if route.TimeoutUs == 0 {
			problems.Add(fieldPath("timeoutUs"), "has to be above 0")
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

// isPlainHost reports whether a host, without its port, could stand in a Host header.
func isPlainHost(host string) bool {
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

// pathProblem gives why a path can't begin a request's path; empty: it can.
func pathProblem(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "does not begin with a slash"
	}
	if len(path) > MaxPrefix {
		return fmt.Sprintf("has more than %d bytes", MaxPrefix)
	}
	for _, character := range []byte(path) {
		// A path ends before its query, so such a prefix would never be reached.
		if character <= ' ' || character == 0x7f || character == '?' || character == '#' {
			return "has a sign that no path has"
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

// An unknown number of a later schema counts as the kind with which least may be done.
var routeKinds = map[fleetconfigpb.Route_Kind]RouteKind{
	fleetconfigpb.Route_unsafe: Unsafe, fleetconfigpb.Route_safe: Safe, fleetconfigpb.Route_stream: Stream,
}
