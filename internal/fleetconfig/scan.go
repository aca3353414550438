package fleetconfig

import (
	"bytes"
	"encoding/json"
	"strings"
)

// What is here cuts JSON that is known to be whole into its parts without decoding them:
// encoding/json would lose the order of members when it reads objects into maps.

// member is one member of an object, its key decoded and as it stands.
type member struct {
	key    string
	rawKey json.RawMessage
	value  json.RawMessage
}

// members cuts an object.
func members(object json.RawMessage) []member {
	list := []member{}
	eachMember(object, func(rawKey, value json.RawMessage) {
		list = append(list, member{text(rawKey), rawKey, value})
	})
	return list
}

// eachMember goes over an object's members as they stand.
func eachMember(object json.RawMessage, each func(rawKey, value json.RawMessage)) {
	for at := skipSpace(object, 1); object[at] != '}'; {
		keyEnd := skipValue(object, at)
		// The colon stands between.
		start := skipSpace(object, skipSpace(object, keyEnd)+1)
		end := skipValue(object, start)
		each(object[at:keyEnd], object[start:end:end])
		at = skipComma(object, end)
	}
}

// isText tells whether a string says something, and decodes it only where it has to.
func isText(raw json.RawMessage, said string) bool {
	if bytes.IndexByte(raw, '\\') >= 0 {
		return text(raw) == said
	}
	return string(raw[1:len(raw)-1]) == said
}

// elements cuts a list.
func elements(list json.RawMessage) []json.RawMessage {
	parts := []json.RawMessage{}
	for at := skipSpace(list, 1); list[at] != ']'; {
		end := skipValue(list, at)
		parts = append(parts, list[at:end:end])
		at = skipComma(list, end)
	}
	return parts
}

// skipComma goes from the end of a value to the next one, or to the closing bracket.
func skipComma(raw []byte, at int) int {
	at = skipSpace(raw, at)
	if raw[at] == ',' {
		at = skipSpace(raw, at+1)
	}
	return at
}

func skipSpace(raw []byte, at int) int {
	for at < len(raw) && (raw[at] == ' ' || raw[at] == '\n' || raw[at] == '\t' || raw[at] == '\r') {
		at++
	}
	return at
}

// skipValue gives the end of the value that begins here.
func skipValue(raw []byte, at int) int {
	depth := 0
	for at < len(raw) {
		switch raw[at] {
		case '"':
			at = skipString(raw, at)
			if depth == 0 {
				return at
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return at
			}
			if depth--; depth == 0 {
				return at + 1
			}
		case ',', ':', ' ', '\n', '\t', '\r':
			// A number or word ends where something else begins.
			if depth == 0 {
				return at
			}
		}
		at++
	}
	return at
}

func skipString(raw []byte, at int) int {
	for at++; raw[at] != '"'; at++ {
		if raw[at] == '\\' {
			at++
		}
	}
	return at + 1
}

// text decodes a string.
func text(raw json.RawMessage) string {
	inner := string(raw[1 : len(raw)-1])
	if strings.IndexByte(inner, '\\') < 0 {
		return inner
	}
	var decoded string
	// The caller has had the document proved, and this is a string of it.
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return inner
	}
	return decoded
}

// quote writes a string.
func quote(text string) json.RawMessage {
	raw, err := json.Marshal(text)
	if err != nil {
		// Strings can always be written.
		panic(err)
	}
	return raw
}

func isNull(raw json.RawMessage) bool { return raw[0] == 'n' }
