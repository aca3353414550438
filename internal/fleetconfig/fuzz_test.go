package fleetconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
	"dunlinloom/test/fuzzing"
)

const (
	seedRoutes   = `{"version":7,"routes":[{"name":"r","host":"H.example:80","prefix":"/p/","kind":"stream","timeoutUs":3000000,"goalUs":"500000","tries":2,"pinned":true,"splits":[{"service":"s","weight":90},{"service":"t","weight":10}]},{"name":"q","host":"h.example","prefix":"/p/q/","timeout_us":1,"service":"s"}],"services":[{"name":"s","healthPath":"/healthz","slots":48},{"name":"t"}],"caps":{"idleUs":15000000}}`
	seedBindings = `{"zones":[{"name":"z"}],"engines":[{"id":"e","address":"10.0.0.1:80","zone":"z"}],"bindings":[{"name":"a","match":{"kind":"k"},"shares":[{"engine":"e","weight":7}],"ttftLimitUs":5}],"policy":{"nearTie":0.05,"ownZoneFirst":true}}`
)

// For any document, Read returns either a configuration whose references are valid or an error of a
// documented type, and the same each time.
func FuzzRead(f *testing.F) {
	fuzzing.Seed(f, seedRoutes, seedBindings, `{"routes":[{"kind":null,"splits":[null]}],"caps":null}`, `{"version":1e3,"services":[{"name":"\ud800"}]}`)
	f.Fuzz(func(t *testing.T, document []byte) {
		config, err := Read(document)
		fuzzing.RequireErrorType(t, err, fuzzing.Is[*InvalidConfigError], fuzzing.Is[TooLargeError])
		if (config == nil) != (err != nil) {
			t.Fatalf("Read returned configuration %v and error %v", config, err)
		}
		again, errAgain := Read(document)
		// Error texts are comparable: protojson varies the spaces in them between builds, but not within one.
		if (again == nil) != (errAgain != nil) {
			t.Fatalf("the second Read returned configuration %v and error %v", again, errAgain)
		}
		if fmt.Sprint(err) != fmt.Sprint(errAgain) {
			t.Fatalf("the first Read returned error %v, the second %v", err, errAgain)
		}
		if err != nil {
			return
		}
		checkRoutesServe(t, config)
		// An accepted document can be changed, and an empty change has no effect.
		changed, err := ChangeByName(document, []byte(`{}`), NativeFieldNames())
		if err != nil {
			t.Fatal(err)
		}
		again, err = Read(changed)
		if err != nil || again.Version != config.Version || len(again.Routes) != len(config.Routes) || len(again.Bindings) != len(config.Bindings) {
			t.Fatalf("%s is read differently: %v", changed, err)
		}
	})
}

// checkRoutesServe checks that each route is found by its own host and prefix, and picks existing services.
func checkRoutesServe(t *testing.T, config *Config) {
	t.Helper()
	for i := range config.Routes {
		route := &config.Routes[i]
		if config.RouteOf(route.Host, route.Prefix) != route || config.RouteOf(route.Host, route.Prefix+"x") != route {
			t.Fatalf("%+v is not found by its own host and prefix", route)
		}
		if route.Timeout <= 0 || route.MaxAttempts < 1 {
			t.Fatalf("%+v has no timeout or allows no attempt", route)
		}
		for hash := range uint64(20) {
			if _, exists := config.Services[route.Pick(hash)]; !exists {
				t.Fatalf("%+v picks the unknown service %q", route, route.Pick(hash))
			}
		}
	}
}

// ChangeByName gives the same result as the reference, has no effect the second time, and does not modify
// its inputs.
func FuzzChangeByName(f *testing.F) {
	fuzzing.SeedPairs(f,
		[2]string{`{"version":7,"x":[1.0,{"y":"]"}],"routes":[{"name":"a","n":1e1},{"name":"b"}]}`,
			`{"version":9,"upsert":{"routes":[{"name":"b","k":"\u0061"},{"name":"c"}]},"remove":{"routes":["a","z"],"services":["s"]},"caps":{"idleUs":1}}`},
		[2]string{`{"ro\u0075tes":[{"n\u0061me":"\u0061"}],"services":null}`, `{"upsert":{"services":[{"name":"\ud800"}],"routes":[{"name":"a"}]}}`},
		[2]string{` { } `, ` {"upsert" : { "engines" : [ { "id" : "e" } ] } , "remove" : null } `})
	f.Fuzz(func(t *testing.T, document, change []byte) {
		documentBefore, changeBefore := bytes.Clone(document), bytes.Clone(change)
		got, err := ChangeByName(document, change, NativeFieldNames())
		if !bytes.Equal(documentBefore, document) || !bytes.Equal(changeBefore, change) {
			t.Fatal("the input was changed")
		}
		fuzzing.RequireErrorType(t, err, fuzzing.Is[*InvalidConfigError], fuzzing.Is[TooLargeError])
		if err != nil {
			return
		}
		want := changeReference(t, document, change)
		members := map[string]json.RawMessage{}
		decode(t, got, &members)
		if len(members) != len(want) {
			t.Fatalf("got %s\nwant %s", got, want)
		}
		for name, value := range want {
			if !bytes.Equal(members[name], value) {
				t.Fatalf("%s is %s, want %s", name, members[name], value)
			}
		}
		again, err := ChangeByName(got, change, NativeFieldNames())
		if err != nil || !bytes.Equal(got, again) {
			t.Fatalf("applied again: %s (%v)", again, err)
		}
	})
}

func decode(t *testing.T, raw []byte, to any) {
	t.Helper()
	if err := json.Unmarshal(raw, to); err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
}

// changeReference is a reference implementation of ChangeByName by encoding/json. It returns the members of
// the result without their order.
func changeReference(t *testing.T, document, change []byte) map[string]json.RawMessage {
	t.Helper()
	fields, members, parts := NativeFieldNames(), map[string]json.RawMessage{}, map[string]json.RawMessage{}
	decode(t, document, &members)
	decode(t, change, &parts)
	upsert, remove := map[string][]json.RawMessage{}, map[string][]string{}
	for name, value := range parts {
		switch name {
		case fields.Upsert:
			decode(t, value, &upsert)
		case fields.Remove:
			decode(t, value, &remove)
		default:
			members[name] = value
		}
	}
	for list, key := range fields.Lists {
		if upsert[list] == nil && remove[list] == nil {
			continue
		}
		old := []json.RawMessage{}
		if raw, exists := members[list]; exists {
			decode(t, raw, &old)
		} else if len(upsert[list]) == 0 {
			continue
		}
		result := mergeReference(t, key, old, upsert[list], remove[list])
		members[list] = slices.Concat([]byte("["), bytes.Join(result, []byte(",")), []byte("]"))
	}
	return members
}

// mergeReference applies a change to one list, whose items have their name in the member key.
func mergeReference(t *testing.T, key string, old, upserts []json.RawMessage, removals []string) [][]byte {
	t.Helper()
	nameOf := func(item json.RawMessage) string {
		members, name := map[string]json.RawMessage{}, ""
		decode(t, item, &members)
		decode(t, members[key], &name)
		return name
	}
	hasName := func(name string) func(json.RawMessage) bool {
		return func(item json.RawMessage) bool { return nameOf(item) == name }
	}
	result := [][]byte{}
	for _, item := range old {
		name := nameOf(item)
		if slices.Contains(removals, name) {
			continue
		}
		if i := slices.IndexFunc(upserts, hasName(name)); i >= 0 {
			item = upserts[i]
		}
		result = append(result, item)
	}
	for _, item := range upserts {
		if !slices.ContainsFunc(old, hasName(nameOf(item))) {
			result = append(result, item)
		}
	}
	return result
}

var hostAndPort = regexp.MustCompile(`(?s)^(\[.*\]|[^:]*)(:[^:\]]*)?$`)

// normalizeHostReference is a reference implementation of normalizeHost by a regular expression.
func normalizeHostReference(host string) string {
	if parts := hostAndPort.FindStringSubmatch(host); parts != nil {
		host = parts[1]
	}
	return strings.Map(func(character rune) rune {
		if character >= 'A' && character <= 'Z' {
			return character - 'A' + 'a'
		}
		return character
	}, host)
}

// specOfLines returns a configuration with one route per line, written as a host, a space and a prefix.
func specOfLines(t *testing.T, lines string) *fleetconfigpb.Spec {
	t.Helper()
	message := &fleetconfigpb.Spec{Services: []*fleetconfigpb.Service{{Name: "s"}}}
	for i, line := range strings.Split(lines, "\n") {
		host, prefix, _ := strings.Cut(line, " ")
		route := &fleetconfigpb.Route{Name: fmt.Sprintf("r%d", i), Host: host, Prefix: prefix, TimeoutUs: 1, Service: "s"}
		message.Routes = append(message.Routes, route)
		// A line that is not a valid route is skipped, so that the others can still be tested.
		if _, err := Compile(message, nil); err != nil {
			fuzzing.RequireErrorType(t, err, fuzzing.Is[*InvalidConfigError], fuzzing.Is[TooLargeError])
			message.Routes = message.Routes[:len(message.Routes)-1]
		}
		if len(message.Routes) > 50 {
			break
		}
	}
	return message
}

// longestPrefixReference returns the longest matching prefix by a scan of all routes.
func longestPrefixReference(routes []*fleetconfigpb.Route, host, path string) string {
	longest := ""
	for _, route := range routes {
		isOfHost := normalizeHostReference(route.Host) == normalizeHostReference(host)
		if isOfHost && strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(longest) {
			longest = route.Prefix
		}
	}
	return longest
}

// RouteOf returns the same route as a scan of all routes.
func FuzzRouteOf(f *testing.F) {
	for _, lines := range []string{"h /\nh /a/\nh /a/b/\nH:80 /a/b/c/", "h /a//\nh /a/\n[::1]:80 /\n::1 /", "h /x/\u00e9/\na:b /\n[a]b /"} {
		for _, host := range []string{"h", "H", "H:8080", "[::1]", "[::1]:80", "::1", "a:b", "a:b:c", "", ":", "]:", "[a]b:1", "[a:b", "h:80]"} {
			for _, path := range []string{"", "/", "//", "/a", "/a/", "/a/b/c/d", "/a//b", "/a/b?/x/", "*", "/x/\u00e9/", "/x/\xc3/"} {
				f.Add(lines, host, path)
			}
		}
	}
	f.Fuzz(func(t *testing.T, lines, host, path string) {
		message := specOfLines(t, lines)
		config, err := Compile(message, nil)
		if err != nil {
			t.Fatal(err)
		}
		want := longestPrefixReference(message.Routes, host, path)
		got := ""
		if route := config.RouteOf(host, path); route != nil {
			got = route.Prefix
		}
		if got != want {
			t.Fatalf("RouteOf(%q, %q) has prefix %q, want %q", host, path, got, want)
		}
	})
}
