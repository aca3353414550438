package fleetconfig

import (
	"bytes"
	"encoding/json"
	"strings"
)

// This file splits JSON that is known to be valid into its parts without decoding them:
// encoding/json would lose the order of members when it reads objects into maps.

// member is one member of an object, its key decoded and as written.
type member struct {
	key    string
	rawKey json.RawMessage
	value  json.RawMessage
}

// members splits an object.
func members(object json.RawMessage) []member {
	list := []member{}
	eachMember(object, func(rawKey, value json.RawMessage) {
		list = append(list, member{decodeString(rawKey), rawKey, value})
	})
	return list
}

// eachMember calls for each member of an object, with its key and value as written.
func eachMember(object json.RawMessage, each func(rawKey, value json.RawMessage)) {
	for offset := skipSpace(object, 1); object[offset] != '}'; {
		keyEnd := skipValue(object, offset)
		// The colon is between the two.
		start := skipSpace(object, skipSpace(object, keyEnd)+1)
		end := skipValue(object, start)
		each(object[offset:keyEnd], object[start:end:end])
		offset = skipComma(object, end)
	}
}

// equalsString reports whether a raw string is the wanted text; it decodes only where there are escapes.
func equalsString(raw json.RawMessage, want string) bool {
	if bytes.IndexByte(raw, '\\') >= 0 {
		return decodeString(raw) == want
	}
	return string(raw[1:len(raw)-1]) == want
}

// elements splits a list.
func elements(list json.RawMessage) []json.RawMessage {
	parts := []json.RawMessage{}
	for offset := skipSpace(list, 1); list[offset] != ']'; {
		end := skipValue(list, offset)
		parts = append(parts, list[offset:end:end])
		offset = skipComma(list, end)
	}
	return parts
}

// skipComma goes from the end of a value to the next one, or to the closing bracket.
func skipComma(raw []byte, offset int) int {
	offset = skipSpace(raw, offset)
	if raw[offset] == ',' {
		offset = skipSpace(raw, offset+1)
	}
	return offset
}

func skipSpace(raw []byte, offset int) int {
	for offset < len(raw) && (raw[offset] == ' ' || raw[offset] == '\n' || raw[offset] == '\t' || raw[offset] == '\r') {
		offset++
	}
	return offset
}

// skipValue gives the end of the value that begins here.
func skipValue(raw []byte, offset int) int {
	depth := 0
	for offset < len(raw) {
		switch raw[offset] {
		case '"':
			offset = skipString(raw, offset)
			if depth == 0 {
				return offset
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return offset
			}
			if depth--; depth == 0 {
				return offset + 1
			}
		case ',', ':', ' ', '\n', '\t', '\r':
			// A number or literal ends where something else begins.
			if depth == 0 {
				return offset
			}
		}
		offset++
	}
	return offset
}

func skipString(raw []byte, offset int) int {
	for offset++; raw[offset] != '"'; offset++ {
		if raw[offset] == '\\' {
			offset++
		}
	}
	return offset + 1
}

// decodeString decodes a raw string.
func decodeString(raw json.RawMessage) string {
	inner := string(raw[1 : len(raw)-1])
	if strings.IndexByte(inner, '\\') < 0 {
		return inner
	}
	var decoded string
	// The caller checked that the document is JSON, and this is a string of it.
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return inner
	}
	return decoded
}

// encodeString encodes a string.
func encodeString(text string) json.RawMessage {
	raw, err := json.Marshal(text)
	if err != nil {
		// Strings can always be encoded.
		panic(err)
	}
	return raw
}

func isNull(raw json.RawMessage) bool { return raw[0] == 'n' }
