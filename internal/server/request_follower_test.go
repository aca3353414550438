package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cespare/xxhash/v2"
)

func TestRequestsAreFollowed(t *testing.T) {
	const get = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, test := range []struct {
		name, text string
		heads      int
		isLost     bool
	}{
		{"no body", get + get + get, 3, false},
		{"a length", "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /" + get, 2, false},
		{"a length of nothing", "POST /a HTTP/1.1\r\ncontent-length:0\r\n\r\n" + get, 2, false},
		{"chunks", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1F;ext=1\r\n" + strings.Repeat("x", 31) + "\r\n0\r\n\r\n" + get, 2, false},
		{"chunks and a trailer", "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\nA: b\r\n\r\n" + get, 2, false},
		{"line feeds alone", "GET /a HTTP/1.1\nHost: h\n\n" + get, 2, false},
		{"empty lines between", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n\r\n\r\n" + get, 2, false},
		{"a long request line", "GET /" + strings.Repeat("long", 500) + " HTTP/1.1\r\nHost: h\r\n\r\n" + get, 2, false},
		{"a long field", "GET /a HTTP/1.1\r\nCookie: " + strings.Repeat("long", 500) + "\r\n\r\n" + get, 2, false},
		{"half a body", "POST /a HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf", 1, false},
		{"half a head", "POST /a HTTP/1.1\r\nContent-Le", 0, false},
		{"a length and chunks", "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, 1, true},
		{"two lengths", "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nabcde" + get, 1, true},
		{"an invalid length", "POST /a HTTP/1.1\r\nContent-Length: +5\r\n\r\nabcde" + get, 1, true},
		{"an unknown coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + get, 1, true},
		{"a folded field", "POST /a HTTP/1.1\r\nContent-Length:\r\n 5\r\n\r\nabcde" + get, 1, true},
		{"a space before the colon", "POST /a HTTP/1.1\r\nContent-Length : 5\r\n\r\nabcde" + get, 1, true},
		{"a length too long to buffer", "POST /a HTTP/1.1\r\nContent-Length: " + strings.Repeat(" ", 200) + "5\r\n\r\nabcde" + get, 1, true},
		{"an invalid chunk size", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" + get, 1, true},
		{"a chunk longer than its size", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n" + get, 1, true},
		{"a size that ends with a line feed alone", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\n\r\n" + get, 1, true},
		{"a trailer that ends with a line feed alone", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\n\n" + get, 1, true},
		{"a CONNECT request", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + get, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for _, part := range []int{1, 2, 7, len(test.text)} {
				follower := requestFollower{}
				for text := []byte(test.text); len(text) > 0; text = text[min(part, len(text)):] {
					follower.follow(text[:min(part, len(text))])
				}
				c.Assert(follower.heads, qt.HasLen, test.heads, qt.Commentf("parts of %d", part))
				c.Assert(follower.state == followLost, qt.Equals, test.isLost)
				if test.heads > 1 {
					c.Assert(follower.heads[test.heads-1].requestLine, qt.Equals, xxhash.Sum64String("GET /next HTTP/1.1"))
				}
			}
		})
	}
}

// drawRequest generates a random request, sometimes one with ambiguous framing.
func drawRequest(random *rand.Rand) string {
	body := []string{"", "hi", "GET /in HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n", "Content-Length: 3\r\n\r\n"}[random.IntN(5)]
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if body == "" {
		chunks = "0\r\n\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	coding := "Transfer-Encoding: chunked\r\n"
	line := []string{"GET /a HTTP/1.1\r\n", "POST /b HTTP/1.1\r\n", "POST /b HTTP/1.0\r\n", "OPTIONS * HTTP/1.1\r\n", "PUT /" + strings.Repeat("x", random.IntN(300)) + " HTTP/1.1\r\n"}[random.IntN(5)]
	framing := []string{"\r\n", length + "\r\n" + body, coding + "\r\n" + chunks, length + coding + "\r\n" + chunks, coding + length + "\r\n" + body,
		length + length + "\r\n" + body, "Content-Length:\r\n " + strconv.Itoa(len(body)) + "\r\n\r\n" + body}[min(random.IntN(12), 6)%7]
	return line + "Host: h\r\n" + framing
}

// mutate replaces, deletes or inserts up to three bytes of a text.
func mutate(random *rand.Rand, text []byte) []byte {
	alphabet := []byte("\r\n :;0a5\tHTCx")
	for range random.IntN(4) {
		at := random.IntN(len(text))
		switch random.IntN(3) {
		case 0:
			text[at] = alphabet[random.IntN(len(alphabet))]
		case 1:
			text = append(text[:at], text[at+1:]...)
		default:
			text = append(text[:at], append([]byte{alphabet[random.IntN(len(alphabet))]}, text[at:]...)...)
		}
		if len(text) == 0 {
			return []byte("x")
		}
	}
	return text
}

// netHTTPRequest is a request as parsed by net/http, with the framing fields found in the bytes of its head.
type netHTTPRequest struct {
	line                 string
	isOld                bool // below HTTP/1.1
	hasLength, hasChunks bool
}

// readWithNetHTTP reads consecutive requests up to the first that net/http rejects.
func readWithNetHTTP(text []byte) (requests []netHTTPRequest) {
	reader := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
	for {
		begun := len(text) - reader.Buffered()
		if len(requests) == 0 {
			begun = 0
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return requests
		}
		head, _, _ := strings.Cut(strings.ReplaceAll(strings.TrimLeft(string(text[begun:]), "\r\n"), "\r\n", "\n"), "\n\n")
		found := netHTTPRequest{line: request.Method + " " + request.RequestURI + " " + request.Proto, isOld: !request.ProtoAtLeast(1, 1)}
		for _, field := range strings.Split(head, "\n")[1:] {
			if strings.HasPrefix(field, " ") || strings.HasPrefix(field, "\t") {
				continue // a folded line, which continues the previous field
			}
			name, _, _ := strings.Cut(field, ":")
			found.hasLength = found.hasLength || strings.EqualFold(strings.TrimSpace(name), "content-length")
			found.hasChunks = found.hasChunks || strings.EqualFold(strings.TrimSpace(name), "transfer-encoding")
		}
		requests = append(requests, found)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return requests
		}
	}
}

// matches reports whether the guard accepts head as the head of the request.
func (l netHTTPRequest) matches(head requestHead) bool {
	return head.requestLine == xxhash.Sum64String(l.line) && (!l.isOld || !head.hasChunks)
}

// drawConnection generates the random bytes of a connection: a few requests, in most cases with some bytes mutated.
func drawConnection(random *rand.Rand) (text []byte) {
	for range 1 + random.IntN(5) {
		text = append(text, drawRequest(random)...)
	}
	if random.IntN(3) > 0 {
		text = mutate(random, text)
	}
	return text
}

// followInParts passes a connection's bytes to a follower in parts of random sizes and returns the heads that it finds.
func followInParts(random *rand.Rand, text []byte) []requestHead {
	follower := requestFollower{}
	for len(text) > 0 {
		part := 1 + random.IntN(len(text))
		follower.follow(text[:part])
		text = text[part:]
	}
	return follower.heads
}

// For random connections, the guard either sees the same framing fields as net/http in a request that net/http would
// serve, or it refuses that request. A disagreement would allow request smuggling.
func TestFollowerAgreesWithNetHTTP(t *testing.T) {
	c := qt.New(t)
	taken, refused := 0, 0
	for seed := range uint64(60_000) {
		random := rand.New(rand.NewPCG(seed, 1))
		text := drawConnection(random)
		heads := followInParts(random, text)
		for i, request := range readWithNetHTTP(text) {
			if i >= len(heads) || !request.matches(heads[i]) {
				refused++
				break
			}
			taken++
			head, comment := heads[i], qt.Commentf("seed %d, request %d of %q", seed, i, text)
			c.Assert(head.hasLength, qt.Equals, request.hasLength, comment)
			c.Assert(head.hasChunks, qt.Equals, request.hasChunks, comment)
			if head.isAmbiguous || head.hasLength && head.hasChunks {
				break // its connection closes
			}
		}
	}
	c.Logf("%d taken, %d refused", taken, refused)
	c.Assert(taken > 10*refused, qt.IsTrue, qt.Commentf("%d taken, %d refused", taken, refused))
	c.Assert(refused > 100, qt.IsTrue)
}
