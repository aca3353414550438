package server

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-git/go-git/v5/plumbing"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/emulator"
	"dunlinloom/test/localport"
)

func goodSettings() Settings {
	s := DefaultSettings()
	s.Public, s.Peer, s.Zone = "10.0.0.1:8000", "10.0.0.1:7000", "z1"
	s.Seeds = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	s.Data = "/var/lib/x"
	return s
}

func TestSettingsCheckReportsEveryError(t *testing.T) {
	c := qt.New(t)
	c.Assert(goodSettings().Check(true), qt.IsNil)
	bad := goodSettings()
	bad.Fleet, bad.Zone, bad.Public, bad.Peer = "", "", "host:80", "0.0.0.0:7000"
	bad.Seeds = []string{"10.0.0.2:7000", "10.0.0.2:7000"}
	bad.Platform, bad.Journal = "ftp://x", 1
	bad.Connections, bad.MaxInFlight, bad.BodiesMB, bad.JournalMB, bad.ArchiveMB = 1, 0, -1, -1, 1<<20
	bad.LeaseUS, bad.LeaseRenewIntervalUS, bad.HeartbeatIntervalUS, bad.ElectionLowUS = 2_000_000, 600_000, 300_000, 600_000
	var faults *fleetconfig.InvalidConfigError
	c.Assert(errors.As(bad.Check(true), &faults), qt.IsTrue)
	paths := []string{}
	for _, fault := range faults.List {
		paths = append(paths, fault.Path)
	}
	c.Assert(paths, qt.DeepEquals, []string{"fleet", "zone", "public", "peer", "seeds", "seeds[1]", "platform", "connections", "live", "bodies_mb", "journal_mb", "archive_mb", "journal", "lease_us", "renew_us", "election_low_us"})
	// A router must not have a data folder, and a bootstrap member needs one.
	c.Assert(goodSettings().Check(false), qt.IsNotNil)
	bootstrapMember := goodSettings()
	bootstrapMember.Data = ""
	c.Assert(bootstrapMember.Check(true), qt.IsNotNil)
}

func TestFlagsOverrideTheSettingsFile(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(os.WriteFile(file, []byte(`{"zone":"z7","fleet":"f","renew_us":200000}`), 0o600), qt.IsNil)
	settings, err := ReadSettings("test", []string{"--settings", file, "--zone", "z9"})
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Zone, qt.Equals, "z9")
	c.Assert(settings.Fleet, qt.Equals, "f")
	c.Assert(settings.LeaseRenewIntervalUS, qt.Equals, int64(200000))
	c.Assert(settings.LeaseUS, qt.Equals, DefaultSettings().LeaseUS)
	for _, content := range []string{`{"zoen":"z7"}`, `{"zone":7}`, `{} {}`, `{`} {
		c.Assert(os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
		_, err = ReadSettings("test", []string{"--settings", file})
		c.Assert(errors.As(err, new(SettingsError)), qt.IsTrue, qt.Commentf("%s", content))
	}
}

// freeAddress returns a local address that nobody listens on and that is reserved until the end of the test.
func freeAddress(c *qt.C) string {
	c.Helper()
	reservation, err := localport.Reserve()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(reservation.Close(), qt.IsNil) })
	return reservation.Address()
}

// fleet is three complete nodes and two engines in this process, connected over real sockets.
type fleet struct {
	c      *qt.C
	public []string
	data   []string
	stop   []context.CancelFunc
	ended  []chan error
}

func openFleet(c *qt.C, decode kernel.Micros) *fleet {
	f := &fleet{c: c}
	seeds := []string{freeAddress(c), freeAddress(c), freeAddress(c)}
	platform := emulator.NewPlatform(0)
	listen := func(handler http.Handler) string {
		listener := listenLocal(c)
		server := &http.Server{Handler: handler}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		c.Cleanup(func() {
			checkClose(c, server)
			c.Check(<-ended, qt.Equals, http.ErrServerClosed)
		})
		return listener.Addr().String()
	}
	list := listen(platform.Handler())
	for i, seed := range seeds {
		settings := DefaultSettings()
		settings.Public, settings.Peer, settings.Zone = freeAddress(c), seed, fmt.Sprintf("z%d", i)
		settings.Seeds, settings.Data, settings.Platform = seeds, c.TempDir(), "http://"+list+"/v1/engines"
		f.data = append(f.data, settings.Data)
		settings.ShutdownDelayUS = 100_000
		c.Assert(settings.Check(true), qt.IsNil)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			ended <- Run(ctx, klog.Background(), settings, Roles{Program: "test", IsRouter: true, IsController: true})
		}()
		f.public, f.stop, f.ended = append(f.public, settings.Public), append(f.stop, stop), append(f.ended, ended)
	}
	c.Cleanup(func() {
		for i := range f.stop {
			f.stop[i]()
			c.Check(<-f.ended[i], qt.IsNil)
		}
	})
	for i := range 2 {
		settings := emulator.EngineSettings{ID: fmt.Sprintf("e%d", i), Zone: "z0", Pool: "main", Start: 5, Slots: 4, Queue: 16, Blocks: 64, Decode: decode}
		engine := emulator.NewEngine(settings)
		platform.Set(registry.ListingEngine{ID: settings.ID, Address: listen(engine.Handler()), Zone: settings.Zone, Pool: "main", Start: 5, Uptime: 3600_000_000, State: "serving"})
	}
	return f
}

// awaitArchived polls a node until its archive holds count configurations, and returns their metadata.
func (f *fleet) awaitArchived(node, count int) []history.Metadata {
	for {
		var history History
		_, _, body := f.do(node, http.MethodGet, "/v1/spec/history", "")
		f.c.Assert(json.Unmarshal([]byte(body), &history), qt.IsNil)
		if len(history.Archived) == count {
			return history.Archived
		}
	}
}

// archive opens a node's archive while the node runs, as an operator's git would.
func (f *fleet) archive(node int) *history.Archive {
	kept, err := history.Open(filepath.Join(f.data[node], "specs.git"), DefaultSettings().Fleet, 1<<30)
	f.c.Assert(err, qt.IsNil)
	return kept
}

func (f *fleet) do(node int, method, path, body string, headers ...string) (int, http.Header, string) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.public[node]+path, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	for {
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request.Clone(context.Background()))
		if err != nil {
			// The node may not listen yet. The retries end with the test's time limit.
			request.Body = io.NopCloser(strings.NewReader(body))
			continue
		}
		got, err := io.ReadAll(response.Body)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(response.Body.Close(), qt.IsNil)
		return response.StatusCode, response.Header, string(got)
	}
}

// await repeats a GET request until the status is 200, and returns the body.
func (f *fleet) await(node int, path string) string {
	for {
		if status, _, body := f.do(node, http.MethodGet, path, ""); status == http.StatusOK {
			return body
		}
	}
}

const (
	configOne = `{"bindings":[{"name":"one","shares":[{"weight":1}]}]}`
	configTwo = `{ "bindings": [ {"name":"two","shares":[{"weight":1}]} ] }`
)

func TestACompleteFleetOverRealConnections(t *testing.T) {
	c := qt.New(t)
	f := openFleet(c, 0)
	var reply cluster.SubmitResponse
	submit := func(node int, method, path, body string, headers ...string) (int, cluster.SubmitResponse) {
		status, _, got := f.do(node, method, path, body, headers...)
		reply = cluster.SubmitResponse{}
		c.Assert(json.Unmarshal([]byte(got), &reply), qt.IsNil, qt.Commentf("%s", got))
		return status, reply
	}
	// A configuration that is put at one node is read byte for byte at another.
	for {
		if status, _ := submit(0, http.MethodPut, "/v1/spec", configOne, HeaderSubmission, "first"); status == http.StatusOK {
			break
		}
	}
	first := reply.Revision
	for node := range f.public {
		f.await(node, "/readyz")
	}
	status, headers, got := f.do(1, http.MethodGet, "/v1/spec", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(got, qt.Equals, configOne)
	c.Assert(headers.Get(relay.HeaderRevision), qt.Equals, strconv.FormatUint(first, 10))

	// A streamed completion arrives complete.
	status, headers, got = f.do(2, http.MethodPost, "/v1/completions", `{"prompt":"one two three","max_tokens":6,"stream":true}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(got, qt.Equals, string(emulator.ResponseBody(headers.Get(emulator.HeaderRun), 6, true)))
	request := headers.Get(relay.HeaderRequest)
	_, _, explained := f.do(2, http.MethodGet, "/v1/explain/"+request, "")
	c.Assert(strings.Contains(explained, "round 1 to "+headers.Get(relay.HeaderEngine)), qt.IsTrue, qt.Commentf("%s", explained))

	// A repeated submission, one with an outdated base, and invalid configurations.
	_, again := submit(1, http.MethodPut, "/v1/spec", configOne, HeaderSubmission, "first")
	c.Assert(again.Revision, qt.Equals, first)
	status, second := submit(2, http.MethodPut, fmt.Sprintf("/v1/spec?base=%d", first), configTwo)
	c.Assert(status, qt.Equals, http.StatusOK)
	status, clash := submit(0, http.MethodPut, fmt.Sprintf("/v1/spec?base=%d", first), configOne)
	c.Assert(status, qt.Equals, http.StatusConflict)
	c.Assert(clash.Reason, qt.Equals, "clash")
	status, _, got = f.do(0, http.MethodPut, "/v1/spec", `{"bindings":[{"nam":"x"}]}`)
	c.Assert(status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(strings.Contains(got, `"path":"bindings[0].nam"`), qt.IsTrue, qt.Commentf("%s", got))
	status, _, _ = f.do(0, http.MethodPut, "/v1/spec", strings.Repeat(" ", fleetconfig.MaxBytes+1))
	c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge)

	// Older configurations can be read at every node.
	for node := range f.public {
		f.await(node, fmt.Sprintf("/v1/spec?generation=%d", second.Revision))
		status, _, got = f.do(node, http.MethodGet, fmt.Sprintf("/v1/spec?generation=%d", first), "")
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(got, qt.Equals, configOne)
	}
	status, _, _ = f.do(1, http.MethodGet, "/v1/spec?generation=999999", "")
	c.Assert(status, qt.Equals, http.StatusNotFound)

	// Each node archives the configurations with their submission IDs.
	for node := range f.public {
		archived := f.awaitArchived(node, 2)
		c.Assert(archived[0].Revision, qt.Equals, first)
		c.Assert(archived[0].Submission, qt.Equals, "first")
		config, _, err := f.archive(node).Config(first)
		c.Assert(err, qt.IsNil)
		c.Assert(string(config), qt.Equals, configOne)
	}

	// While the engines' zone is drained no request is served. After the undrain requests are served again.
	status, _ = submit(1, http.MethodPut, "/v1/zones/z0/evacuation", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	for node := range f.public {
		for {
			status, headers, _ = f.do(node, http.MethodPost, "/v1/completions", `{"prompt":"x","max_tokens":1}`)
			if status == http.StatusServiceUnavailable {
				c.Assert(headers.Get(relay.HeaderRun), qt.Equals, string(relay.NotRun))
				break
			}
		}
	}
	status, _ = submit(2, http.MethodDelete, "/v1/zones/z0/evacuation", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	for {
		if status, _, _ = f.do(0, http.MethodPost, "/v1/completions", `{"prompt":"x","max_tokens":1}`); status == http.StatusOK {
			break
		}
	}

	// An engine can be marked as draining, but not with another start, and not if it is unknown.
	status, _ = submit(0, http.MethodPut, "/v1/engines/e0/leaving?start=5", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	status, _, _ = f.do(0, http.MethodPut, "/v1/engines/e0/leaving?start=4", "")
	c.Assert(status, qt.Equals, http.StatusConflict)
	status, _, _ = f.do(0, http.MethodPut, "/v1/engines/none/leaving", "")
	c.Assert(status, qt.Equals, http.StatusNotFound)

	// A query for a submission that was never received aborts it for good.
	status, lost := submit(1, http.MethodGet, "/v1/submissions/never-sent", "")
	c.Assert(status, qt.Equals, http.StatusConflict)
	c.Assert(lost.Reason, qt.Equals, "fenced")

	for _, path := range []string{"/v1/fleet", "/metrics", "/healthz", "/v1/spec/history", "/v1/journal?last=5"} {
		status, _, _ = f.do(0, http.MethodGet, path, "")
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", path))
	}
	for _, bad := range []string{`{}`, `not json`, `{"id":"e9","address":"host:1","start":1,"seq":1}`, `{"id":"e9","address":"10.0.0.1:1","start":1,"seq":1,"outstanding_tokens":-1}`} {
		status, _, _ = f.do(0, http.MethodPost, "/v1/engines/report", bad)
		c.Assert(status, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", bad))
	}
}

// A stream that is in progress when its node begins a graceful shutdown still completes, also on a keep-alive connection
// that has served other requests before.
func TestGracefulShutdownCompletesAcceptedRequests(t *testing.T) {
	c := qt.New(t)
	f := openFleet(c, 5*kernel.Millisecond)
	for {
		if status, _, _ := f.do(0, http.MethodPut, "/v1/spec", configOne, HeaderSubmission, "first"); status == http.StatusOK {
			break
		}
	}
	f.await(2, "/readyz")
	client := &http.Client{Transport: &http.Transport{}}
	post := func(tokens int) *http.Response {
		body := strings.NewReader(fmt.Sprintf(`{"prompt":"x","max_tokens":%d,"stream":true}`, tokens))
		request, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+f.public[2]+"/v1/completions", body)
		c.Assert(err, qt.IsNil)
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		return response
	}
	short := post(1)
	_, err := io.ReadAll(short.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(short.Body.Close(), qt.IsNil)
	// The stream lasts longer than the shutdown delay and the handover of the node's roles.
	const tokens = 900
	held := post(tokens)
	defer checkClose(c, held.Body)
	first := make([]byte, 64)
	_, err = io.ReadFull(held.Body, first)
	c.Assert(err, qt.IsNil)
	f.stop[2]()
	rest, err := io.ReadAll(held.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(first)+string(rest), qt.Equals, string(emulator.ResponseBody(held.Header.Get(emulator.HeaderRun), tokens, true)))
}

// A stopping process waits for the archive's write in progress, but not forever: it waits for a write that stalls and then
// continues, and abandons one that stays stalled.
func TestAStopWaitsForTheObjectStoreButNotForAStalledDisk(t *testing.T) {
	c := qt.New(t)
	f := openFleet(c, 5*kernel.Millisecond)
	for node := range f.stop {
		f.await(node, "/healthz")
	}
	// A named pipe in place of the configuration's git object simulates a stalled disk: git reads the object before it
	// writes it, and opening a pipe for reading blocks.
	hash := plumbing.ComputeHash(plumbing.BlobObject, []byte(configOne)).String()
	stall := func(node int) (release func()) {
		name := filepath.Join(f.data[node], "specs.git", "objects", hash[:2], hash[2:])
		c.Assert(os.MkdirAll(filepath.Dir(name), 0o755), qt.IsNil)
		c.Assert(unix.Mkfifo(name, 0o644), qt.IsNil)
		return func() {
			pipe, err := os.OpenFile(name, os.O_RDWR|unix.O_NONBLOCK, 0)
			c.Check(err, qt.IsNil)
			c.Check(os.Remove(name), qt.IsNil)
			c.Check(pipe.Close(), qt.IsNil)
		}
	}
	releaseOne, releaseTwo := stall(1), stall(2)
	for {
		if status, _, _ := f.do(0, http.MethodPut, "/v1/spec", configOne, HeaderSubmission, "first"); status == http.StatusOK {
			break
		}
	}
	writers := func() int {
		stacks := make([]byte, 4<<20)
		return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "history.(*Archive).Store(")
	}
	for startedAt := time.Now(); writers() < 2; time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Since(startedAt) < 20*time.Second, qt.IsTrue)
	}
	var isReleased atomic.Bool
	time.AfterFunc(time.Second, func() { isReleased.Store(true); releaseTwo() })
	f.stop[2]()
	// The result is put back because the fleet's cleanup receives it again.
	err, hasWaited := <-f.ended[2], isReleased.Load()
	f.ended[2] <- err
	c.Check(err, qt.IsNil)
	c.Check(hasWaited, qt.IsTrue)
	startedAt := time.Now()
	f.stop[1]()
	err = <-f.ended[1]
	f.ended[1] <- err
	c.Check(err, qt.IsNil)
	c.Check(time.Since(startedAt) < 20*time.Second, qt.IsTrue)
	releaseOne()
	// The abandoned writer has to finish before the test's folder is removed.
	for startedAt := time.Now(); writers() > 0; time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Since(startedAt) < 20*time.Second, qt.IsTrue)
	}
}

// A node that has lost its disk copies from another node the configurations that the core no longer names. It rejects one
// whose content does not match its digest, and skips one of another cluster.
func TestTheObjectStoreIsRepairedFromAnotherNode(t *testing.T) {
	c := qt.New(t)
	kept := []history.Metadata{}
	configs := map[string]string{}
	for revision := range uint64(6) {
		config := fmt.Sprintf(`{"of":%d}`, revision+1)
		metadata := history.Metadata{Revision: revision + 1, Digest: history.Digest([]byte(config)), Submission: "s", ClusterID: "f", StoredAt: "2031-05-06T07:08:09Z"}
		configs[strconv.FormatUint(revision+1, 10)] = config
		switch revision + 1 {
		case 2:
			metadata.ClusterID = "another"
		case 3:
			configs["3"] = `{"of":"something else"}`
		}
		kept = append(kept, metadata)
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/spec/history" {
			c.Check(json.NewEncoder(w).Encode(History{Archived: kept}), qt.IsNil)
			return
		}
		revision := r.URL.Query().Get("generation")
		w.Header().Set(relay.HeaderRevision, revision)
		_, err := fmt.Fprint(w, configs[revision])
		c.Check(err, qt.IsNil)
	}))
	defer other.Close()
	store, err := history.Open(filepath.Join(c.TempDir(), "specs.git"), "here", 1<<20)
	c.Assert(err, qt.IsNil)
	env := kernel.Env{Context: context.Background(), Clock: kernel.BootClock{}, Log: klog.Background(), Journal: kernel.NewJournal(16)}
	archiver := NewArchiver(env, nil, nil, store)
	// The core still names revision 5 and later ones, so these are not copied from other archives.
	document := &cluster.Document{ClusterID: "f", ConfigChain: []cluster.ConfigRef{{Revision: 5, Digest: kept[4].Digest}}}
	nodes := []registry.NodeRecord{{Address: "a", PublicAddress: "127.0.0.1:1", IsController: true}, {Address: "b", PublicAddress: strings.TrimPrefix(other.URL, "http://"), IsController: true}}
	c.Assert(errors.As(archiver.antiEntropy(document, nodes), new(history.DamagedRevisionError)), qt.IsTrue)
	configs["3"] = `{"of":3}`
	c.Assert(archiver.antiEntropy(document, nodes), qt.IsNil)
	held := []uint64{}
	for _, metadata := range store.History() {
		held = append(held, metadata.Revision)
	}
	c.Assert(held, qt.DeepEquals, []uint64{1, 3, 4})
}

// Beyond its limit plus the reserve, the listener answers a connection with 503 at once and closes it. Within the reserve it
// accepts connections and reports that it is overloaded.
func TestTheLimitedListenerRejectsWithAnAnswer(t *testing.T) {
	c := qt.New(t)
	listener := listenLocal(c)
	defer checkClose(c, listener)
	limitedListener := NewLimitedListener(listener, 2)
	accepted := make(chan net.Conn, 4+connectionReserve)
	go func() {
		for {
			connection, err := limitedListener.Accept()
			if err != nil {
				return
			}
			accepted <- connection
		}
	}()
	dial := func() net.Conn {
		connection := dialLocal(c, listener.Addr().String())
		c.Cleanup(func() { checkClose(c, connection) })
		return connection
	}
	held := []net.Conn{}
	for range 2 + connectionReserve {
		dial()
		held = append(held, <-accepted)
		c.Assert(limitedListener.IsOverloaded(), qt.Equals, len(held) > 2)
	}
	late := dial()
	_, err := io.WriteString(late, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get(relay.HeaderRun), qt.Equals, string(relay.NotRun))
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(json.Valid(got), qt.IsTrue)
	c.Assert(limitedListener.Rejected.Load(), qt.Equals, uint64(1))
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(late.Close(), qt.IsNil)
	for _, connection := range held {
		c.Assert(connection.Close(), qt.IsNil)
		c.Assert(ignoreClosed(connection.Close()), qt.IsNil) // a second Close must not free a second slot
	}
	for limitedListener.Open() > 0 {
		runtime.Gosched()
	}
	dial()
	c.Assert((<-accepted).Close(), qt.IsNil)
	c.Assert(errors.As(checkFileLimit(1<<30, 1), new(FileLimitError)), qt.IsTrue)
}

// openConnection is an accepted keep-alive connection that stays open between its requests.
type openConnection struct {
	net.Conn
	answers *bufio.Reader
}

func openKeepAlive(c *qt.C, address string) *openConnection {
	connection := dialLocal(c, address)
	held := &openConnection{connection, bufio.NewReader(connection)}
	c.Assert(held.request(), qt.IsNil)
	return held
}

// request sends a request and returns nil if the connection is still open and answers.
func (h *openConnection) request() error {
	if _, err := io.WriteString(h, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return fmt.Errorf("send a request over an open connection: %w", err)
	}
	response, err := http.ReadResponse(h.answers, nil)
	if err != nil {
		return fmt.Errorf("read a response over an open connection: %w", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return fmt.Errorf("read a response body over an open connection: %w", err)
	}
	return nil
}

// While as many connections are open as callers may have, requests of the platform and of operators are still served, and
// a caller's request is rejected at once as not run.
func TestOperatorsAreServedUnderOverload(t *testing.T) {
	c := qt.New(t)
	f := openFleet(c, 0)
	for {
		if status, _, _ := f.do(0, http.MethodPut, "/v1/spec", configOne, HeaderSubmission, "first"); status == http.StatusOK {
			break
		}
	}
	f.await(1, "/readyz")
	overload := make([]*openConnection, DefaultSettings().Connections)
	c.Cleanup(func() {
		for _, held := range overload {
			if held != nil {
				checkClose(c, held)
			}
		}
	})
	status, headers, got := 0, http.Header(nil), ""
	// The server closes idle connections, so on a slow machine some may be closed before the caller's request arrives. The
	// response counts only if all connections were open throughout.
	for isWhole := false; !isWhole; {
		for i, held := range overload {
			if held == nil {
				overload[i] = openKeepAlive(c, f.public[1])
			}
		}
		status, headers, got = f.do(1, http.MethodPost, "/v1/completions", `{"prompt":"x","max_tokens":1}`)
		isWhole = true
		for i, held := range overload {
			if err := held.request(); err != nil {
				checkClose(c, held)
				overload[i], isWhole = nil, false
			}
		}
	}
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(headers.Get(relay.HeaderRun), qt.Equals, string(relay.NotRun))
	c.Assert(strings.Contains(got, `"crowded"`), qt.IsTrue, qt.Commentf("%s", got))
	for _, path := range []string{"/readyz", "/v1/fleet", "/metrics"} {
		status, _, _ = f.do(1, http.MethodGet, path, "")
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", path))
	}
}
