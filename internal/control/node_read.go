package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// ReadResult answers the call of Node.Read with the same token. The document is committed, and at least as new as every
// document that was acknowledged before the call.
type ReadResult struct {
	Token    uint64
	Document *cluster.Document
}

// IsCommand marks a command.
func (ReadResult) IsCommand() {}

type linearizableRead struct {
	sentAt      kernel.Micros
	resendAt    kernel.Micros
	floor       uint64 // oldest revision that may be returned; see checkRead
	lacksConfig bool   // an answer left out a configuration that is not available here, so it is requested in full
}

const readResendInterval = 250 * kernel.Millisecond

// Read starts a linearizable read. Its request is repeated every readResendInterval until the command ReadResult
// answers the read or CancelRead cancels it.
func (n *Node) Read(now kernel.Micros, token uint64) []commands.Command {
	n.now = now
	n.reads[token] = &linearizableRead{floor: n.readFloor()}
	n.tickReads()
	return n.finish()
}

// CancelRead cancels a read, for a caller that no longer waits for its ReadResult. A read that has ended is ignored.
func (n *Node) CancelRead(now kernel.Micros, token uint64) []commands.Command {
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
		read.sentAt, read.resendAt = n.now, n.now+readResendInterval
		request := &wire.ReadRequest{Token: token, Received: n.lease.Received()}
		if read.lacksConfig {
			request.Received = 0
		}
		n.send(n.leaderTarget(), wire.Message{ReadRequest: request})
	}
}

func (n *Node) onReadResponse(m *wire.ReadResponse) {
	read := n.reads[m.Token]
	if read == nil || m.Document == nil {
		return
	}
	known := []*cluster.Document{n.lease.Applied(), n.lease.ReceivedDocument()}
	if n.core != nil {
		known = append(known, n.core.Committed())
	}
	document := m.Document.WithConfig(n.settings.PatchConfig, known...)
	if document == nil {
		read.lacksConfig, read.resendAt = true, n.now
		return
	}
	delete(n.reads, m.Token)
	n.checkRead(read, document)
	n.out = append(n.out, ReadResult{m.Token, document})
	n.applied(n.lease.Apply(document))
}
