package fleetconfig

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
	"dunlinloom/internal/kernel"
)

// errorPaths returns the paths of all errors that an InvalidConfigError lists.
func errorPaths(c *qt.C, err error) []string {
	var problems *InvalidConfigError
	c.Assert(errors.As(err, &problems), qt.IsTrue, qt.Commentf("%v", err))
	paths := []string{}
	for _, problem := range problems.List {
		paths = append(paths, problem.Path)
	}
	return paths
}

func TestEveryErrorOfRoutesIsReportedWithItsPath(t *testing.T) {
	for _, example := range []struct {
		name     string
		document string
		paths    []string
	}{
		{"wrong types, all at once",
			`{"version":-1,"routes":[{"kind":"sometimes","timeoutUs":"soon","pinned":1,"splits":[{"weight":1.5}],"goalUs":18446744073709551616,"zeal":1}],"services":{},"caps":[]}`,
			[]string{"caps", "routes[0].goalUs", "routes[0].kind", "routes[0].pinned", "routes[0].splits[0].weight", "routes[0].timeoutUs", "routes[0].zeal", "services", "version"}},
		{"a kind by number", `{"routes":[{"kind":1}]}`, []string{"routes[0].kind"}},
		{"unknown services, alone and in splits",
			`{"services":[{"name":"s"}],"routes":[{"name":"a","host":"h","prefix":"/","timeoutUs":1,"service":"t"},
			  {"name":"b","host":"h","prefix":"/b/","timeoutUs":1,"splits":[{"service":"s","weight":1},{"service":"u","weight":0},{"weight":1}]}]}`,
			[]string{"routes[0].service", "routes[1].splits[1].service", "routes[1].splits[2].service"}},
		{"neither service nor splits, and both",
			`{"services":[{"name":"s"}],"routes":[{"name":"a","host":"h","prefix":"/","timeoutUs":1},
			  {"name":"b","host":"h","prefix":"/b/","timeoutUs":1,"service":"s","splits":[{"service":"s","weight":1}]}]}`,
			[]string{"routes[0].service", "routes[1].service"}},
		{"the same prefix and host, apart from case and port",
			`{"services":[{"name":"s"}],"routes":[{"name":"a","host":"Host.example","prefix":"/p/","timeoutUs":1,"service":"s"},
			  {"name":"b","host":"hOST.example:80","prefix":"/p/","timeoutUs":1,"service":"s"},
			  {"name":"c","host":"host.example","prefix":"/P/","timeoutUs":1,"service":"s"}]}`,
			[]string{"routes[1].prefix"}},
		{"weights that add up to zero",
			`{"services":[{"name":"s"}],"routes":[{"name":"a","host":"h","prefix":"/","timeoutUs":1,"splits":[{"service":"s"},{"service":"s","weight":0}]}]}`,
			[]string{"routes[0].splits"}},
		{"values out of range, all at once",
			`{"services":[{"name":"s s","healthPath":"healthz","memoryTokens":1099511627777},{"name":"s"},{"name":"s"}],
			  "routes":[{"name":"a","host":"","prefix":"p/","timeoutUs":0,"service":"s"},
			            {"name":"a","host":"h h","prefix":"/p","timeoutUs":31622400000001,"goalUs":31622400000001,"gapGoalUs":31622400000001,"service":"s"},
			            {"name":"","host":"h","prefix":"/p?q/","timeoutUs":1,"service":"s"},
			            {"name":"d","host":"h","prefix":"","timeoutUs":1,"service":"s"}],
			  "caps":{"headerBytes":1099511627777,"bodyBytes":1099511627777,"headerUs":31622400000001,"idleUs":31622400000001}}`,
			[]string{"services[0].name", "services[0].healthPath", "services[0].memoryTokens", "services[2].name",
				"routes[0].host", "routes[0].prefix", "routes[0].timeoutUs",
				"routes[1].name", "routes[1].host", "routes[1].prefix", "routes[1].timeoutUs", "routes[1].goalUs", "routes[1].gapGoalUs",
				"routes[2].name", "routes[2].prefix", "routes[3].prefix",
				"caps.headerBytes", "caps.bodyBytes", "caps.headerUs", "caps.idleUs"}},
		{"neither bindings nor routes", `{"version":3,"routes":[]}`, []string{"bindings"}},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Read([]byte(example.document))
			c.Assert(errorPaths(c, err), qt.DeepEquals, example.paths, qt.Commentf("%v", err))
		})
	}
}

func TestErrorsAreBoundedInNumberAndSize(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	text.WriteString(`{"services":[{"name":"s"}],"routes":[`)
	for i := range 300 {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"r%d","host":"h","prefix":"/p%d/","timeoutUs":1,"service":"%s"}`, i, i, strings.Repeat("é", 2000))
	}
	text.WriteString(`]}`)
	_, err := Read([]byte(text.String()))
	var problems *InvalidConfigError
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	c.Assert(problems.List, qt.HasLen, maxErrors)
	c.Assert(problems.Omitted, qt.Equals, 300-maxErrors)
	c.Assert(len(err.Error()) < maxErrors*(maxErrorText+100), qt.IsTrue)
	c.Assert(strings.ToValidUTF8(err.Error(), "?"), qt.Equals, err.Error())
	_, err = Read(fmt.Appendf(nil, `{"%s":1}`, strings.Repeat("x", 1<<20)))
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	c.Assert(len(err.Error()) < 3*maxErrorText, qt.IsTrue)
}

func TestRoutesServicesAndCapsAreCompiledAsWritten(t *testing.T) {
	c := qt.New(t)
	config, err := Read([]byte(`{"version":"18446744073709551615",
		"services":[{"name":"s1","healthPath":"/healthz","maxConnections":330,"slots":48,"memoryTokens":529555,"stride":4},{"name":"s2"}],
		"routes":[
		  {"name":"r1","host":"A.example:8080","prefix":"/a/","kind":"stream","timeoutUs":20000000,"goalUs":1000000,"gapGoalUs":300000,
		   "priority":2,"tries":3,"pinned":true,"resumable":true,"splits":[{"service":"s1","weight":90},{"service":"s2"}]},
		  {"name":"r2","host":"[FD00::1]:80","prefix":"/","timeout_us":"7","service":"s2"}],
		"caps":{"headerBytes":16384,"bodyBytes":4194304,"headerUs":3000000,"idleUs":15000000}}`))
	c.Assert(err, qt.IsNil)
	c.Assert(config.Version, qt.Equals, uint64(1<<64-1))
	c.Assert(config.Routes, qt.DeepEquals, []Route{
		{Name: "r1", Host: "a.example", Prefix: "/a/", Kind: Stream, Timeout: 20 * kernel.Second, LatencyTarget: kernel.Second, InterTokenTarget: 300 * kernel.Millisecond,
			Priority: 2, MaxAttempts: 3, IsPinned: true, IsResumable: true, Splits: []Split{{"s1", 90}, {"s2", 0}}},
		// The default of tries is one.
		{Name: "r2", Host: "[fd00::1]", Prefix: "/", Kind: Unsafe, Timeout: 7, MaxAttempts: 1, Splits: []Split{{"s2", 1}}},
	})
	c.Assert(config.Services, qt.DeepEquals, map[string]Service{
		"s1": {Name: "s1", HealthPath: "/healthz", MaxConnections: 330, Slots: 48, MemoryTokens: 529555, Stride: 4}, "s2": {Name: "s2"}})
	c.Assert(config.Caps, qt.Equals, Caps{16384, 4194304, 3 * kernel.Second, 15 * kernel.Second})
	for _, document := range []string{
		// A configuration may lose its last route, and one of bindings needs no routes.
		`{"routes":[],"services":[{"name":"s"}]}`, `{"caps":{}}`, `{"bindings":[{"name":"a","shares":[{"weight":1}]}]}`,
	} {
		config, err = Read([]byte(document))
		c.Assert(err, qt.IsNil)
		c.Assert(config.Version, qt.Equals, uint64(0))
		c.Assert(config.RouteOf("h", "/"), qt.IsNil)
	}
}

func TestAnotherFormatGetsErrorsInItsOwnFieldNames(t *testing.T) {
	c := qt.New(t)
	message := &fleetconfigpb.Spec{Routes: []*fleetconfigpb.Route{{Name: "r", Host: "h", Prefix: "/", Splits: []*fleetconfigpb.Split{{Service: "s"}}}}}
	words := map[string]string{"routes": "paths", "timeoutUs": "limit_ms", "splits": "parts", "service": "backend"}
	rename := func(field string) string {
		if word, exists := words[field]; exists {
			return word
		}
		return field
	}
	_, err := Compile(message, rename)
	c.Assert(errorPaths(c, err), qt.DeepEquals, []string{"paths[0].limit_ms", "paths[0].parts[0].backend", "paths[0].parts"})
	_, err = Compile(message, nil)
	c.Assert(errorPaths(c, err), qt.DeepEquals, []string{"routes[0].timeoutUs", "routes[0].splits[0].service", "routes[0].splits"})
	message.Services = []*fleetconfigpb.Service{{Name: "s"}}
	message.Routes[0].TimeoutUs, message.Routes[0].Splits[0].Weight = 1, 1
	config, err := Compile(message, rename)
	c.Assert(err, qt.IsNil)
	c.Assert(config.RouteOf("h", "/").Name, qt.Equals, "r")
}

func TestTheLongestPrefixOfTheHostTakesARequest(t *testing.T) {
	c := qt.New(t)
	routes := []string{}
	for i, hostAndPrefix := range [][2]string{{"h", "/a/"}, {"h", "/a/b/"}, {"h", "/a//"}, {"all", "/"}, {"[::1]", "/"}, {"::2", "/"}, {"k", "/"}} {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"%s","prefix":"%s","timeoutUs":1,"service":"s"}`, i, hostAndPrefix[0], hostAndPrefix[1]))
	}
	config, err := Read([]byte(`{"services":[{"name":"s"}],"routes":[` + strings.Join(routes, ",") + `]}`))
	c.Assert(err, qt.IsNil)
	for _, example := range []struct{ host, path, want string }{
		{"h", "/a/", "/a/"}, {"h", "/a/x", "/a/"}, {"h", "/a/b", "/a/"}, {"h", "/a/b/", "/a/b/"}, {"h", "/a/b/c/d/", "/a/b/"}, {"h", "/a//x", "/a//"},
		{"H:8080", "/a/x", "/a/"}, {"h", "/a", ""}, {"h", "/", ""}, {"h", "", ""}, {"h", "*", ""}, {"h", "a/", ""}, {"h", "/A/", ""}, {"h", "/x/a/", ""},
		{"all", "/", "/"}, {"all", "/x", "/"}, {"all", "//", "/"}, {"", "/", ""}, {":80", "/", ""}, {"other", "/a/", ""}, {"h:80:80", "/a/", ""},
		{"[::1]", "/x", "/"}, {"[::1]:80", "/x", "/"}, {"::2", "/x", "/"}, {"K", "/", "/"}, {"\u212a", "/", ""},
	} {
		got := ""
		if route := config.RouteOf(example.host, example.path); route != nil {
			got = route.Prefix
		}
		c.Check(got, qt.Equals, example.want, qt.Commentf("%q %q", example.host, example.path))
	}
	c.Assert(testing.AllocsPerRun(100, func() { config.RouteOf("h:80", "/a/b/c/d/e/f") }), qt.Equals, 0.0)
}

func TestConfigWithoutConstructorFindsItsRoutes(t *testing.T) {
	c := qt.New(t)
	config := &Config{Routes: []Route{{Name: "a", Host: "H:80", Prefix: "/a/"}, {Name: "b", Host: "h", Prefix: "/a/b/"}}}
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 100 {
				c.Check(config.RouteOf("h", "/a/x"), qt.Equals, &config.Routes[0])
				c.Check(config.RouteOf("h", "/a/b/x"), qt.Equals, &config.Routes[1])
			}
		})
	}
	callers.Wait()
	c.Assert((&Config{}).RouteOf("h", "/"), qt.IsNil)
}

func TestPickFollowsWeights(t *testing.T) {
	c := qt.New(t)
	const rounds = 100000
	for _, example := range [][]Split{
		{{"a", 1}}, {{"a", 90}, {"b", 10}}, {{"a", 0}, {"b", 1}, {"c", 0}, {"d", 3}}, {{"a", 1<<32 - 1}, {"b", 1<<32 - 1}}, {{"a", 9}, {"a", 1}, {"b", 10}},
	} {
		route, counts, total, weights := &Route{Splits: example}, map[string]int{}, 0.0, map[string]float64{}
		for _, split := range example {
			total += float64(split.Weight)
			weights[split.Service] += float64(split.Weight)
		}
		// Consecutive numbers are the poorest hash that a caller may pass.
		for hash := range uint64(rounds) {
			service := route.Pick(hash)
			c.Assert(service, qt.Equals, route.Pick(hash))
			counts[service]++
		}
		for service, weight := range weights {
			share := float64(counts[service]) / rounds
			c.Check(share > weight/total-0.01 && share < weight/total+0.01, qt.IsTrue, qt.Commentf("%v: %s got %v", example, service, share))
			c.Check(weight > 0 || counts[service] == 0, qt.IsTrue)
		}
	}
	// When weight is shifted, only the shifted share of the hashes changes its service.
	before, after, moved := &Route{Splits: []Split{{"a", 90}, {"b", 10}}}, &Route{Splits: []Split{{"a", 80}, {"b", 20}}}, 0
	for hash := range uint64(rounds) {
		if before.Pick(hash) != after.Pick(hash) {
			moved++
			c.Assert(before.Pick(hash), qt.Equals, "a")
		}
	}
	c.Check(moved > rounds*9/100 && moved < rounds*11/100, qt.IsTrue, qt.Commentf("%d moved", moved))
}

// largeRoutes returns a document with the given number of routes, spread over 40 hosts and 50 services.
func largeRoutes(count int) []byte {
	text := strings.Builder{}
	text.WriteString(`{"version":1,"services":[`)
	for i := range 50 {
		fmt.Fprintf(&text, `{"name":"service-%d"},`, i)
	}
	text.WriteString(`{"name":"last"}],"routes":[`)
	for i := range count {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"route-%d","host":"host-%d.example","prefix":"/path-%d/","kind":"stream","timeoutUs":20000000,"goalUs":500000,"service":"service-%d"}`, i, i%40, i, i%50)
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

func TestManyRoutesWorkUpToTheBound(t *testing.T) {
	c := qt.New(t)
	config, err := Read(largeRoutes(MaxRoutes))
	c.Assert(err, qt.IsNil)
	c.Assert(config.RouteOf("host-39.example", "/path-19999/x").Name, qt.Equals, "route-19999")
	var above TooLargeError
	_, err = Read(largeRoutes(MaxRoutes + 1))
	c.Assert(errors.As(err, &above), qt.IsTrue)
	c.Assert(above.Quantity, qt.Equals, "routes")
	_, err = Compile(&fleetconfigpb.Spec{Services: make([]*fleetconfigpb.Service, MaxServices+1)}, nil)
	c.Assert(errors.As(err, &above), qt.IsTrue)
	c.Assert(above.Quantity, qt.Equals, "services")
	_, err = Compile(&fleetconfigpb.Spec{Routes: []*fleetconfigpb.Route{{Splits: make([]*fleetconfigpb.Split, MaxSplits+1)}}}, nil)
	c.Assert(errors.As(err, &above), qt.IsTrue)
	c.Assert(above.Quantity, qt.Equals, "splits")
}

func BenchmarkCompile(b *testing.B) {
	config := &fleetconfigpb.Spec{Services: []*fleetconfigpb.Service{{Name: "s"}}}
	for i := range MaxRoutes {
		config.Routes = append(config.Routes, &fleetconfigpb.Route{Name: fmt.Sprintf("r%d", i), Host: fmt.Sprintf("h%d", i%40), Prefix: fmt.Sprintf("/p%d/", i), TimeoutUs: 1, Service: "s"})
	}
	for b.Loop() {
		if _, err := Compile(config, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReadRoutes(b *testing.B) {
	document := largeRoutes(MaxRoutes)
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		if _, err := Read(document); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRouteOf(b *testing.B) {
	config, err := Read(largeRoutes(MaxRoutes))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		config.RouteOf("host-39.example:8080", "/path-19999/completions")
	}
}

// fakeFormat is a format whose version of a document is the length of that document. It counts the calls of Read.
type fakeFormat struct{ reads *int }

func (f fakeFormat) Read(document []byte) (*Config, error) {
	*f.reads++
	if len(document) > 9 {
		return nil, TooLargeError{"words", len(document), 9}
	}
	return &Config{Version: uint64(len(document))}, nil
}

func (f fakeFormat) Change(document, change []byte) ([]byte, error) {
	return append(append([]byte{}, document...), change...), nil
}

func TestCompilerUsesItsFormat(t *testing.T) {
	c := qt.New(t)
	reads := 0
	compiler := &Compiler{Format: fakeFormat{&reads}}
	changed, err := compiler.Change([]byte("abc"), []byte("de"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(changed), qt.Equals, "abcde")
	c.Assert(compiler.Has(changed), qt.IsFalse)
	version, err := compiler.Version(changed)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(5))
	c.Assert(compiler.Has(changed), qt.IsTrue)
	config, err := compiler.Read(changed)
	c.Assert(err, qt.IsNil)
	c.Assert(config.Version, qt.Equals, uint64(5))
	c.Assert(reads, qt.Equals, 1)
	var above TooLargeError
	for range 2 {
		_, err = compiler.Version([]byte("far too long"))
		c.Assert(errors.As(err, &above), qt.IsTrue)
		c.Assert(errors.As(compiler.Check([]byte("far too long")), &above), qt.IsTrue)
	}
	c.Assert(reads, qt.Equals, 2)
	// The version and the check result stay cached after the compiled configuration was dropped.
	for _, word := range []string{"a", "b", "c", "d"} {
		c.Assert(compiler.Check([]byte(word)), qt.IsNil)
	}
	c.Assert(compiler.Has(changed), qt.IsFalse)
	version, err = compiler.Version(changed)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(5))
	c.Assert(reads, qt.Equals, 6)
	// Without a format, the compiler uses the native one.
	own := &Compiler{}
	document, err := own.Change([]byte(`{"version":1,"services":[]}`), []byte(`{"version":4,"upsert":{"services":[{"name":"s"}]}}`))
	c.Assert(err, qt.IsNil)
	version, err = own.Version(document)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(4))
	_, err = own.Change(document, []byte(`{"version":5,"upsert":{"services":[{}]}}`))
	c.Assert(errorPaths(c, err), qt.DeepEquals, []string{"upsert.services[0].name"})
}
