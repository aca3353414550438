package server

// FaultInjection is the file that names for builds with faults what fails now in a local fleet run.
// Ordinary builds never read it.
type FaultInjection struct {
	// Links are named "FROM>TO" by peer addresses; "*" is every way that has no entry.
	Links map[string]LinkFault `json:"ways"`
	Disks map[string]DiskFault `json:"disks"` // by peer address
}

// LinkFault is what goes wrong with messages on a way.
type LinkFault struct {
	IsCut   bool    `json:"cut,omitempty"`
	Loss    float64 `json:"loss,omitempty"`
	Double  float64 `json:"double,omitempty"`
	DelayUS int64   `json:"delay_us,omitempty"` // up to so much
}

// DiskFault is what goes wrong with a node's data folder.
type DiskFault struct {
	SlowUS    int64 `json:"slow_us,omitempty"` // each write takes so much longer
	IsStalled bool  `json:"stalled,omitempty"`
	IsFull    bool  `json:"full,omitempty"`
}

// Beside a data folder a build with faults keeps what unsynced writes would replace.
const (
	UndoSuffix = ".undo"
	UndoAbsent = ".absent"
)

// A build with faults is configured by its environment: EnvFaults names the file, EnvSelf is the peer address
// of the process in it.
const (
	EnvFaults = "DUNLINLOOM_FAULTS"
	EnvSelf   = "DUNLINLOOM_SELF"
)
