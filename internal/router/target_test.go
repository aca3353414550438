package router

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
)

// prefixes are routes of one host, in which some prefixes lie within others.
var prefixes = []string{"/a/", "/a/b/", "/a/b%2Fc/", "/a/../", "/a//"}

func configOfPrefixes() *fleetconfig.Config {
	routes := []fleetconfig.Route{}
	for _, prefix := range prefixes {
		routes = append(routes, fleetconfig.Route{Name: prefix, Host: "h", Prefix: prefix, Splits: []fleetconfig.Split{{Service: "svc", Weight: 1}}})
	}
	return fleetconfig.NewRouteConfig(routes, []fleetconfig.Service{{Name: "svc"}})
}

// readTarget parses a request line as the server does; nil: the server answers 400.
func readTarget(target string) *http.Request {
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
	if err != nil {
		return nil
	}
	return request
}

// Guards against a route that was looked up by the decoded path while the engine got the encoded one: an encoded slash led
// to another route's service, and past the key that the own route needs.
func TestRouteIsLookedUpByThePathThatTheEngineGets(t *testing.T) {
	config := configOfPrefixes()
	for _, example := range []struct{ target, prefix string }{
		{"/a/x", "/a/"}, {"/a/b/x", "/a/b/"}, {"/a/b/", "/a/b/"}, {"/a/b", "/a/"}, {"/a", ""}, {"/", ""},
		{"/a/b%2Fx", "/a/"}, {"/a/b%2fx", "/a/"}, {"/a%2Fb/x", ""}, {"/%61/x", ""},
		{"/a/b%2Fc/x", "/a/b%2Fc/"}, {"/a/b%2fc/x", "/a/"}, {"/a/b%252Fc/x", "/a/"},
		{"/a/%2e%2e/b/x", "/a/"}, {"/a/../b/x", "/a/../"}, {"/a/./b/x", "/a/"}, {"/a//b/x", "/a//"}, {"//a/x", ""},
		{"/a/%00/x", "/a/"}, {"/a/\xc3\xa9/x", "/a/"}, {"/a/b;c/x", "/a/"}, {"/a/b/?/x/", "/a/b/"}, {"/a/b%3F/x", "/a/"}, {"/a?/b/", ""},
		{"http://other/a/b/x", ""}, {"http://h/a/b/x", "/a/b/"}, {"http://h/a/b%2Fx?q=/a/", "/a/"}, {"http://h", ""}, {"*", ""},
		{"/a/" + strings.Repeat("b/", 8<<10), "/a/b/"},
	} {
		t.Run(example.target[:min(len(example.target), 20)], func(t *testing.T) {
			c := qt.New(t)
			request := readTarget(example.target)
			c.Assert(request, qt.IsNotNil)
			prefix := ""
			if route := config.RouteOf(request.Host, targetOf(request).path()); route != nil {
				prefix = route.Prefix
			}
			c.Assert(prefix, qt.Equals, example.prefix)
		})
	}
	// Targets that the server itself refuses.
	for _, target := range []string{"/a/%zz", "/a/%2", "", "/a/\x00"} {
		qt.New(t).Check(readTarget(target), qt.IsNil, qt.Commentf("%q", target))
	}
}

// The prefix of the route that is chosen begins the path that the engine reads, byte for byte.
func FuzzRouteAndEngineReadTheSamePath(f *testing.F) {
	for _, target := range []string{"/a/x", "/a/b%2Fx", "/a/%2e%2e/b", "/a/../b", "//a/", "http://h/a/b/x", "http://h?/a/", "*", "/a?/b/", "/a/b;c", "h://a/b/x", "A:///a/", "/a/://h/a/b/"} {
		f.Add(target)
	}
	config := configOfPrefixes()
	f.Fuzz(func(t *testing.T, target string) {
		request := readTarget(target)
		if request == nil {
			return
		}
		route := config.RouteOf(request.Host, targetOf(request).path())
		if route == nil {
			return
		}
		message := new(bytes.Buffer)
		if err := writeMessage(message, request, nil, nil); err != nil {
			t.Fatal(err)
		}
		sent, err := http.ReadRequest(bufio.NewReader(message))
		if err != nil {
			t.Fatalf("the engine can't read %q: %v", target, err)
		}
		path := sent.RequestURI
		if !strings.HasPrefix(path, "/") {
			_, afterScheme, _ := strings.Cut(path, "://")
			path = strings.TrimLeftFunc(afterScheme, func(character rune) bool { return character != '/' })
		}
		if !strings.HasPrefix(path, route.Prefix) || sent.RequestURI != request.RequestURI {
			t.Fatalf("%q is led to the route of %q, and the engine reads %q", target, route.Prefix, sent.RequestURI)
		}
	})
}
