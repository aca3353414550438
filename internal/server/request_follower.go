package server

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// requestHead is what the guard needs to know of a request's head.
type requestHead struct {
	requestLine          uint64 // hash of the request line
	hasLength, hasChunks bool   // it has a Content-Length or a Transfer-Encoding field
	// isAmbiguous is set if other servers may read the head differently. The follower does not look for the end of its body.
	isAmbiguous bool
}

// followState says which part of a request the next bytes of a connection belong to.
type followState int

// The states of a requestFollower.
const (
	followHead      followState = iota // request line and fields, up to an empty line
	followBody                         // of known length
	followChunkSize                    // a line with the size of a chunk
	followChunk                        // the bytes of a chunk
	followChunkEnd                     // the line that ends a chunk
	followTrailer                      // fields, up to an empty line
	followLost                         // the end of the request is not certain; parsing has stopped
)

// maxFollowedLine is how many bytes of a line are buffered, enough for the framing fields and chunk sizes.
const maxFollowedLine = 128

// requestFollower is an incremental parser that finds the heads and ends of consecutive requests by the rules of net/http.
// At anything that another server could read differently it stops for the rest of the connection. The zero value expects
// a head.
type requestFollower struct {
	state  followState
	heads  []requestHead  // complete heads of requests not yet served
	line   []byte         // the first bytes of the current line
	isLong bool           // the current line is longer than maxFollowedLine
	hash   *xxhash.Digest // of the request line; nil before its first byte
	// hasTrailingCR is set while the request line read so far ends in a carriage return. The return is hashed only if more
	// bytes of the line follow.
	hasTrailingCR bool
	hasLine       bool // the request line is complete
	head          requestHead
	contentLength int64 // zero without a Content-Length field
	remaining     int64 // bytes of the body or chunk still to come
}

// follow parses the next bytes of the connection.
func (f *requestFollower) follow(chunk []byte) {
	for len(chunk) > 0 && f.state != followLost {
		if f.state == followBody || f.state == followChunk {
			taken := min(int64(len(chunk)), f.remaining)
			f.remaining -= taken
			chunk = chunk[taken:]
			f.finishBytes()
			continue
		}
		end := bytes.IndexByte(chunk, '\n')
		if end < 0 {
			f.appendLine(chunk)
			return
		}
		f.appendLine(chunk[:end])
		chunk = chunk[end+1:]
		f.finishLine()
	}
}

// hasRequestBehind reports whether a part of a request was seen that is not being served. The follower does not know it
// of requests that it has stopped parsing.
func (f *requestFollower) hasRequestBehind() bool {
	isInHead := f.state == followHead && (f.hasLine || f.hash != nil)
	return len(f.heads) > 0 || isInHead
}

// finishBytes moves to the next state if the body or chunk is complete.
func (f *requestFollower) finishBytes() {
	if f.remaining > 0 {
		return
	}
	if f.state == followBody {
		f.nextRequest()
		return
	}
	f.state = followChunkEnd
}

// appendLine adds a part of the current line to the buffer, as far as it fits, and of the request line to the hash.
func (f *requestFollower) appendLine(part []byte) {
	if f.state == followHead && !f.hasLine {
		f.hashRequestLine(part)
	}
	room := max(maxFollowedLine-len(f.line), 0)
	f.isLong = f.isLong || len(part) > room
	f.line = append(f.line, part[:min(len(part), room)]...)
}

// hashRequestLine adds a part of the request line to its hash. The carriage return that ends the line is left out.
func (f *requestFollower) hashRequestLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if f.hash == nil {
		f.hash = xxhash.New()
	}
	// Writing to a digest never fails.
	if f.hasTrailingCR {
		_, _ = f.hash.WriteString("\r")
	}
	part, f.hasTrailingCR = bytes.CutSuffix(part, []byte("\r"))
	_, _ = f.hash.Write(part)
}

// finishLine handles the current line, which is now complete.
func (f *requestFollower) finishLine() {
	line, hasReturn := strings.CutSuffix(string(f.line), "\r")
	isLong := f.isLong
	f.line, f.isLong = f.line[:0], false
	switch f.state {
	case followHead:
		f.finishHeadLine(line, isLong)
	case followChunkSize:
		f.finishChunkSize(line, hasReturn && !isLong)
	case followChunkEnd:
		f.state = followChunkSize
		if line != "" || !hasReturn || isLong {
			f.state = followLost
		}
	case followTrailer:
		switch {
		case !hasReturn:
			f.state = followLost
		case line == "" && !isLong:
			f.nextRequest()
		}
	}
}

// finishHeadLine handles a line of a head. An empty line ends the head, and is ignored before the request line.
func (f *requestFollower) finishHeadLine(line string, isLong bool) {
	isEmpty := line == "" && !isLong
	switch {
	case isEmpty && !f.hasLine:
		f.hash, f.hasTrailingCR = nil, false
	case isEmpty:
		f.finishHead()
	case !f.hasLine:
		f.hasLine, f.head.requestLine = true, f.hash.Sum64()
		f.head.isAmbiguous = strings.HasPrefix(line, "CONNECT ")
	default:
		f.parseField(line, isLong)
	}
}

// parseField reads the framing fields of a head, and marks the head as ambiguous if a line is malformed or a framing field
// is repeated or in an unusual form.
func (f *requestFollower) parseField(line string, isLong bool) {
	if line != "" && (line[0] == ' ' || line[0] == '\t') {
		f.head.isAmbiguous = true // a folded line, which continues the previous field
		return
	}
	name, value, isField := strings.Cut(line, ":")
	if !isField {
		f.head.isAmbiguous = true
		return
	}
	value = strings.Trim(value, " \t")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 62)
		f.head.isAmbiguous = f.head.isAmbiguous || f.head.hasLength || err != nil || isLong || name != strings.TrimSpace(name)
		f.head.hasLength, f.contentLength = true, int64(length)
	case "transfer-encoding":
		f.head.isAmbiguous = f.head.isAmbiguous || f.head.hasChunks || !strings.EqualFold(value, "chunked") || isLong || name != strings.TrimSpace(name)
		f.head.hasChunks = true
	}
}

// finishHead records the head and moves to the state for the body that it announces.
func (f *requestFollower) finishHead() {
	f.heads = append(f.heads, f.head)
	switch {
	case f.head.isAmbiguous || f.head.hasLength && f.head.hasChunks:
		f.state = followLost
	case f.head.hasChunks:
		f.state = followChunkSize
	case f.contentLength > 0:
		f.state, f.remaining = followBody, f.contentLength
	default:
		f.nextRequest()
	}
}

// finishChunkSize handles the line with the size of a chunk. The last chunk has size zero.
func (f *requestFollower) finishChunkSize(line string, isWhole bool) {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
	switch {
	case !isWhole || err != nil:
		f.state = followLost
	case size == 0:
		f.state = followTrailer
	default:
		f.state, f.remaining = followChunk, int64(size)
	}
}

// nextRequest resets the parser to expect a head. It keeps the recorded heads and the line buffer.
func (f *requestFollower) nextRequest() {
	*f = requestFollower{heads: f.heads, line: f.line[:0]}
}
