package cluster

// Approximate sizes in bytes of the parts of an encoded document.
const (
	wireSubmission = 64
	wireConfigRef  = 64
	wireAddress    = 24
)

// WireSize returns the approximate size in bytes of a document in a message, without compression.
func (d *Document) WireSize() int {
	if d == nil {
		return 0
	}
	addresses := len(d.Routers) + len(d.PriorRouters) + len(d.Coordinators) + len(d.DrainedZones) + len(d.Draining)
	return len(d.Config) + changeBytes(d.Changes)*4/3 + len(d.Submissions)*wireSubmission + len(d.ConfigChain)*wireConfigRef + addresses*wireAddress
}
