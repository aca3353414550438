package relay

import "bytes"

// maxTallyLineBytes is how much of a line is looked at: enough for the closing mark.
const maxTallyLineBytes = 16

// Tally reads an event stream as it passes, to count tokens and to see the
// closing mark; it changes nothing and keeps no more than the start of a line. The zero value
// is ready for use.
type Tally struct {
	line     []byte // the start of the line that has not ended
	isLong   bool   // the line goes on beyond its start
	IsClosed bool   // the closing mark, data: [DONE], has passed
	Tokens   int    // one for each other data line
}

// Take reads the next chunk and gives how many tokens ended in it.
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
			t.IsClosed = true
		} else {
			t.Tokens++
		}
	}
	t.line, t.isLong = t.line[:0], false
}
