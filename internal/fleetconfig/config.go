// Package fleetconfig reads, checks and compiles the operator's configuration: the whole
// description of engines, bindings, routes, services, zones and policy.
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

// Bounds of a configuration, stated to operators in docs/operators.md.
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
	// Above any span and size that makes sense, and far below where sums overflow.
	MaxDuration = 366 * 86_400 * kernel.Second
	MaxSize     = 1 << 40
	maxFaults   = 200
	// Bytes of a fault's path, and of what it says.
	maxFaultText = 500
)

// Policy is the compiled policy with every default filled in.
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

// DefaultPolicy holds the figures of the design's source where it gives any, and ours elsewhere.
func DefaultPolicy() Policy {
	return Policy{
		PrefixLength: 64, MaxImbalance: 2.0, NearTie: 0.05, RetryRatio: 0.08,
		RampStreams: 2, RampDoublingTime: 2 * kernel.Second, RampDuration: 20 * kernel.Second,
		ReportDecay: 10 * kernel.Second,
	}
}

// Share is one selector of a binding.
type Share struct {
	Engine, Pool, Zone string
	Weight             uint32
}

// Matches tells whether the selector takes an engine.
func (s Share) Matches(id, pool, zone string) bool {
	return (s.Engine == "" || s.Engine == id) && (s.Pool == "" || s.Pool == pool) && (s.Zone == "" || s.Zone == zone)
}

// Binding is a compiled binding.
type Binding struct {
	Name        string
	Kind, Model string
	Shares      []Share
	TTFTLimit   kernel.Micros
}

// Engine is an engine named in the configuration.
type Engine struct{ ID, Address, Zone, Pool string }

// Config is a compiled configuration, never changed once made.
type Config struct {
	// Version is the operator's own number of this configuration; zero: it has none.
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
	// areKeysRequired: requests need a key although no tenant is listed.
	areKeysRequired bool
}

// Bind finds the first binding that fits a request.
func (config *Config) Bind(kind, model string) (*Binding, bool) {
	best := -1
	// With thousands of bindings a scan per request is too slow: exact pairs are
	// looked up, and order is kept by taking the lowest index.
	for _, pair := range [][2]string{{kind, model}, {kind, ""}, {"", model}, {"", ""}} {
		if index, isThere := config.byPair[pair]; isThere && (best < 0 || index < best) {
			best = index
		}
	}
	if best < 0 {
		return nil, false
	}
	return &config.Bindings[best], true
}

// Weight gives an engine's weight under a binding; zero means not eligible.
func (b *Binding) Weight(id, pool, zone string) uint32 {
	// The first share that fits counts, so an exception can stand before the rule.
	for _, share := range b.Shares {
		if share.Matches(id, pool, zone) {
			return share.Weight
		}
	}
	return 0
}

// Read takes an operator's document to a compiled configuration, or to every fault in it.
func Read(document []byte) (*Config, error) {
	if len(document) > MaxBytes {
		return nil, fmt.Errorf("read the configuration: %w", TooLargeError{"bytes of the configuration", len(document), MaxBytes})
	}
	if err := walk(document); err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	message := &fleetconfigpb.Spec{}
	if err := protojson.Unmarshal(document, message); err != nil {
		faults := &ValidationErrors{}
		faults.Add("$", "%v", err)
		return nil, fmt.Errorf("read the configuration: %w", faults)
	}
	return Compile(message, nil)
}

// Compile checks and compiles a configuration that was made of another form's document. Rename
// gives a field's name in that form, so that faults are told in the words in which the
// operator wrote; nil: in the product's own.
func Compile(message *fleetconfigpb.Spec, rename func(field string) string) (*Config, error) {
	if err := check(message); err != nil {
		var faults *ValidationErrors
		if rename != nil && errors.As(err, &faults) {
			faults.rename(rename)
		}
		return nil, fmt.Errorf("check the configuration: %w", err)
	}
	return compile(message), nil
}

func check(message *fleetconfigpb.Spec) error {
	faults := &ValidationErrors{}
	if count := len(message.Bindings); count > MaxBindings {
		return TooLargeError{"bindings", count, MaxBindings}
	}
	if err := checkRouteCounts(message); err != nil {
		return err
	}
	if err := checkTenantCounts(message); err != nil {
		return err
	}
	zones := map[string]bool{}
	for i, zone := range message.Zones {
		checkUniqueName(faults, func() string { return fmt.Sprintf("zones[%d].name", i) }, "zone", zone.Name, zones)
	}
	checkZone := func(path, name string) {
		if name != "" && len(zones) > 0 && !zones[name] {
			faults.Add(path, "zone %q is not among the configuration's zones", name)
		}
	}
	engines := map[string]bool{}
	for i, engine := range message.Engines {
		path := fmt.Sprintf("engines[%d]", i)
		checkUniqueName(faults, func() string { return path + ".id" }, "engine", engine.Id, engines)
		if engine.Address != "" {
			if _, err := netip.ParseAddrPort(engine.Address); err != nil {
				faults.Add(path+".address", "%q is not an IP and port", engine.Address)
			}
		}
		checkZone(path+".zone", engine.Zone)
	}
	// A fleet whose last route was taken out still has its services or caps; a configuration with
	// none of these was hardly meant.
	if len(message.Bindings)+len(message.Routes)+len(message.Services) == 0 && message.Caps == nil {
		faults.Add("bindings", "a configuration needs at least one binding or route")
	}
	names, matches, shareCount := map[string]bool{}, map[[2]string]int{}, 0
	for i, binding := range message.Bindings {
		path := fmt.Sprintf("bindings[%d]", i)
		checkUniqueName(faults, func() string { return path + ".name" }, "binding", binding.Name, names)
		pair := [2]string{binding.Match.GetKind(), binding.Match.GetModel()}
		if earlier, isThere := matches[pair]; isThere {
			faults.Add(path+".match", "never reached: bindings[%d] has the same match", earlier)
		} else {
			matches[pair] = i
		}
		if len(binding.Shares) == 0 {
			faults.Add(path+".shares", "a binding needs at least one share")
		}
		shareCount += len(binding.Shares)
		for j, share := range binding.Shares {
			path := fmt.Sprintf("%s.shares[%d]", path, j)
			CheckRange(faults, path+".weight", share.Weight, 1, MaxWeight)
			checkZone(path+".zone", share.Zone)
		}
	}
	if shareCount > MaxShares {
		return TooLargeError{"shares", shareCount, MaxShares}
	}
	checkRoutes(faults, message)
	checkTenants(faults, message)
	checkPolicy(faults, message.Policy)
	return faults.Err()
}

// checkUniqueName checks a name, and that no earlier item of its kind has it. The path is made
// only for a fault: there may be many thousand items.
func checkUniqueName(faults *ValidationErrors, path func() string, kind, name string, known map[string]bool) {
	if why := faultOfName(name); why != "" {
		faults.Add(path(), "%s", why)
	}
	if known[name] {
		faults.Add(path(), "%s %q is named twice", kind, name)
	}
	known[name] = true
}

// faultOfName tells what is wrong with a name; empty: nothing.
func faultOfName(name string) string {
	if name == "" || len(name) > 128 {
		return "has to have 1 to 128 bytes"
	}
	// Names stand in URLs, logs and headers, so they keep to a plain alphabet.
	for _, sign := range name {
		isPlain := sign >= 'a' && sign <= 'z' || sign >= 'A' && sign <= 'Z' || sign >= '0' && sign <= '9' || strings.ContainsRune("-_.:", sign)
		if !isPlain {
			return fmt.Sprintf("%q has a sign other than letters, digits and -_.:", name)
		}
	}
	return ""
}

func checkPolicy(faults *ValidationErrors, policy *fleetconfigpb.Policy) {
	if policy == nil {
		return
	}
	checkPolicyRange(faults, "prefixLength", policy.PrefixLength, 1, 4096)
	checkPolicyRange(faults, "maxImbalance", policy.MaxImbalance, 1, 100)
	checkPolicyRange(faults, "nearTie", policy.NearTie, 0, 0.5)
	// Retries have to stay a small share of real traffic whatever is asked for.
	checkPolicyRange(faults, "retryRatio", policy.RetryRatio, 0, 0.1)
	checkPolicyRange(faults, "rampStreams", policy.RampStreams, 1, 10000)
	checkPolicyRange(faults, "rampDoubleUs", policy.RampDoubleUs, 100_000, 600_000_000)
	checkPolicyRange(faults, "rampTotalUs", policy.RampTotalUs, 0, 3_600_000_000)
	checkPolicyRange(faults, "reportFadeUs", policy.ReportFadeUs, 100_000, 600_000_000)
}

// checkPolicyRange holds a field of the policy, if it is set, against its bounds.
func checkPolicyRange[T cmp.Ordered](faults *ValidationErrors, field string, value *T, low, high T) {
	if value != nil {
		CheckRange(faults, "policy."+field, *value, low, high)
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
	if policy := message.Policy; policy != nil {
		setCount := func(to *int, from *uint32) {
			if from != nil {
				*to = int(*from)
			}
		}
		setSpan := func(to *kernel.Micros, from *uint32) {
			if from != nil {
				*to = kernel.Micros(*from)
			}
		}
		setRatio := func(to, from *float64) {
			if from != nil {
				*to = *from
			}
		}
		setCount(&config.Policy.PrefixLength, policy.PrefixLength)
		setRatio(&config.Policy.MaxImbalance, policy.MaxImbalance)
		setRatio(&config.Policy.NearTie, policy.NearTie)
		setRatio(&config.Policy.RetryRatio, policy.RetryRatio)
		setCount(&config.Policy.RampStreams, policy.RampStreams)
		setSpan(&config.Policy.RampDoublingTime, policy.RampDoubleUs)
		setSpan(&config.Policy.RampDuration, policy.RampTotalUs)
		setSpan(&config.Policy.ReportDecay, policy.ReportFadeUs)
		config.Policy.PrefersOwnZone = policy.GetOwnZoneFirst()
	}
	return config
}
