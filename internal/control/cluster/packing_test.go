package cluster

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// documentMessage stands for any message that has a document.
type documentMessage struct {
	Document *Document `json:"document"`
}

// A document is decoded as it was encoded, whether its configuration is large enough to be compressed or not. A
// document from an earlier build, which compresses nothing, is decoded as well.
func TestCompressedDocumentRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 10, minCompressionSize - 1, minCompressionSize, 300_000} {
		document := &Document{ClusterID: "f", Revision: 3, Term: 2, Voters: []Member{{"m", "a", "z"}}, Coordinators: map[string]string{"z": "a"}}
		document.PutConfig([]byte(strings.Repeat("route ", size)[:size]), nil)
		written, err := json.Marshal(documentMessage{document})
		c.Assert(err, qt.IsNil)
		c.Check(len(written) < 2*minCompressionSize, qt.IsTrue, qt.Commentf("%d bytes take %d", size, len(written)))
		var read documentMessage
		c.Assert(json.Unmarshal(written, &read), qt.IsNil)
		c.Check(string(read.Document.Config), qt.Equals, string(document.Config))
		read.Document.Config = document.Config
		c.Check(read.Document, qt.DeepEquals, document)
		plain, err := json.Marshal((*plainDocument)(document))
		c.Assert(err, qt.IsNil)
		var older Document
		c.Assert(json.Unmarshal(plain, &older), qt.IsNil)
		c.Check(string(older.Config), qt.Equals, string(document.Config))
	}
}

// Decoding fails if the compressed configuration is damaged or its content is larger than any that a node sends.
func TestDamagedCompressedDocumentIsRejected(t *testing.T) {
	c := qt.New(t)
	var large bytes.Buffer
	writer := gzip.NewWriter(&large)
	for range maxDecompressedSize/(1<<20) + 1 {
		_, err := writer.Write(make([]byte, 1<<20))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(writer.Close(), qt.IsNil)
	for _, packed := range [][]byte{[]byte("no gzip"), large.Bytes(), large.Bytes()[:1000]} {
		written, err := json.Marshal(map[string]any{"generation": 1, "spec_gzip": packed})
		c.Assert(err, qt.IsNil)
		var read Document
		c.Check(json.Unmarshal(written, &read), qt.ErrorMatches, ".*malformed message: compressed configuration can't be decompressed: .*")
	}
}
