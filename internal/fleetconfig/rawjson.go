package fleetconfig

import (
	"bytes"
	"encoding/json"
	"strings"
)

// This file splits valid JSON into its parts without decoding them. encoding/json would lose the
// order of members, because it decodes objects into maps.

// member is one member of an object, with its key decoded (key) and as written (rawKey).
type member struct {
	key    string
	rawKey json.RawMessage
	value  json.RawMessage
}

// members splits an object into its members.
func members(object json.RawMessage) []member {
	list := []member{}
	eachMember(object, func(rawKey, value json.RawMessage) {
		list = append(list, member{decodeString(rawKey), rawKey, value})
	})
	return list
}

// eachMember calls each with the key and value of every member of an object, as written.
func eachMember(object json.RawMessage, each func(rawKey, value json.RawMessage)) {
	for offset := skipSpace(object, 1); object[offset] != '}'; {
		keyEnd := skipValue(object, offset)
		// Skip the colon and the space on both sides of it.
		start := skipSpace(object, skipSpace(object, keyEnd)+1)
		end := skipValue(object, start)
		each(object[offset:keyEnd], object[start:end:end])
		offset = skipComma(object, end)
	}
}

// equalsString reports whether a JSON string decodes to the wanted text. Without escapes it is not decoded.
func equalsString(raw json.RawMessage, want string) bool {
	if bytes.IndexByte(raw, '\\') >= 0 {
		return decodeString(raw) == want
	}
	return string(raw[1:len(raw)-1]) == want
}

// elements splits a list into its elements.
func elements(list json.RawMessage) []json.RawMessage {
	parts := []json.RawMessage{}
	for offset := skipSpace(list, 1); list[offset] != ']'; {
		end := skipValue(list, offset)
		parts = append(parts, list[offset:end:end])
		offset = skipComma(list, end)
	}
	return parts
}

// skipComma returns the offset of the next value or of the closing bracket, given the end of a value.
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

// skipValue returns the end of the value that begins at offset.
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
			// These characters end a number or a literal.
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

// decodeString decodes a JSON string.
func decodeString(raw json.RawMessage) string {
	inner := string(raw[1 : len(raw)-1])
	if strings.IndexByte(inner, '\\') < 0 {
		return inner
	}
	var decoded string
	// This can't fail: the caller has checked that the document is valid JSON.
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return inner
	}
	return decoded
}

// encodeString encodes a string as JSON.
func encodeString(text string) json.RawMessage {
	raw, err := json.Marshal(text)
	if err != nil {
		// Encoding a string can't fail.
		panic(err)
	}
	return raw
}

func isNull(raw json.RawMessage) bool { return raw[0] == 'n' }
