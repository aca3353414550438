package registry

// DirectoryUpdate brings records of a directory that changed.
type DirectoryUpdate struct {
	Incarnation string         `json:"home"` // the sender's incarnation
	Watermark   uint64         `json:"upto"`
	IsComplete  bool           `json:"all,omitempty"`
	Engines     []EngineRecord `json:"engines,omitempty"`
	Nodes       []NodeRecord   `json:"nodes,omitempty"`
}
