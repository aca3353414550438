package relay

import "bytes"

// maxTallyLineBytes is how many bytes of an incomplete line are buffered, which is enough to recognize "data: [DONE]".
const maxTallyLineBytes = 16

// Tally counts the tokens of an event stream and detects its [DONE] marker. Each chunk that is relayed is passed to
// Take, which does not change it. Only the first bytes of an incomplete line are buffered. The zero value is ready for
// use.
type Tally struct {
	line          []byte // the first bytes of the incomplete line
	isLong        bool   // the incomplete line is longer than the bytes in line
	HasDoneMarker bool   // the final line, data: [DONE], was read
	Tokens        int    // one for each other data line
}

// Take reads the next chunk and returns the number of tokens whose lines ended in it.
func (t *Tally) Take(chunk []byte) int {
	before := t.Tokens
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		part := chunk
		if end >= 0 {
			part = chunk[:end]
		}
		if room := maxTallyLineBytes - len(t.line); len(part) > room {
			t.line = append(t.line, part[:room]...)
			t.isLong = true
		} else {
			t.line = append(t.line, part...)
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
			t.HasDoneMarker = true
		} else {
			t.Tokens++
		}
	}
	t.line, t.isLong = t.line[:0], false
}
