package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

// Bounds of a request.
const (
	MaxBodyBytes     = 8 << 20
	maxMaxTokens     = 1 << 20
	defaultMaxTokens = 16 // what the interface gives a request that names no max_tokens
	bytesPerToken    = 4  // bytes of text that count as one token
	maxPrefixTokens  = 4096
)

// BadRequestError says what is wrong with a request's body.
type BadRequestError struct{ Field, Reason string }

func (b BadRequestError) Error() string { return fmt.Sprintf("%s: %s", b.Field, b.Reason) }

type completion struct {
	Model     *json.RawMessage `json:"model"`
	Prompt    json.RawMessage  `json:"prompt"`
	MaxTokens *json.RawMessage `json:"max_tokens"`
	Stream    *json.RawMessage `json:"stream"`
}

// ReadPrompt takes what the policy needs from a request's body. Fields that it
// does not know are the engine's business.
func ReadPrompt(body []byte) (Request, error) {
	var request Request
	var fields completion
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&fields); err != nil {
		return request, BadRequestError{"body", "not a JSON object: " + err.Error()}
	}
	if decoder.More() {
		return request, BadRequestError{"body", "more than one JSON value"}
	}
	if fields.Model != nil {
		if err := json.Unmarshal(*fields.Model, &request.Model); err != nil {
			return request, BadRequestError{"model", "has to be a string"}
		}
	}
	if fields.Stream != nil {
		var isStream *bool
		if err := json.Unmarshal(*fields.Stream, &isStream); err != nil {
			return request, BadRequestError{"stream", "has to be true or false"}
		}
	}
	request.MaxTokens = defaultMaxTokens
	if fields.MaxTokens != nil && string(*fields.MaxTokens) != "null" {
		var count float64
		if err := json.Unmarshal(*fields.MaxTokens, &count); err != nil || count < 1 || count > maxMaxTokens || count != math.Trunc(count) {
			return request, BadRequestError{"max_tokens", fmt.Sprintf("has to be a whole number from 1 to %d", maxMaxTokens)}
		}
		request.MaxTokens = int(count)
	}
	return request, readTokens(fields.Prompt, &request)
}

func readTokens(prompt json.RawMessage, request *Request) error {
	trimmed := bytes.TrimSpace(prompt)
	switch {
	case len(trimmed) == 0 || string(trimmed) == "null":
		return BadRequestError{"prompt", "is missing"}
	case trimmed[0] == '"':
		var text string
		if err := json.Unmarshal(trimmed, &text); err != nil {
			return BadRequestError{"prompt", "has to be a string or a list of token ids"}
		}
		if text == "" {
			return BadRequestError{"prompt", "is empty"}
		}
		// Without the engines' tokenizer four bytes stand for a token. What matters is
		// that equal leading text always gives an equal prefix, on every node.
		request.PromptTokens = (len(text) + bytesPerToken - 1) / bytesPerToken
		for len(text) > 0 && len(request.Prefix) < maxPrefixTokens {
			piece := text[:min(bytesPerToken, len(text))]
			var token uint32
			for i := 0; i < len(piece); i++ {
				token = token<<8 | uint32(piece[i])
			}
			request.Prefix = append(request.Prefix, token)
			text = text[len(piece):]
		}
		return nil
	case trimmed[0] == '[':
		var tokens []*float64
		if err := json.Unmarshal(trimmed, &tokens); err != nil {
			return BadRequestError{"prompt", "has to be one string or one list of token ids"}
		}
		if len(tokens) == 0 {
			return BadRequestError{"prompt", "is empty"}
		}
		request.PromptTokens = len(tokens)
		for i, token := range tokens {
			if token == nil || *token < 0 || *token > math.MaxUint32 || *token != math.Trunc(*token) {
				return BadRequestError{fmt.Sprintf("prompt[%d]", i), "is not a token id"}
			}
			if i < maxPrefixTokens {
				request.Prefix = append(request.Prefix, uint32(*token))
			}
		}
		return nil
	}
	return BadRequestError{"prompt", "has to be a string or a list of token ids"}
}

// Tally reads an event stream as it passes, only to count tokens and to see the
// closing mark; it changes nothing and holds no more than the start of a line.
type Tally struct {
	line     []byte
	isLong   bool
	IsClosed bool
	Tokens   int
}

const maxTallyLineBytes = 16

// Take reads the next bytes and gives how many tokens they brought.
func (t *Tally) Take(chunk []byte) int {
	before := t.Tokens
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		piece := chunk
		if end >= 0 {
			piece = chunk[:end]
		}
		if room := maxTallyLineBytes - len(t.line); len(piece) > room {
			t.line = append(t.line, piece[:room]...)
			t.isLong = true
		} else {
			t.line = append(t.line, piece...)
		}
		if end < 0 {
			break
		}
		t.endLine()
		chunk = chunk[end+1:]
	}
	return t.Tokens - before
}

func (t *Tally) endLine() {
	line := bytes.TrimSuffix(t.line, []byte{'\r'})
	if data, isData := bytes.CutPrefix(line, []byte("data:")); isData {
		if !t.isLong && string(bytes.TrimSpace(data)) == "[DONE]" {
			t.IsClosed = true
		} else {
			t.Tokens++
		}
	}
	t.line, t.isLong = t.line[:0], false
}
