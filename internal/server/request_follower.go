package server

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// requestHead is what a head says of itself and of its body's end.
type requestHead struct {
	requestLine          uint64 // its hash
	hasLength, hasChunks bool
	// isAmbiguous: it says something that could be understood in another way, so that the end of its body is not followed.
	isAmbiguous bool
}

// followState is what the next bytes of a connection belong to.
type followState int

// The states of a requestFollower.
const (
	followHead      followState = iota // lines up to an empty one
	followBody                         // of known length
	followChunkSize                    // a line with the size of a chunk
	followChunk                        // the bytes of a chunk
	followChunkEnd                     // the line that ends a chunk
	followTrailer                      // lines up to an empty one
	followLost                         // where the request ends is not sure
)

// maxFollowedLine is how much of a line is kept: enough for the fields and sizes that are looked for.
const maxFollowedLine = 128

// requestFollower follows requests, one behind another, by the rules of net/http. It gives up, for the rest of the
// connection, at whatever could be understood in another way. The zero value expects a head.
type requestFollower struct {
	state  followState
	heads  []requestHead  // seen, and not yet served
	line   []byte         // the first bytes of the line that is coming in
	isLong bool           // more of it came than is kept
	hash   *xxhash.Digest // of the request line; nil: nothing of it has come
	// isReturnDue: the part of the request line so far ends in a carriage return, which belongs to it if more follows.
	isReturnDue bool
	hasLine     bool // the request line has come in
	head        requestHead
	length      int64 // of the body, by the head
	left        int64 // bytes of the body or chunk that are due
}

// follow takes the next bytes of the connection.
func (f *requestFollower) follow(chunk []byte) {
	for len(chunk) > 0 && f.state != followLost {
		if f.state == followBody || f.state == followChunk {
			taken := min(int64(len(chunk)), f.left)
			f.left -= taken
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

// finishBytes goes on once all bytes of a body or chunk have come.
func (f *requestFollower) finishBytes() {
	if f.left > 0 {
		return
	}
	if f.state == followBody {
		f.nextRequest()
		return
	}
	f.state = followChunkEnd
}

// appendLine takes a part of a line.
func (f *requestFollower) appendLine(part []byte) {
	if f.state == followHead && !f.hasLine {
		f.hashRequestLine(part)
	}
	room := max(maxFollowedLine-len(f.line), 0)
	f.isLong = f.isLong || len(part) > room
	f.line = append(f.line, part[:min(len(part), room)]...)
}

// hashRequestLine adds a part of the request line to its hash, without the carriage return that ends the line.
func (f *requestFollower) hashRequestLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if f.hash == nil {
		f.hash = xxhash.New()
	}
	// A digest takes whatever it is given.
	if f.isReturnDue {
		_, _ = f.hash.WriteString("\r")
	}
	part, f.isReturnDue = bytes.CutSuffix(part, []byte("\r"))
	_, _ = f.hash.Write(part)
}

// finishLine takes a whole line.
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

// finishHeadLine takes a line of a head. An empty one ends it, unless nothing came before.
func (f *requestFollower) finishHeadLine(line string, isLong bool) {
	isEmpty := line == "" && !isLong
	switch {
	case isEmpty && !f.hasLine:
		f.hash, f.isReturnDue = nil, false
	case isEmpty:
		f.finishHead()
	case !f.hasLine:
		f.hasLine, f.head.requestLine = true, f.hash.Sum64()
		f.head.isAmbiguous = strings.HasPrefix(line, "CONNECT ")
	default:
		f.parseField(line, isLong)
	}
}

// parseField takes a field of a head.
func (f *requestFollower) parseField(line string, isLong bool) {
	if line != "" && (line[0] == ' ' || line[0] == '\t') {
		f.head.isAmbiguous = true // a part of the field before it
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
		f.head.hasLength, f.length = true, int64(length)
	case "transfer-encoding":
		f.head.isAmbiguous = f.head.isAmbiguous || f.head.hasChunks || !strings.EqualFold(value, "chunked") || isLong || name != strings.TrimSpace(name)
		f.head.hasChunks = true
	}
}

// finishHead goes on to what the head says that its body is.
func (f *requestFollower) finishHead() {
	f.heads = append(f.heads, f.head)
	switch {
	case f.head.isAmbiguous || f.head.hasLength && f.head.hasChunks:
		f.state = followLost
	case f.head.hasChunks:
		f.state = followChunkSize
	case f.length > 0:
		f.state, f.left = followBody, f.length
	default:
		f.nextRequest()
	}
}

// finishChunkSize takes the line with the size of a chunk; one of zero is the last.
func (f *requestFollower) finishChunkSize(line string, isWhole bool) {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
	switch {
	case !isWhole || err != nil:
		f.state = followLost
	case size == 0:
		f.state = followTrailer
	default:
		f.state, f.left = followChunk, int64(size)
	}
}

// nextRequest begins anew with a head. What was seen stays.
func (f *requestFollower) nextRequest() {
	*f = requestFollower{heads: f.heads, line: f.line[:0]}
}
