package server

// FaultInjection is the content of the file that lists the faults now injected in a local fleet run. Only builds with the
// faults tag read it.
type FaultInjection struct {
	// Links has keys "FROM>TO" of two peer addresses, one for each direction. "*" stands for every link without an entry.
	Links map[string]LinkFault `json:"ways"`
	Disks map[string]DiskFault `json:"disks"` // by peer address
}

// LinkFault holds the faults injected into the messages of one direction of a link.
type LinkFault struct {
	IsCut   bool    `json:"cut,omitempty"`
	Loss    float64 `json:"loss,omitempty"`
	Double  float64 `json:"double,omitempty"`
	DelayUS int64   `json:"delay_us,omitempty"` // maximum; each delay is drawn at random below it
}

// DiskFault holds the faults injected into a node's data folder.
type DiskFault struct {
	SlowUS    int64 `json:"slow_us,omitempty"` // added to each write
	IsStalled bool  `json:"stalled,omitempty"`
	IsFull    bool  `json:"full,omitempty"`
	// IsRefused makes opening, reading, listing and writing fail.
	IsRefused bool `json:"refused,omitempty"`
}

// A build with the faults tag keeps what unsynced writes replace in a folder next to the data folder, named with
// UndoSuffix. A file with the suffix UndoAbsent marks a name that did not exist before the write.
const (
	UndoSuffix = ".undo"
	UndoAbsent = ".absent"
)

// Environment variables of a build with the faults tag. EnvFaults is the path of the FaultInjection file, and EnvSelf the
// peer address under which the file lists this process.
const (
	EnvFaults = "DUNLINLOOM_FAULTS"
	EnvSelf   = "DUNLINLOOM_SELF"
)
