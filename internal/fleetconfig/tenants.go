package fleetconfig

import (
	"fmt"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
)

// QuotaUnit is the unit that a tenant's quota counts.
type QuotaUnit int

// The units of quotas.
const (
	CountRequests QuotaUnit = iota
	CountTokens             // the tokens of a request's prompt, and the most tokens that it may generate
)

// Tenant is a group of callers that share keys and a quota. The quota applies to all routers together.
type Tenant struct {
	Name        string
	Keys        []string
	HasPriority bool
	Priority    int // replaces the route's priority if HasPriority is set
	Unit        QuotaUnit
	PlainTokens int64   // cost of a request that does not state its tokens
	Rate        float64 // units per second; zero: no quota
	Burst       float64 // units that may be spent at once, on top of the rate
}

// Cost returns what a request costs under the tenant's quota, in the unit of the quota.
func (t *Tenant) Cost(promptTokens, maxTokens int, hasTokens bool) float64 {
	switch {
	case t.Unit == CountRequests:
		return 1
	case hasTokens:
		return float64(promptTokens) + float64(maxTokens)
	}
	return float64(t.PlainTokens)
}

// NeedsKeys reports whether requests need a key, except on open routes. With areKeysRequired they still
// do after the last tenant was removed, when nobody has a valid key.
func (config *Config) NeedsKeys() bool { return len(config.Tenants) > 0 || config.areKeysRequired }

// TenantOf returns the tenant that holds a key; nil: no tenant does.
func (config *Config) TenantOf(key string) *Tenant { return config.byKey[key] }

// SetTenants sets the tenants of a configuration that NewRouteConfig returned. It must be called before
// the configuration is in use.
func (config *Config) SetTenants(tenants []Tenant) {
	config.Tenants = tenants
	config.indexKeys()
}

func (config *Config) indexKeys() {
	config.byKey = map[string]*Tenant{}
	for i := range config.Tenants {
		for _, key := range config.Tenants[i].Keys {
			config.byKey[key] = &config.Tenants[i]
		}
	}
}

// checkTenantCounts checks the numbers of tenants and keys. It runs before the other checks, so that no
// work is spent on a configuration that is too large.
func checkTenantCounts(message *fleetconfigpb.Spec) error {
	if count := len(message.Tenants); count > MaxTenants {
		return TooLargeError{"tenants", count, MaxTenants}
	}
	keys := 0
	for _, tenant := range message.Tenants {
		keys += len(tenant.Keys)
	}
	if keys > MaxKeys {
		return TooLargeError{"keys of tenants", keys, MaxKeys}
	}
	return nil
}

func checkTenants(problems *InvalidConfigError, message *fleetconfigpb.Spec) {
	names, holders := make(map[string]bool, len(message.Tenants)), map[string]string{}
	for i, tenant := range message.Tenants {
		fieldPath := func(field string) string { return fmt.Sprintf("tenants[%d].%s", i, field) }
		checkUniqueName(problems, func() string { return fieldPath("name") }, "tenant", tenant.Name, names)
		for j, key := range tenant.Keys {
			path := func() string { return fmt.Sprintf("%s[%d]", fieldPath("keys"), j) }
			if problem := keyProblem(key); problem != "" {
				problems.Add(path(), "%s", problem)
			}
			// The key is a secret, so it must not appear in errors, which go into responses and logs.
			if holder, isTaken := holders[key]; isTaken && holder != tenant.Name {
				problems.Add(path(), "tenant %q has the same key", holder)
			}
			holders[key] = tenant.Name
		}
		if tenant.PlainTokens > MaxSize {
			problems.Add(fieldPath("plainTokens"), "%d is above %d", tenant.PlainTokens, uint64(MaxSize))
		}
		checkAmount(problems, fieldPath("rate"), tenant.Rate)
		checkAmount(problems, fieldPath("burst"), tenant.Burst)
	}
}

// checkAmount checks that a rate or burst is from 0 to MaxSize.
func checkAmount(problems *InvalidConfigError, path string, amount float64) {
	// Every comparison with NaN is false, so testing for values outside the range would accept NaN.
	if amount >= 0 && amount <= MaxSize {
		return
	}
	problems.Add(path, "must be a number from 0 to %d", uint64(MaxSize))
}

// keyProblem returns why a key is not valid in a header; empty: it is valid.
func keyProblem(key string) string {
	if key == "" || len(key) > MaxKey {
		return fmt.Sprintf("a key must have 1 to %d bytes", MaxKey)
	}
	for _, character := range []byte(key) {
		if character <= ' ' || character >= 0x7f {
			return "a key may contain only visible ASCII characters"
		}
	}
	return ""
}

func compileTenants(config *Config, message *fleetconfigpb.Spec) {
	config.areKeysRequired = message.KeysRequired
	config.Tenants = make([]Tenant, len(message.Tenants))
	for i, from := range message.Tenants {
		tenant := &config.Tenants[i]
		*tenant = Tenant{
			Name: from.Name, Keys: from.Keys, HasPriority: from.Priority != nil, Priority: int(from.GetPriority()),
			PlainTokens: int64(from.PlainTokens), Rate: from.Rate, Burst: from.Burst,
		}
		if from.Unit == fleetconfigpb.Tenant_tokens {
			tenant.Unit = CountTokens
		}
	}
	config.indexKeys()
}
