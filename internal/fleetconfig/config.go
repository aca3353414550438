package fleetconfig

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
	"dunlinloom/internal/kernel"
	"google.golang.org/protobuf/encoding/protojson"
)

//go:generate go run dunlinloom/tools/protogen config.proto fleetconfigpb

// Bounds of a configuration. MaxBytes, MaxPrefix and MaxKey are in bytes. The others are counts of items,
// except MaxWeight, MaxDuration and MaxSize, which bound single values.
const (
	MaxBytes    = 4 << 20
	MaxBindings = 20000
	MaxShares   = 200000
	MaxWeight   = 1000
	MaxRoutes   = 20000
	MaxSplits   = 200000
	MaxServices = 10000
	MaxPrefix   = 2048
	MaxTenants  = 20000
	MaxKeys     = 200000
	MaxKey      = 512
	// MaxDuration and MaxSize are above any sensible value, and far below where sums would overflow.
	MaxDuration = 366 * 86_400 * kernel.Second
	MaxSize     = 1 << 40
	// maxErrors is how many errors InvalidConfigError lists; further ones are only counted.
	maxErrors = 200
	// maxErrorText bounds the path and the reason of an error, in bytes each.
	maxErrorText = 500
)

// Policy is the compiled policy, with defaults in place of unset fields. config.proto describes the settings.
type Policy struct {
	PrefixLength     int
	MaxImbalance     float64
	NearTie          float64
	RetryRatio       float64
	RampStreams      int
	RampDoublingTime kernel.Micros
	RampDuration     kernel.Micros
	ReportDecay      kernel.Micros
	PrefersOwnZone   bool
}

// DefaultPolicy returns the defaults. They are the values of the policy's source (docs/design.md) where it gives
// any, and the project's own otherwise.
func DefaultPolicy() Policy {
	return Policy{
		PrefixLength: 64, MaxImbalance: 2.0, NearTie: 0.05, RetryRatio: 0.08,
		RampStreams: 2, RampDoublingTime: 2 * kernel.Second, RampDuration: 20 * kernel.Second,
		ReportDecay: 10 * kernel.Second,
	}
}

// Share selects engines of a binding by ID, pool and zone, and gives them a weight from 1 to MaxWeight.
type Share struct {
	Engine, Pool, Zone string
	Weight             uint32
}

// Matches reports whether the share selects an engine. An empty field matches any value.
func (s Share) Matches(id, pool, zone string) bool {
	return (s.Engine == "" || s.Engine == id) && (s.Pool == "" || s.Pool == pool) && (s.Zone == "" || s.Zone == zone)
}

// Binding is a compiled binding: it assigns requests of a kind and model to the engines of its shares. An
// empty Kind or Model matches any. TTFTLimit bounds the time to the first token; zero: no limit is set.
type Binding struct {
	Name        string
	Kind, Model string
	Shares      []Share
	TTFTLimit   kernel.Micros
}

// Engine is an engine listed in the configuration. Address is an IP address and port, or empty.
type Engine struct{ ID, Address, Zone, Pool string }

// Config is a compiled configuration. It is not modified once it is in use, so any goroutine may read it.
type Config struct {
	// Version is the operator's version number of this configuration; zero: it has none.
	Version  uint64
	Engines  map[string]Engine
	Bindings []Binding
	Routes   []Route
	Services map[string]Service
	Caps     Caps
	Tenants  []Tenant
	Zones    map[string]bool
	Policy   Policy
	byPair   map[[2]string]int
	byHost   atomic.Pointer[map[string]*hostRoutes]
	byKey    map[string]*Tenant
	// areKeysRequired means that requests need a key even if no tenant is listed.
	areKeysRequired bool
}

// Bind returns the first binding that matches a request's kind and model, and whether there is one.
func (config *Config) Bind(kind, model string) (*Binding, bool) {
	best := -1
	// With thousands of bindings, a scan per request is too slow. Instead, each pair that can match is
	// looked up, and the lowest index is the first binding.
	for _, pair := range [][2]string{{kind, model}, {kind, ""}, {"", model}, {"", ""}} {
		if index, exists := config.byPair[pair]; exists && (best < 0 || index < best) {
			best = index
		}
	}
	if best < 0 {
		return nil, false
	}
	return &config.Bindings[best], true
}

// Weight returns an engine's weight under a binding; zero: the engine is not eligible.
func (b *Binding) Weight(id, pool, zone string) uint32 {
	// The first matching share counts, so an operator can list an exception before the general share.
	for _, share := range b.Shares {
		if share.Matches(id, pool, zone) {
			return share.Weight
		}
	}
	return 0
}

// Read checks and compiles a document in the native format. It fails with a TooLargeError, or with an
// *InvalidConfigError that lists all errors.
func Read(document []byte) (*Config, error) {
	if len(document) > MaxBytes {
		return nil, fmt.Errorf("read the configuration: %w", TooLargeError{"bytes of the configuration", len(document), MaxBytes})
	}
	if err := checkSchema(document); err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	message := &fleetconfigpb.Spec{}
	if err := protojson.Unmarshal(document, message); err != nil {
		problems := &InvalidConfigError{}
		problems.Add("$", "%v", err)
		return nil, fmt.Errorf("read the configuration: %w", problems)
	}
	return Compile(message, nil)
}

// Compile checks and compiles a configuration that was converted from another format. It fails as Read
// does. rename returns a field's name in that format, so that error paths contain the names that the
// operator wrote; nil: names are those of the native format.
func Compile(message *fleetconfigpb.Spec, rename func(field string) string) (*Config, error) {
	if err := check(message); err != nil {
		var problems *InvalidConfigError
		if rename != nil && errors.As(err, &problems) {
			problems.rename(rename)
		}
		return nil, fmt.Errorf("check the configuration: %w", err)
	}
	return compile(message), nil
}

// check returns a TooLargeError if a list is too long, or else an *InvalidConfigError with all errors.
func check(message *fleetconfigpb.Spec) error {
	problems := &InvalidConfigError{}
	if count := len(message.Bindings); count > MaxBindings {
		return TooLargeError{"bindings", count, MaxBindings}
	}
	if err := checkRouteCounts(message); err != nil {
		return err
	}
	if err := checkTenantCounts(message); err != nil {
		return err
	}
	zones := zoneNames{}
	for i, zone := range message.Zones {
		checkUniqueName(problems, func() string { return fmt.Sprintf("zones[%d].name", i) }, "zone", zone.Name, zones)
	}
	checkEngines(problems, message.Engines, zones)
	// After its last route was removed, a configuration still has its services or caps. One that has
	// none of these is most likely a mistake.
	if len(message.Bindings)+len(message.Routes)+len(message.Services) == 0 && message.Caps == nil {
		problems.Add("bindings", "a configuration needs at least one binding or route")
	}
	if err := checkBindings(problems, message.Bindings, zones); err != nil {
		return err
	}
	checkRoutes(problems, message)
	checkTenants(problems, message)
	checkPolicy(problems, message.Policy)
	return problems.Err()
}

// zoneNames are the names of the configuration's zones.
type zoneNames map[string]bool

// checkReference checks that a zone named by another item is listed. If the configuration lists no
// zones, any name is accepted.
func (z zoneNames) checkReference(problems *InvalidConfigError, path, name string) {
	if name != "" && len(z) > 0 && !z[name] {
		problems.Add(path, "zone %q is not among the configuration's zones", name)
	}
}

func checkEngines(problems *InvalidConfigError, list []*fleetconfigpb.Engine, zones zoneNames) {
	engines := map[string]bool{}
	for i, engine := range list {
		path := fmt.Sprintf("engines[%d]", i)
		checkUniqueName(problems, func() string { return path + ".id" }, "engine", engine.Id, engines)
		if engine.Address != "" {
			if _, err := netip.ParseAddrPort(engine.Address); err != nil {
				problems.Add(path+".address", "%q is not an IP and port", engine.Address)
			}
		}
		zones.checkReference(problems, path+".zone", engine.Zone)
	}
}

// checkBindings returns an error only if there are too many shares. All other errors are added to problems.
func checkBindings(problems *InvalidConfigError, bindings []*fleetconfigpb.Binding, zones zoneNames) error {
	names, matches, shareCount := map[string]bool{}, map[[2]string]int{}, 0
	for i, binding := range bindings {
		path := fmt.Sprintf("bindings[%d]", i)
		checkUniqueName(problems, func() string { return path + ".name" }, "binding", binding.Name, names)
		pair := [2]string{binding.Match.GetKind(), binding.Match.GetModel()}
		if earlier, exists := matches[pair]; exists {
			problems.Add(path+".match", "never reached: bindings[%d] has the same match", earlier)
		} else {
			matches[pair] = i
		}
		if len(binding.Shares) == 0 {
			problems.Add(path+".shares", "a binding needs at least one share")
		}
		shareCount += len(binding.Shares)
		for j, share := range binding.Shares {
			path := fmt.Sprintf("%s.shares[%d]", path, j)
			CheckRange(problems, path+".weight", share.Weight, 1, MaxWeight)
			zones.checkReference(problems, path+".zone", share.Zone)
		}
	}
	if shareCount > MaxShares {
		return TooLargeError{"shares", shareCount, MaxShares}
	}
	return nil
}

// checkUniqueName checks that a name is valid and that no earlier item of its kind has it. The path is a
// function because it is needed only for errors, and there may be many thousand items.
func checkUniqueName(problems *InvalidConfigError, path func() string, kind, name string, known map[string]bool) {
	if problem := nameProblem(name); problem != "" {
		problems.Add(path(), "%s", problem)
	}
	if known[name] {
		problems.Add(path(), "%s name %q is used twice", kind, name)
	}
	known[name] = true
}

// nameProblem returns what is wrong with a name; empty: it is valid.
func nameProblem(name string) string {
	if name == "" || len(name) > 128 {
		return "must have 1 to 128 bytes"
	}
	// Names appear in URLs, logs and headers, so only characters are allowed that need no escaping there.
	for _, character := range name {
		isPlain := character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z' || character >= '0' && character <= '9' || strings.ContainsRune("-_.:", character)
		if !isPlain {
			return fmt.Sprintf("%q has a character other than letters, digits and -_.:", name)
		}
	}
	return ""
}

func checkPolicy(problems *InvalidConfigError, policy *fleetconfigpb.Policy) {
	if policy == nil {
		return
	}
	checkPolicyRange(problems, "prefixLength", policy.PrefixLength, 1, 4096)
	checkPolicyRange(problems, "maxImbalance", policy.MaxImbalance, 1, 100)
	checkPolicyRange(problems, "nearTie", policy.NearTie, 0, 0.5)
	// The bound keeps retries a small share of the traffic, whatever an operator sets.
	checkPolicyRange(problems, "retryRatio", policy.RetryRatio, 0, 0.1)
	checkPolicyRange(problems, "rampStreams", policy.RampStreams, 1, 10000)
	checkPolicyRange(problems, "rampDoubleUs", policy.RampDoubleUs, 100_000, 600_000_000)
	checkPolicyRange(problems, "rampTotalUs", policy.RampTotalUs, 0, 3_600_000_000)
	checkPolicyRange(problems, "reportFadeUs", policy.ReportFadeUs, 100_000, 600_000_000)
}

// checkPolicyRange checks that a field of the policy, if it is set, is from low to high.
func checkPolicyRange[T cmp.Ordered](problems *InvalidConfigError, field string, value *T, low, high T) {
	if value != nil {
		CheckRange(problems, "policy."+field, *value, low, high)
	}
}

func compile(message *fleetconfigpb.Spec) *Config {
	config := &Config{
		Engines: map[string]Engine{}, Zones: map[string]bool{},
		Policy: DefaultPolicy(), byPair: map[[2]string]int{},
	}
	compileRoutes(config, message)
	compileTenants(config, message)
	for _, zone := range message.Zones {
		config.Zones[zone.Name] = true
	}
	for _, engine := range message.Engines {
		config.Engines[engine.Id] = Engine{engine.Id, engine.Address, engine.Zone, engine.Pool}
	}
	for i, from := range message.Bindings {
		binding := Binding{
			Name: from.Name, Kind: from.Match.GetKind(), Model: from.Match.GetModel(),
			TTFTLimit: kernel.Micros(from.TtftLimitUs),
		}
		for _, share := range from.Shares {
			binding.Shares = append(binding.Shares, Share{share.Engine, share.Pool, share.Zone, share.Weight})
		}
		config.Bindings = append(config.Bindings, binding)
		config.byPair[[2]string{binding.Kind, binding.Model}] = i
	}
	compilePolicy(&config.Policy, message.Policy)
	return config
}

// compilePolicy overrides the defaults with the fields that the operator set.
func compilePolicy(to *Policy, policy *fleetconfigpb.Policy) {
	if policy == nil {
		return
	}
	setCount := func(field *int, value *uint32) {
		if value != nil {
			*field = int(*value)
		}
	}
	setDuration := func(field *kernel.Micros, value *uint32) {
		if value != nil {
			*field = kernel.Micros(*value)
		}
	}
	setRatio := func(field, value *float64) {
		if value != nil {
			*field = *value
		}
	}
	setCount(&to.PrefixLength, policy.PrefixLength)
	setRatio(&to.MaxImbalance, policy.MaxImbalance)
	setRatio(&to.NearTie, policy.NearTie)
	setRatio(&to.RetryRatio, policy.RetryRatio)
	setCount(&to.RampStreams, policy.RampStreams)
	setDuration(&to.RampDoublingTime, policy.RampDoubleUs)
	setDuration(&to.RampDuration, policy.RampTotalUs)
	setDuration(&to.ReportDecay, policy.ReportFadeUs)
	to.PrefersOwnZone = policy.GetOwnZoneFirst()
}
