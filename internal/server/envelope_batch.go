package server

import (
	"bytes"
	"encoding/json"

	"dunlinloom/internal/control/wire"
)

// envelopeBatch is the unit that is sent on a stream. Its envelopes are encoded one by one, so that their bytes can be
// counted by kind and a malformed envelope does not affect the others.
type envelopeBatch struct {
	Envelopes []json.RawMessage `json:"envelopes"`
}

// jsonCodec is the connect codec for plain Go message types, which connect's own JSON codec does not accept.
type jsonCodec struct{}

func (jsonCodec) Name() string { return "json" }

// Marshal encodes a message. A batch is concatenated from its envelopes, which are already encoded: encoding/json would
// validate and compact each of them again.
func (jsonCodec) Marshal(from any) ([]byte, error) {
	if batch, isBatch := from.(*envelopeBatch); isBatch && len(batch.Envelopes) > 0 {
		return batch.encode(), nil
	}
	return json.Marshal(from)
}

// Unmarshal decodes a message. A batch in the form that Marshal writes is only split into its envelopes, since each
// envelope is validated when it is decoded.
func (jsonCodec) Unmarshal(content []byte, to any) error {
	if batch, isBatch := to.(*envelopeBatch); isBatch && batch.split(content) {
		return nil
	}
	return json.Unmarshal(content, to)
}

// An encoded batch is its envelopes, separated by commas, between batchStart and batchEnd.
const (
	batchStart = `{"envelopes":[`
	batchEnd   = `]}`
)

// encode returns the same bytes as encoding/json, provided that the envelopes were encoded by json.Marshal.
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

// split sets the envelopes from an encoded batch without validating their content. It returns false and changes nothing if
// the batch does not have the form that encode writes.
func (p *envelopeBatch) split(content []byte) bool {
	inner, hasStart := bytes.CutPrefix(content, []byte(batchStart))
	inner, hasEnd := bytes.CutSuffix(inner, []byte(batchEnd))
	if !hasStart || !hasEnd {
		return false
	}
	// The caller reuses its buffer, so the bytes are copied.
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

// objectLength returns the length of the JSON object that a text begins with, found by its brackets and strings alone. It
// returns 0 if the text does not begin with an object or the object does not end.
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

// stringLength returns the length of the JSON string that a text begins with, including its quotes, or 0 if the string
// does not end.
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

// isEscaped reports whether the byte at index is preceded by an odd number of backslashes.
func isEscaped(text []byte, index int) bool {
	start := index
	for start > 0 && text[start-1] == '\\' {
		start--
	}
	return (index-start)%2 == 1
}

// dispatch decodes a batch's envelopes and passes each to deliver, or to reject if it cannot be decoded.
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
