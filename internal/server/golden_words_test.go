package server

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/router"
)

// metricNames adds to names the metric names of an exposition, each with its label names, and the comment lines. Values
// are left out.
func metricNames(c *qt.C, exposition string, names map[string]bool) {
	c.Helper()
	sample := regexp.MustCompile(`^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})? \S+$`)
	label := regexp.MustCompile(`([a-zA-Z_][a-zA-Z0-9_]*)="(?:[^"\\]|\\.)*"`)
	for line := range strings.Lines(exposition) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "#") {
			names[line] = true
			continue
		}
		parts := sample.FindStringSubmatch(line)
		c.Assert(parts, qt.IsNotNil, qt.Commentf("%s", line))
		labels := []string{}
		for _, found := range label.FindAllStringSubmatch(parts[2], -1) {
			labels = append(labels, found[1])
		}
		slices.Sort(labels)
		names[parts[1]+"{"+strings.Join(labels, ",")+"}"] = true
	}
}

func linesOf(names map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(names)), "\n") + "\n"
}

// truncatingEngine starts an engine that begins each response and then aborts the connection. It returns its address.
func truncatingEngine(c *qt.C) string {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_, err := fmt.Fprint(w, "data: {}\n\n")
		c.Check(err, qt.IsNil)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	c.Cleanup(engine.Close)
	return strings.TrimPrefix(engine.URL, "http://")
}

// memberNames returns the sorted member names of a JSON object.
func memberNames(c *qt.C, body string) string {
	c.Helper()
	members := map[string]json.RawMessage{}
	c.Assert(json.Unmarshal([]byte(body), &members), qt.IsNil, qt.Commentf("%s", body))
	return strings.Join(slices.Sorted(maps.Keys(members)), ",")
}

const goldenConfig = `{"bindings":[{"name":"torn","match":{"kind":"torn"},"shares":[{"pool":"torn","weight":1}]},{"name":"one","match":{"model":"m"},"shares":[{"pool":"main","weight":1}]}]}`

// Compares with golden files the metrics of a complete fleet, and the status, headers, error types and members of its
// responses to callers and operators. The texts that describe a submission's outcome are not compared.
func TestGoldenAnswersAndMetricsOfAFleet(t *testing.T) {
	c := qt.New(t)
	f := openFleet(c, 0)
	for {
		if status, _, _ := f.do(0, http.MethodPut, "/v1/spec", goldenConfig); status == http.StatusOK {
			break
		}
	}
	for node := range f.public {
		f.await(node, "/readyz")
		f.await(node, "/v1/core")
	}
	engineReport := fmt.Sprintf(`{"id":"torn","address":%q,"zone":"z0","pool":"torn","start":5,"seq":1,"up_us":3600000000}`, truncatingEngine(c))
	var report strings.Builder
	ask := func(method, path, body string, headers ...string) {
		status, answered, got := f.do(0, method, path, body, headers...)
		names := slices.Sorted(maps.Keys(answered))
		fmt.Fprintf(&report, "%s %s\n  %d %s\n", method, path, status, strings.Join(names, ","))
		if !strings.HasPrefix(got, "{") {
			return
		}
		fmt.Fprintf(&report, "  members %s\n", memberNames(c, got))
		var failure struct {
			Error *struct{ Type, Run string }
		}
		c.Assert(json.Unmarshal([]byte(got), &failure), qt.IsNil)
		if failure.Error != nil {
			var inner struct{ Error json.RawMessage }
			c.Assert(json.Unmarshal([]byte(got), &inner), qt.IsNil)
			fmt.Fprintf(&report, "  error %q run %q members %s\n", failure.Error.Type, failure.Error.Run, memberNames(c, string(inner.Error)))
		}
	}
	ask(http.MethodPost, "/v1/engines/report", engineReport)
	ask(http.MethodPost, "/v1/engines/report", `{}`)
	ask(http.MethodGet, "/v1/spec", "")
	ask(http.MethodGet, "/v1/spec?newest", "")
	ask(http.MethodGet, "/v1/spec?generation=x", "")
	ask(http.MethodGet, "/v1/spec?generation=999999", "")
	ask(http.MethodPut, "/v1/spec?base=x", goldenConfig)
	ask(http.MethodPut, "/v1/spec?base=1", goldenConfig)
	ask(http.MethodPut, "/v1/spec", `{"bindings":[{"nam":"x"}]}`)
	ask(http.MethodPut, "/v1/spec", goldenConfig, HeaderSubmission, strings.Repeat("x", 129))
	ask(http.MethodPost, "/v1/spec/check", goldenConfig)
	// The archive is filled asynchronously, after the reply.
	for !strings.Contains(f.await(0, "/v1/spec/history"), "filed") {
		c.Assert(f.ended[0], qt.HasLen, 0)
	}
	ask(http.MethodGet, "/v1/spec/history", "")
	ask(http.MethodPut, "/v1/zones/"+strings.Repeat("z", 129)+"/evacuation", "")
	ask(http.MethodPut, "/v1/zones/z2/evacuation", "", HeaderSubmission, "golden")
	ask(http.MethodDelete, "/v1/zones/z2/evacuation", "")
	ask(http.MethodDelete, "/v1/routers/x", "")
	ask(http.MethodGet, "/v1/submissions/golden", "")
	ask(http.MethodGet, "/v1/submissions/never", "")
	ask(http.MethodPut, "/v1/engines/never/leaving", "")
	ask(http.MethodPut, "/v1/engines/torn/leaving?start=4", "")
	ask(http.MethodGet, "/v1/explain/never", "")
	ask(http.MethodGet, "/v1/journal?last=1", "")
	ask(http.MethodGet, "/v1/journal?since_us=x", "")
	ask(http.MethodGet, "/healthz", "")
	ask(http.MethodGet, "/readyz", "")
	ask(http.MethodGet, "/metrics", "")
	ask(http.MethodGet, "/never", "")
	ask(http.MethodPost, "/v1/completions", `{`)
	ask(http.MethodPost, "/v1/completions", `{"prompt":"x","model":"unknown"}`)
	ask(http.MethodPost, "/v1/completions", `{"prompt":"x","model":"m","max_tokens":1}`)
	compareGolden(c, "answers_of_a_fleet.txt", report.String())

	// The metrics list broken_total only once a truncated stream has been counted.
	names := map[string]bool{}
	for try := 0; try < 1000 && !names["dunlinloom_broken_total{reason}"]; try++ {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.public[0]+"/v1/completions", strings.NewReader(`{"prompt":"x","stream":true}`))
		c.Assert(err, qt.IsNil)
		request.Header.Set(relay.HeaderKind, "torn")
		if response, err := http.DefaultClient.Do(request); err == nil {
			c.Assert(response.Body.Close(), qt.IsNil)
		}
		_, _, exposition := f.do(0, http.MethodGet, "/metrics", "")
		names = map[string]bool{}
		metricNames(c, exposition, names)
	}
	for node := range f.public {
		_, _, exposition := f.do(node, http.MethodGet, "/metrics", "")
		metricNames(c, exposition, names)
	}
	compareGolden(c, "metrics_of_a_fleet.txt", linesOf(names))
}

const goldenRoutes = `{"version":7,"services":[{"name":"chat"}],"routes":[{"name":"chat","host":"models.example","prefix":"/chat/","timeoutUs":200000,"service":"chat"}]}`

// Compares with golden files the metrics of a deployment's routes, and the responses to requests that cannot be served.
func TestGoldenAnswersAndMetricsOfRoutes(t *testing.T) {
	c := qt.New(t)
	config, err := fleetconfig.Read([]byte(goldenRoutes))
	c.Assert(err, qt.IsNil)
	env := kernel.Env{Context: t.Context(), Clock: kernel.NewSteadyClock(), Log: klog.Background(), Journal: kernel.NewJournal(16)}
	chooser := router.NewChooser("10.0.0.1:1", "z1", router.RetryBudget{})
	routed := router.NewRouter(router.Settings{
		Env: env, Wire: router.DefaultWire(), Chooser: chooser,
		Pool: router.NewPool(env.Clock, router.PlainDialer(engineUnackedTimeout), engineDialTimeout, engineIdleTimeout),
	})
	var report strings.Builder
	ask := func(host, path string, headers ...string) {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+host+path, strings.NewReader("{}"))
		for i := 0; i+1 < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		answer := httptest.NewRecorder()
		routed.ServeHTTP(answer, request)
		var failure struct{ Error string }
		c.Assert(json.Unmarshal(answer.Body.Bytes(), &failure), qt.IsNil, qt.Commentf("%s", answer.Body))
		fmt.Fprintf(&report, "%s%s\n  %d %s\n  error %q members %s\n", host, path, answer.Code,
			strings.Join(slices.Sorted(maps.Keys(answer.Header())), ","), failure.Error, memberNames(c, answer.Body.String()))
	}
	wire := router.DefaultWire()
	ask("models.example", "/chat/x")
	chooser.SetRoutingTable(&router.RoutingTable{Config: config, Routers: 1})
	ask("models.example", "/other/x")
	ask("models.example", "/chat/x", wire.Tokens, "x")
	ask("models.example", "/chat/x", wire.RequestID, "r1", wire.Tokens, "1,1")
	chooser.SetRoutingTable(&router.RoutingTable{Config: config, Routers: 1, Engines: []router.Engine{{ID: "e1", Address: freeAddress(c), Zone: "z1", Service: "chat", Slots: 4}}})
	ask("models.example", "/chat/x", wire.RequestID, "r2", wire.Tokens, "1,1")
	// The relay, the data plane of /v1/completions, writes a rejection in another form.
	declined := httptest.NewRecorder()
	declined.Header().Set(relay.HeaderRequest, "r3")
	(&relay.Forwarder{Env: env}).SendRejection(declined, &relay.Rejection{
		Reason: "golden", Detail: "detail", Status: http.StatusServiceUnavailable, Run: relay.MayHaveRun, RetryAfter: 1500 * kernel.Millisecond,
	})
	fmt.Fprintf(&report, "decline\n  %d %q\n  %s", declined.Code, declined.Header(), declined.Body)
	compareGolden(c, "answers_of_routes.txt", report.String())
	answer := httptest.NewRecorder()
	(&API{router: routed}).routedMetrics(metricsWriter{answer})
	names := map[string]bool{}
	metricNames(c, answer.Body.String(), names)
	compareGolden(c, "metrics_of_routes.txt", linesOf(names))
}

func TestGoldenShapesOfAnswersAndMessages(t *testing.T) {
	c := qt.New(t)
	compareGoldenJSON[FleetView](c, "fleet_view.json")
	compareGoldenJSON[CoreView](c, "core_view.json")
	compareGoldenJSON[History](c, "history.json")
	compareGoldenJSON[history.Metadata](c, "history_facts.json")
	compareGoldenJSON[apiError](c, "api_error.json")
	compareGoldenJSON[Traffic](c, "traffic.json")
	compareGoldenJSON[cluster.SubmitResponse](c, "submit_reply.json")
	compareGoldenJSON[registry.Report](c, "report.json")
	compareGoldenJSON[registry.Listing](c, "listing.json")
	compareGoldenJSON[cluster.Document](c, "document.json")
	compareGoldenJSON[wire.Envelope](c, "envelope.json")
	compareGoldenJSON[FetchConfigRequest](c, "recall_ask.json")
	compareGoldenJSON[FetchConfigResponse](c, "recall_reply.json")
	compareGoldenJSON[kernel.Entry](c, "journal_entry.json")
	compareGoldenJSON[kernel.Identity](c, "identity.json")
	compareGoldenJSON[relay.EngineView](c, "engine_view.json")
	compareGoldenJSON[quota.Request](c, "quota_ask.json")
	compareGoldenJSON[quota.Grant](c, "quota_grant.json")
	compareGoldenJSON[fleetconfig.InvalidConfigError](c, "faults.json")
}

// sources holds the parsed files of a package without its tests, and the values of its constants and variables by name.
type sources struct {
	files     []*ast.File
	constants map[string]ast.Expr
}

func parseSources(c *qt.C, directory string) sources {
	c.Helper()
	paths, err := filepath.Glob(filepath.Join(directory, "*.go"))
	c.Assert(err, qt.IsNil)
	s := sources{constants: map[string]ast.Expr{}}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		content, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		file, err := parser.ParseFile(token.NewFileSet(), path, content, parser.SkipObjectResolution)
		c.Assert(err, qt.IsNil)
		s.files = append(s.files, file)
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, isSpec := n.(*ast.ValueSpec); isSpec && len(spec.Values) == len(spec.Names) {
				for i, name := range spec.Names {
					s.constants[name.Name] = spec.Values[i]
				}
			}
			return true
		})
	}
	c.Assert(len(s.files) > 0, qt.IsTrue, qt.Commentf("%s", directory))
	return s
}

// stringValue evaluates an expression of string literals and named string constants. It returns false for any other
// expression.
func (s sources) stringValue(expression ast.Expr) (string, bool) {
	switch e := expression.(type) {
	case *ast.BasicLit:
		if e.Kind == token.STRING {
			value, err := strconv.Unquote(e.Value)
			return value, err == nil
		}
	case *ast.Ident:
		if value, isThere := s.constants[e.Name]; isThere {
			delete(s.constants, e.Name) // prevents an endless recursion if the name occurs in its own value
			text, isText := s.stringValue(value)
			s.constants[e.Name] = value
			return text, isText
		}
	case *ast.BinaryExpr:
		left, isLeft := s.stringValue(e.X)
		right, isRight := s.stringValue(e.Y)
		return left + right, isLeft && isRight && e.Op == token.ADD
	}
	return "", false
}

// statusOf returns the name of the net/http status constant that an expression refers to, by name or as a number.
func statusOf(expression ast.Expr) (string, bool) {
	if number, isNumber := expression.(*ast.BasicLit); isNumber && number.Kind == token.INT {
		code, err := strconv.Atoi(number.Value)
		text := http.StatusText(code)
		return "Status" + strings.ReplaceAll(text, " ", ""), err == nil && text != ""
	}
	selector, isSelector := expression.(*ast.SelectorExpr)
	if !isSelector {
		return "", false
	}
	from, isName := selector.X.(*ast.Ident)
	return selector.Sel.Name, isName && from.Name == "http" && strings.HasPrefix(selector.Sel.Name, "Status")
}

// errorCodes collects the error codes of responses with their statuses. A status and a lower-case word count as a pair
// if they are arguments of the same call or elements of the same composite literal or assignment. Go names do not
// matter.
func (s sources) errorCodes(words map[string]bool) {
	word := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	addWord := func(prefix string, expression ast.Expr) {
		if text, isText := s.stringValue(expression); isText && word.MatchString(text) {
			words[prefix+text] = true
		}
	}
	addPairs := func(list []ast.Expr) {
		for _, expression := range list {
			if status, isStatus := statusOf(expression); isStatus {
				eachExpression(list, func(other ast.Expr) { addWord(status+" ", other) })
			}
		}
	}
	for _, file := range s.files {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				addPairs(n.Args)
			case *ast.CompositeLit:
				addPairs(n.Elts)
			case *ast.AssignStmt:
				addPairs(n.Rhs)
				// An error code may also be assigned to a field later.
				eachAssignedField(n, func(value ast.Expr) { addWord("set ", value) })
			}
			return true
		})
	}
}

// eachExpression calls each for every expression nested in the members of a list.
func eachExpression(list []ast.Expr, each func(ast.Expr)) {
	for _, member := range list {
		ast.Inspect(member, func(n ast.Node) bool {
			if expression, isExpression := n.(ast.Expr); isExpression {
				each(expression)
			}
			return true
		})
	}
}

// eachAssignedField calls each for every value that an assignment stores in a field.
func eachAssignedField(assignment *ast.AssignStmt, each func(ast.Expr)) {
	if len(assignment.Lhs) != len(assignment.Rhs) {
		return
	}
	for i, to := range assignment.Lhs {
		if _, isMember := to.(*ast.SelectorExpr); isMember {
			each(assignment.Rhs[i])
		}
	}
}

// paths collects all strings that look like URL paths, which include the patterns registered with a ServeMux.
func (s sources) paths(found map[string]bool) {
	pattern := regexp.MustCompile(`^([A-Z]+ |http://%s)?/[A-Za-z0-9_.{}/%?=&-]+$`)
	s.eachString(func(text string) {
		if pattern.MatchString(text) {
			found[text] = true
		}
	})
}

// headers collects all strings that look like header names.
func (s sources) headers(found map[string]bool) {
	name := regexp.MustCompile(`^([A-Z][A-Za-z]*(-[A-Z][A-Za-z]*)+|Authorization|Connection)$`)
	s.eachString(func(text string) {
		if name.MatchString(text) {
			found[text] = true
		}
	})
}

func (s sources) eachString(each func(text string)) {
	for _, file := range s.files {
		ast.Inspect(file, func(n ast.Node) bool {
			if _, isImport := n.(*ast.ImportSpec); isImport {
				return false
			}
			if expression, isExpression := n.(ast.Expr); isExpression {
				if text, isText := s.stringValue(expression); isText {
					each(text)
				}
			}
			return true
		})
	}
}

// Compares with golden files the error codes, paths and headers in the source code of the packages, so that also those
// that no test receives in a response cannot change unnoticed.
func TestGoldenWordsOfTheSource(t *testing.T) {
	folders := map[string]string{"server": ".", "relay": "../relay", "router": "../router", "platform": "../../platform"}
	for part, folder := range folders {
		t.Run(part, func(t *testing.T) {
			c := qt.New(t)
			s := parseSources(c, filepath.FromSlash(folder))
			errors, paths, headers := map[string]bool{}, map[string]bool{}, map[string]bool{}
			s.errorCodes(errors)
			s.paths(paths)
			s.headers(headers)
			compareGolden(c, "words_"+part+".txt", "errors\n"+linesOf(errors)+"\npaths\n"+linesOf(paths)+"\nheaders\n"+linesOf(headers))
		})
	}
}
