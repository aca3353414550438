package server

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
)

// encodedEnvelopes returns a batch of encoded envelopes with a few engine records each.
func encodedEnvelopes(tb testing.TB, count int) envelopeBatch {
	tb.Helper()
	batch := envelopeBatch{}
	for i := range count {
		push := &wire.Push{Token: uint64(i)}
		for j := range 4 {
			push.Engines = append(push.Engines, registry.EngineRecord{ID: fmt.Sprintf("engine <%d> \"{[\\", j), Address: "10.0.0.1:80", Zone: "z", Pool: "p\\", Start: 7, Seq: 3, Age: 1000})
		}
		content, err := json.Marshal(wire.Envelope{Fleet: "f", ClusterID: "c", From: "10.0.0.1:1", To: "10.0.0.2:1", Message: wire.Message{Push: push}})
		if err != nil {
			tb.Fatal(err)
		}
		batch.Envelopes = append(batch.Envelopes, content)
	}
	return batch
}

// The codec's fast path writes the same bytes as encoding/json, and reads them back equal.
func TestBatchIsEncodedAsEncodingJSONDoes(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int{0, 1, 2, maxBatchEnvelopes} {
		batch := encodedEnvelopes(t, count)
		expected, err := json.Marshal(&batch)
		c.Assert(err, qt.IsNil)
		encoded, err := jsonCodec{}.Marshal(&batch)
		c.Assert(err, qt.IsNil)
		c.Assert(string(encoded), qt.Equals, string(expected))
		var read envelopeBatch
		c.Assert(jsonCodec{}.Unmarshal(encoded, &read), qt.IsNil)
		c.Assert(read, qt.DeepEquals, batch)
		// connect reuses the buffer for the next message, so the envelopes must not refer to it.
		clear(encoded)
		c.Assert(read, qt.DeepEquals, batch)
	}
}

// batchTexts are JSON texts that encode does not write: batches in other forms, and texts that are not batches.
var batchTexts = []string{
	``, `{}`, `null`, `{"envelopes":null}`, `{"envelopes":[]}`, `{"envelopes":[ {} ]}`, `{ "envelopes" : [{"a":1}]}`, `{"envelopes":[{"a":1},7]}`,
	`{"other":1,"envelopes":[{}]}`, `{"envelopes":[{}],"other":[{}]}`, `{"envelopes":[{"a":"]}"}]}`, `{"envelopes":[{"a":"\\"},{"b":"\""}]}`,
	`{"envelopes":[{},]}`, `{"envelopes":[,{}]}`, `{"envelopes":[{}{}]}`, `{"envelopes":[{"a":"]}`, `{"envelopes":[{]}`, `{"envelopes":[{}]}]}`,
	`{"envelopes":[[{}]]}`, `{"envelopes":["{}"]}`, `{"envelopes":[{"a":[{"b":{}}]},{}]}`,
}

func TestABatchIsReadAsEncodingJSONReadsIt(t *testing.T) {
	for _, text := range batchTexts {
		checkBatch(qt.New(t), text)
	}
}

// checkBatch checks that the codec reads a batch as encoding/json does, if encoding/json accepts it. The codec may accept
// part of a batch that encoding/json rejects: no valid envelope is lost by that, and each is validated when it is decoded.
func checkBatch(c *qt.C, text string) {
	c.Helper()
	var expected, read envelopeBatch
	if json.Unmarshal([]byte(text), &expected) != nil {
		return
	}
	c.Assert(jsonCodec{}.Unmarshal([]byte(text), &read), qt.IsNil, qt.Commentf("%s", text))
	c.Assert(read.Envelopes, qt.HasLen, len(expected.Envelopes), qt.Commentf("%s", text))
	for i := range expected.Envelopes {
		c.Assert(string(read.Envelopes[i]), qt.Equals, string(expected.Envelopes[i]), qt.Commentf("%s", text))
	}
}

func FuzzBatch(f *testing.F) {
	for _, text := range batchTexts {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) { checkBatch(qt.New(t), text) })
}

func BenchmarkBatch(b *testing.B) {
	for _, count := range []int{1, maxBatchEnvelopes} {
		batch := encodedEnvelopes(b, count)
		encoded, err := jsonCodec{}.Marshal(&batch)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("encode ", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := (jsonCodec{}).Marshal(&batch); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("decode ", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var read envelopeBatch
				if err := (jsonCodec{}).Unmarshal(encoded, &read); err != nil {
					b.Fatal(err)
				}
				read.dispatch(func(wire.Envelope) {}, func(_ string, err error) { b.Fatal(err) })
			}
		})
	}
}
