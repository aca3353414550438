package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// Newest gives what Node.Newest asked for: a committed document that is at least as new as
// every one that was acknowledged before.
type Newest struct {
	Token    uint64
	Document *Document
}

type reading struct {
	sentAt   kernel.Micros
	resendAt kernel.Micros
	floor    uint64 // the oldest revision that may be shown; see checkRead
	isBare   bool   // the document came without its configuration, and that is not held here
}

const readResend = 250 * kernel.Millisecond

// Newest opens a read; a Newest command answers it, and EndNewest gives it up.
func (n *Node) Newest(now kernel.Micros, token uint64) []any {
	n.now = now
	n.reads[token] = &reading{floor: n.readFloor()}
	n.tickReads()
	return n.finish()
}

// EndNewest gives up a read.
func (n *Node) EndNewest(now kernel.Micros, token uint64) []any {
	n.now = now
	delete(n.reads, token)
	return n.finish()
}

func (n *Node) tickReads() {
	for _, token := range slices.Sorted(maps.Keys(n.reads)) {
		read := n.reads[token]
		if n.now < read.resendAt {
			continue
		}
		read.sentAt, read.resendAt = n.now, n.now+readResend
		ask := &ReadAsk{Token: token, Held: n.lease.Held()}
		if read.isBare {
			ask.Held = 0
		}
		n.send(n.leaderTarget(), Message{ReadAsk: ask})
	}
}

func (n *Node) onReadReply(m *ReadReply) {
	read := n.reads[m.Token]
	if read == nil || m.Document == nil {
		return
	}
	held := []*Document{n.lease.applied, n.lease.wanted}
	if n.core != nil {
		held = append(held, n.core.Committed())
	}
	document := m.Document.whole(n.settings.ChangeConfig, held...)
	if document == nil {
		read.isBare, read.resendAt = true, n.now
		return
	}
	delete(n.reads, m.Token)
	n.checkRead(read, document)
	n.out = append(n.out, Newest{m.Token, document})
	n.applied(n.lease.Apply(document))
}
