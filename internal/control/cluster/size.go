package cluster

// What a document takes on the wire besides its configuration, about, in bytes.
const (
	wireSubmission = 64
	wireConfigRef  = 64
	wireAddress    = 24
)

// WireSize is about how many bytes a document takes on its way.
func (d *Document) WireSize() int {
	if d == nil {
		return 0
	}
	addresses := len(d.Routers) + len(d.PriorRouters) + len(d.Coordinators) + len(d.DrainedZones) + len(d.Draining)
	return len(d.Config) + changeBytes(d.Changes)*4/3 + len(d.Submissions)*wireSubmission + len(d.ConfigChain)*wireConfigRef + addresses*wireAddress
}
