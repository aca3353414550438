package server

import (
	"bytes"
	"encoding/json"

	"dunlinloom/internal/control/wire"
)

// envelopeBatch is what goes over a stream at once. Its envelopes are encoded one by one: they are counted
// by kind as they go, and one that can't be read costs none of the others.
type envelopeBatch struct {
	Envelopes []json.RawMessage `json:"envelopes"`
}

// jsonCodec lets connect carry the owners' own message types.
type jsonCodec struct{}

func (jsonCodec) Name() string { return "json" }

// Marshal encodes a message. A batch is put together from its envelopes, which are encoded already: encoding/json would
// check and compact each of them once more.
func (jsonCodec) Marshal(from any) ([]byte, error) {
	if batch, isBatch := from.(*envelopeBatch); isBatch && len(batch.Envelopes) > 0 {
		return batch.encode(), nil
	}
	return json.Marshal(from)
}

// Unmarshal decodes a message. A batch in the form in which Marshal writes it is only split, since each envelope is
// checked as it is read.
func (jsonCodec) Unmarshal(content []byte, to any) error {
	if batch, isBatch := to.(*envelopeBatch); isBatch && batch.split(content) {
		return nil
	}
	return json.Unmarshal(content, to)
}

// What stands round the envelopes of an encoded batch.
const (
	batchStart = `{"envelopes":[`
	batchEnd   = `]}`
)

// encode gives the bytes that encoding/json gives for a batch of envelopes that json.Marshal has encoded.
func (p *envelopeBatch) encode() []byte {
	size := len(batchStart) + len(batchEnd)
	for _, content := range p.Envelopes {
		size += len(content) + 1
	}
	encoded := append(make([]byte, 0, size), batchStart...)
	for i, content := range p.Envelopes {
		if i > 0 {
			encoded = append(encoded, ',')
		}
		encoded = append(encoded, content...)
	}
	return append(encoded, batchEnd...)
}

// split takes the envelopes of an encoded batch, without a check of what is in them. False: the batch has another form
// than encode gives it, and nothing was taken.
func (p *envelopeBatch) split(content []byte) bool {
	inner, hasStart := bytes.CutPrefix(content, []byte(batchStart))
	inner, hasEnd := bytes.CutSuffix(inner, []byte(batchEnd))
	if !hasStart || !hasEnd {
		return false
	}
	// The bytes are the caller's, which uses them again.
	inner = bytes.Clone(inner)
	var envelopes []json.RawMessage
	for {
		length := objectLength(inner)
		if length == 0 {
			return false
		}
		envelopes = append(envelopes, inner[:length:length])
		inner = inner[length:]
		if len(inner) == 0 {
			p.Envelopes = envelopes
			return true
		}
		if inner[0] != ',' {
			return false
		}
		inner = inner[1:]
	}
}

// objectLength is the length of the object that a text begins with, by its brackets and strings; zero: it begins with
// none, or with one that does not end.
func objectLength(text []byte) int {
	if len(text) == 0 || text[0] != '{' {
		return 0
	}
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			length := stringLength(text[i:])
			if length == 0 {
				return 0
			}
			i += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return i + 1
			}
		}
	}
	return 0
}

// stringLength is the length of the string that a text begins with, its quotes included; zero: it does not end.
func stringLength(text []byte) int {
	for end := 1; ; end++ {
		next := bytes.IndexByte(text[end:], '"')
		if next < 0 {
			return 0
		}
		end += next
		if !isEscaped(text, end) {
			return end + 1
		}
	}
}

// isEscaped tells whether an odd number of backslashes stands before a byte.
func isEscaped(text []byte, index int) bool {
	start := index
	for start > 0 && text[start-1] == '\\' {
		start--
	}
	return (index-start)%2 == 1
}

// dispatch gives a batch's envelopes to the owners, and what can't be read to reject.
func (p *envelopeBatch) dispatch(deliver func(wire.Envelope), reject func(from string, err error)) {
	for _, content := range p.Envelopes {
		envelope, err := wire.ReadEnvelope(content)
		if err != nil {
			reject(envelope.From, err)
			continue
		}
		deliver(envelope)
	}
}
