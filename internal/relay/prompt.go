package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 8 << 20

const (
	maxMaxTokens     = 1 << 20
	defaultMaxTokens = 16   // the API's default for a request without max_tokens
	bytesPerToken    = 4    // bytes of text that count as one token
	maxPrefixTokens  = 4096 // the largest prefix length that a configuration may set
)

// BadRequestError says which field of a request body is invalid, and why.
type BadRequestError struct{ Field, Reason string }

// Error returns the field and the reason.
func (e BadRequestError) Error() string { return e.Field + ": " + e.Reason }

type completion struct {
	Model     *json.RawMessage `json:"model"`
	Prompt    json.RawMessage  `json:"prompt"`
	MaxTokens *json.RawMessage `json:"max_tokens"`
	Stream    *json.RawMessage `json:"stream"`
}

// ReadPrompt parses the fields of a request body that the policy needs. Other fields are left to the
// engine. Its errors are BadRequestErrors.
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

// readTokens parses a prompt, which is a string or a list of token ids.
func readTokens(prompt json.RawMessage, request *Request) error {
	trimmed := bytes.TrimSpace(prompt)
	switch {
	case len(trimmed) == 0 || string(trimmed) == "null":
		return BadRequestError{"prompt", "is missing"}
	case trimmed[0] == '"':
		return readText(trimmed, request)
	case trimmed[0] == '[':
		return readTokenIDs(trimmed, request)
	}
	return BadRequestError{"prompt", "has to be a string or a list of token ids"}
}

// readText parses a prompt given as text. The router does not have the engines' tokenizer, so each
// bytesPerToken bytes count as one token. This is sufficient for routing, which only requires that texts
// with the same beginning have the same prefix on every router.
func readText(prompt json.RawMessage, request *Request) error {
	var text string
	if err := json.Unmarshal(prompt, &text); err != nil {
		return BadRequestError{"prompt", "has to be a string or a list of token ids"}
	}
	if text == "" {
		return BadRequestError{"prompt", "is empty"}
	}
	request.PromptTokens = (len(text) + bytesPerToken - 1) / bytesPerToken
	for len(text) > 0 && len(request.Prefix) < maxPrefixTokens {
		chunk := text[:min(bytesPerToken, len(text))]
		var token uint32
		for i := range len(chunk) {
			token = token<<8 | uint32(chunk[i])
		}
		request.Prefix = append(request.Prefix, token)
		text = text[len(chunk):]
	}
	return nil
}

// readTokenIDs parses a prompt given as a list of token ids.
func readTokenIDs(prompt json.RawMessage, request *Request) error {
	var tokens []*float64
	if err := json.Unmarshal(prompt, &tokens); err != nil {
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
