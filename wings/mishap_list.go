package wings

// Mishaps is the file by which a rehearsal tells builds with faults what fails now.
// Ordinary builds never read it.
type Mishaps struct {
	// Ways are named "FROM>TO" by peer addresses; "*" is every way that has no entry.
	Ways  map[string]WayMishap  `json:"ways"`
	Disks map[string]DiskMishap `json:"disks"` // by peer address
}

// WayMishap is what goes wrong with messages on a way.
type WayMishap struct {
	IsCut   bool    `json:"cut,omitempty"`
	Loss    float64 `json:"loss,omitempty"`
	Double  float64 `json:"double,omitempty"`
	DelayUS int64   `json:"delay_us,omitempty"` // up to so much
}

// DiskMishap is what goes wrong with a node's data folder.
type DiskMishap struct {
	SlowUS    int64 `json:"slow_us,omitempty"` // each write takes so much longer
	IsStalled bool  `json:"stalled,omitempty"`
	IsFull    bool  `json:"full,omitempty"`
}

// Beside a data folder a build with faults keeps what unsynced writes would replace.
const (
	UndoSuffix = ".undo"
	UndoAbsent = ".absent"
)
