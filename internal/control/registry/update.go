package registry

// DirectoryUpdate has the changed records of the sender's directory.
type DirectoryUpdate struct {
	Incarnation string         `json:"home"`          // of the sender's directory
	Watermark   uint64         `json:"upto"`          // the revision up to which changes are included
	IsComplete  bool           `json:"all,omitempty"` // the update has all records, not only changed ones
	Engines     []EngineRecord `json:"engines,omitempty"`
	Nodes       []NodeRecord   `json:"nodes,omitempty"`
}
