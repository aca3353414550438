package fleetconfig

import (
	"fmt"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
)

// QuotaUnit is what a tenant's quota counts.
type QuotaUnit int

// The units of quotas.
const (
	CountRequests QuotaUnit = iota
	CountTokens             // a request's prompt and the most that it may put out
)

// Tenant is a sender of requests, with its own keys and a quota over all routers together.
type Tenant struct {
	Name        string
	Keys        []string
	HasPriority bool
	Priority    int // replaces the route's, if HasPriority
	Unit        QuotaUnit
	PlainTokens int64   // counted for a request that does not state its tokens
	Rate        float64 // units a second; zero: no quota
	Burst       float64 // units beyond the rate at once
}

// Cost is what a request counts under the tenant's quota.
func (t *Tenant) Cost(promptTokens, maxTokens int, hasTokens bool) float64 {
	switch {
	case t.Unit == CountRequests:
		return 1
	case hasTokens:
		return float64(promptTokens) + float64(maxTokens)
	}
	return float64(t.PlainTokens)
}

// NeedsKeys reports whether requests need a key, except on open routes. Where the last tenant was
// removed they still do: nobody has a key then.
func (config *Config) NeedsKeys() bool { return len(config.Tenants) > 0 || config.areKeysRequired }

// TenantOf finds the tenant that holds a key; nil: nobody does.
func (config *Config) TenantOf(key string) *Tenant { return config.byKey[key] }

// SetTenants gives a configuration that was made by NewRouteConfig its tenants. It is called before
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

// checkTenantCounts is called before the other checks, so that no work is done on what is too large.
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
			// The key itself is not named: errors go into answers and logs.
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

// checkAmount checks a figure of a quota against its bounds.
func checkAmount(problems *InvalidConfigError, path string, amount float64) {
	// Not the opposite comparisons: they would accept NaN.
	if amount >= 0 && amount <= MaxSize {
		return
	}
	problems.Add(path, "has to be a number from 0 to %d", uint64(MaxSize))
}

// keyProblem gives why a key can't stand in a header; empty: it can.
func keyProblem(key string) string {
	if key == "" || len(key) > MaxKey {
		return fmt.Sprintf("a key has 1 to %d bytes", MaxKey)
	}
	for _, character := range []byte(key) {
		if character <= ' ' || character >= 0x7f {
			return "a key has a sign that no key has"
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
