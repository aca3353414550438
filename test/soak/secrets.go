package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunlinloom/platform"
)

// Tenant keys are secrets that only configurations may contain. Every key of a run begins with a mark. The run searches
// for it in logs and journals on disk, in the nodes' diagnostic endpoints, and in the responses that nodes generate
// themselves.

// secretMark is the prefix of every key of a tenant.
const secretMark = "s3cr3t-"

// diagnosticPaths are the paths of the nodes' diagnostic endpoints.
var diagnosticPaths = []string{"/metrics", "/v1/journal", "/v1/fleet", "/v1/core", "/v1/explain/"}

// checkSecrets searches for keys in all places where they must not appear.
func (f *fleet) checkSecrets(ctx context.Context) {
	if f.tenancy == nil {
		return
	}
	f.checkFiles()
	for _, n := range f.members() {
		for _, path := range diagnosticPaths {
			f.checkEndpoint(ctx, n, path)
		}
		f.checkRejections(n)
	}
}

// isKeyless reports whether a file may not contain keys. Logs and journals may not; all other files hold
// configurations.
func isKeyless(path string) bool {
	return strings.HasSuffix(path, ".log") || filepath.Base(filepath.Dir(path)) == "journal"
}

// checkFiles searches logs and journals for keys. A run without logs or journals is a problem too, because then nothing
// was searched.
func (f *fleet) checkFiles() {
	logs, journals := 0, 0
	err := filepath.WalkDir(f.settings.Folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !isKeyless(path) {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.HasSuffix(path, ".log") {
			logs++
		} else {
			journals++
		}
		if bytes.Contains(content, []byte(secretMark)) {
			f.problem("%s contains a key", entry.Name())
		}
		return nil
	})
	if err != nil {
		f.problem("search logs and journals for keys: %v", err)
	}
	if logs == 0 || journals == 0 {
		f.problem("search for keys: there are %d logs and %d journals", logs, journals)
	}
}

// checkEndpoint searches the response of a diagnostic endpoint for keys.
func (f *fleet) checkEndpoint(ctx context.Context, n *node, path string) {
	if path == "/v1/explain/" {
		path += f.anyRequestID()
	}
	limit, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(limit, http.MethodGet, "http://"+n.address(portMetrics)+path, http.NoBody)
	if err != nil {
		f.problem("create a request for %s: %v", path, err)
		return
	}
	response, err := f.client.HTTP.Do(request)
	if err != nil {
		f.problem("%s does not serve %s: %v", n.name, path, err)
		return
	}
	defer closeQuietly(response.Body)
	content, err := io.ReadAll(response.Body)
	if err != nil || len(content) == 0 {
		f.problem("%s does not serve %s: %d bytes, %v", n.name, path, len(content), err)
	}
	if bytes.Contains(content, []byte(secretMark)) {
		f.problem("%s exposes a key at %s", n.name, path)
	}
}

// anyRequestID returns the id of a request that was sent with a key, or an empty string if there was none.
func (f *fleet) anyRequestID() string {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, event := range f.routed {
		if event.ID != "" && event.Key != "" {
			return event.ID
		}
	}
	return ""
}

// checkRejections sends requests that a node rejects itself, with a key that is in force and with an unknown one.
func (f *fleet) checkRejections(n *node) {
	f.tenancy.lock.Lock()
	currentKey := f.tenancy.tenants[0].currentKey
	f.tenancy.lock.Unlock()
	wire := platform.Wire()
	for _, key := range []string{currentKey, secretMark + "of-nobody"} {
		line := fmt.Sprintf("%s: %s %s\r\n", wire.Key, wire.KeyScheme, key)
		for _, head := range []string{
			"GET /nowhere HTTP/1.1\r\nHost: nowhere.example\r\n" + line,
			"POST /p/x HTTP/1.1\r\nHost: plain.example\r\n" + line,
			"POST /p/x HTTP/1.1\r\nHost: plain.example\r\n" + line + wire.RequestID + ": a b\r\n" + wire.Prefix + ": x\r\n",
			"POST /p/x HTTP/1.1\r\nHost: plain.example\r\n" + line + line + wire.RequestID + ": twice\r\n",
			"POST /p/x HTTP/1.1\r\nHost: plain.example\r\n" + line + wire.RequestID + ": far\r\n" + wire.Deadline + ": never\r\n",
			"nothing\r\n" + line,
		} {
			f.checkRejection(n, head+"Connection: close\r\n\r\n")
		}
	}
}

// checkRejection sends a message and searches the whole response for keys. A missing response is not a problem here.
func (f *fleet) checkRejection(n *node, message string) {
	connection, err := f.dial(n.address(portCallers))
	if err != nil {
		f.problem("connect to %s: %v", n.name, err)
		return
	}
	defer closeQuietly(connection)
	if !write(connection, message) || connection.SetReadDeadline(time.Now().Add(2*time.Second)) != nil {
		return
	}
	// Bytes that were received before a read error are searched as well.
	content, _ := io.ReadAll(connection)
	if bytes.Contains(content, []byte(secretMark)) {
		f.problem("%s responds to %.40q with a key", n.name, message)
	}
}
