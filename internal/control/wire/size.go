package wire

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
)

// Size returns the approximate size in bytes of the documents and the submitted configuration in a message. The rest of
// the message is not counted.
func (m Message) Size() int {
	size := 0
	for _, document := range m.Documents() {
		size += document.WireSize()
	}
	if m.Submit != nil {
		size += len(m.Submit.Config)
	}
	return size
}

// IsLarge reports whether the message takes long on a slow link. Smaller messages must not wait behind it.
func (m Message) IsLarge() bool { return m.Size() > flowcontrol.SmallDocumentSize }

// Documents returns the documents in a message; some may be nil. It leaves out those that acceptors exchange in a
// BootstrapPromise or a BootstrapAccept.
func (m Message) Documents() []*cluster.Document {
	switch {
	case m.Heartbeat != nil:
		return []*cluster.Document{m.Heartbeat.Document}
	case m.LeaseGrantBatch != nil:
		return []*cluster.Document{m.LeaseGrantBatch.Document}
	case m.LeaseGrant != nil:
		return []*cluster.Document{m.LeaseGrant.Document}
	case m.AttestResponse != nil:
		return []*cluster.Document{m.AttestResponse.Document}
	case m.FetchConfigResponse != nil:
		return []*cluster.Document{m.FetchConfigResponse.Document}
	case m.ReadResponse != nil:
		return []*cluster.Document{m.ReadResponse.Document}
	case m.BootstrapCommit != nil:
		return []*cluster.Document{m.BootstrapCommit.Document}
	}
	return nil
}
