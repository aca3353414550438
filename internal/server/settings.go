package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"slices"

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Settings are the settings of one process, from a file and from flags. Flags override the file.
type Settings struct {
	File        string   `arg:"--settings" json:"-" help:"JSON file with any of the settings below"`
	Fleet       string   `arg:"--fleet" json:"fleet" help:"name of the fleet; messages from other fleets are rejected"`
	Public      string   `arg:"--public" json:"public" help:"IP:port for callers, engines and operators"`
	Peer        string   `arg:"--peer" json:"peer" help:"IP:port for the other nodes"`
	Zone        string   `arg:"--zone" json:"zone" help:"zone of this machine"`
	Seeds       []string `arg:"--seed,separate" json:"seeds" help:"peer address of a seed; repeat for three seeds, which are also the bootstrap members"`
	Data        string   `arg:"--data" json:"data" help:"data folder of a controller with a disk"`
	Platform    string   `arg:"--platform" json:"platform" help:"URL of the platform's list of engines"`
	ArchiveMB   int      `arg:"--archive-mb" json:"archive_mb" help:"megabytes that the object store of past configurations may take; 0 keeps none"`
	Connections int      `arg:"--connections" json:"connections" help:"connections that callers may hold open at once"`
	MaxInFlight int      `arg:"--live" json:"live" help:"requests served at once"`
	BodiesMB    int      `arg:"--bodies-mb" json:"bodies_mb" help:"megabytes of request bodies held at once"`
	JournalMB   int      `arg:"--journal-mb" json:"journal_mb" help:"megabytes of journal kept in the data folder, of decisions and of requests each; 0 keeps none"`
	Journal     int      `arg:"--journal" json:"journal" help:"entries kept in the journal"`

	ConsistencySettings

	HeartbeatIntervalUS    int64 `arg:"--heartbeat-us" json:"heartbeat_us" help:"interval between a leader's heartbeats"`
	ElectionLowUS          int64 `arg:"--election-low-us" json:"election_low_us" help:"shortest silence before an election"`
	ElectionHighUS         int64 `arg:"--election-high-us" json:"election_high_us" help:"longest silence before an election"`
	DiskStallUS            int64 `arg:"--disk-stall-us" json:"disk_stall_us" help:"a write that takes longer counts as stalled"`
	MemberReplaceTimeoutUS int64 `arg:"--replace-us" json:"replace_us" help:"silence after which a voter is replaced"`
	LeaseRenewIntervalUS   int64 `arg:"--renew-us" json:"renew_us" help:"interval between renewals of a router's lease"`
	LeaseUS                int64 `arg:"--lease-us" json:"lease_us" help:"duration of a lease, counted from its request"`
	CoordinatorTimeoutUS   int64 `arg:"--home-silent-us" json:"home_silent_us" help:"silence after which a zone gets another coordinator"`
	RouterTimeoutUS        int64 `arg:"--router-gone-us" json:"router_gone_us" help:"silence after which a router is deregistered"`
	ShuffleIntervalUS      int64 `arg:"--shuffle-us" json:"shuffle_us" help:"interval between exchanges of partial views"`
	AntiEntropyIntervalUS  int64 `arg:"--anti-entropy-us" json:"anti_entropy_us" help:"interval between comparisons of the zones' directories"`
	NodeTimeoutUS          int64 `arg:"--node-gone-us" json:"node_gone_us" help:"silence after which a node is forgotten; a node announces itself five times in this period"`
	TickUS                 int64 `arg:"--tick-us" json:"tick_us" help:"granularity of the control plane's timers"`
	EngineTimeoutUS        int64 `arg:"--engine-silence-us" json:"engine_silence_us" help:"silence after which an engine that serves a request counts as lost"`
	DrainTimeoutUS         int64 `arg:"--drain-us" json:"drain_us" help:"longest wait for requests in progress at a planned stop"`
	ShutdownDelayUS        int64 `arg:"--lame-duck-us" json:"lame_duck_us" help:"how long a stopping node still accepts connections while it reports that it is stopping"`
}

// Version is what --version prints.
func (Settings) Version() string { return "dunlinloom 0.1.0" + BuildNote }

// DefaultSettings returns the values of settings that neither the file nor a flag sets.
func DefaultSettings() Settings {
	limits := relay.DefaultLimits()
	timing, timeouts := cluster.DefaultTiming(), relay.DefaultTimeouts()
	return Settings{
		ConsistencySettings: defaultConsistency(),
		Fleet:               "dunlinloom", Journal: 4096, ArchiveMB: 64, JournalMB: 8,
		Connections: 2048, MaxInFlight: int(limits.InFlight), BodiesMB: int(limits.BodyBytes >> 20),
		HeartbeatIntervalUS: int64(timing.HeartbeatInterval), ElectionLowUS: int64(timing.MinElectionTimeout), ElectionHighUS: int64(timing.MaxElectionTimeout),
		DiskStallUS: int64(timing.DiskStallTimeout), MemberReplaceTimeoutUS: int64(timing.ReplaceTimeout), LeaseRenewIntervalUS: int64(timing.LeaseRequestInterval),
		LeaseUS: int64(timing.LeaseSpan), CoordinatorTimeoutUS: int64(timing.CoordinatorTimeout), RouterTimeoutUS: int64(timing.DeregisterTimeout),
		ShuffleIntervalUS: int64(timing.ShuffleInterval), AntiEntropyIntervalUS: int64(timing.AntiEntropyInterval), NodeTimeoutUS: int64(timing.NodeExpiryTimeout), TickUS: int64(20 * kernel.Millisecond),
		EngineTimeoutUS: int64(timeouts.Engine), DrainTimeoutUS: int64(120 * kernel.Second), ShutdownDelayUS: int64(kernel.Second),
	}
}

// Timing returns the control plane's intervals and timeouts.
func (s Settings) Timing() cluster.Timing {
	timing := cluster.DefaultTiming()
	timing.HeartbeatInterval, timing.MinElectionTimeout, timing.MaxElectionTimeout = kernel.Micros(s.HeartbeatIntervalUS), kernel.Micros(s.ElectionLowUS), kernel.Micros(s.ElectionHighUS)
	timing.DiskStallTimeout, timing.ReplaceTimeout, timing.LeaseRequestInterval = kernel.Micros(s.DiskStallUS), kernel.Micros(s.MemberReplaceTimeoutUS), kernel.Micros(s.LeaseRenewIntervalUS)
	timing.ShuffleInterval, timing.AntiEntropyInterval, timing.NodeExpiryTimeout, timing.TickInterval = kernel.Micros(s.ShuffleIntervalUS), kernel.Micros(s.AntiEntropyIntervalUS), kernel.Micros(s.NodeTimeoutUS), kernel.Micros(s.TickUS)
	timing.LeaseSpan, timing.CoordinatorTimeout, timing.DeregisterTimeout = kernel.Micros(s.LeaseUS), kernel.Micros(s.CoordinatorTimeoutUS), kernel.Micros(s.RouterTimeoutUS)
	return timing
}

// Timeouts returns the data plane's timeouts.
func (s Settings) Timeouts() relay.Timeouts {
	timeouts := relay.DefaultTimeouts()
	timeouts.Engine = kernel.Micros(s.EngineTimeoutUS)
	return timeouts
}

// SettingsError is returned when the settings could not be read.
type SettingsError struct {
	Step  string
	Cause error
}

func (e SettingsError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Cause) }

// Unwrap returns the cause.
func (e SettingsError) Unwrap() error { return e.Cause }

// ReadSettings reads the flags and the file that they may name. It reports syntax errors and unknown fields; Check validates
// the values. It exits the process for --help and --version.
func ReadSettings(program string, commandLine []string) (Settings, error) {
	parse := func(into *Settings) error {
		parser, err := arg.NewParser(arg.Config{Program: program}, into)
		if err != nil {
			return SettingsError{"flags", err}
		}
		err = parser.Parse(commandLine)
		if errors.Is(err, arg.ErrHelp) {
			parser.WriteHelp(os.Stdout)
			os.Exit(0)
		}
		if errors.Is(err, arg.ErrVersion) {
			fmt.Println(into.Version())
			os.Exit(0)
		}
		if err != nil {
			return SettingsError{"flags", err}
		}
		return nil
	}
	// The flags are parsed once for the file's name, and again after the file, so that they override it.
	settings := DefaultSettings()
	if err := parse(&settings); err != nil {
		return settings, err
	}
	if settings.File != "" {
		fromFile := DefaultSettings()
		content, err := os.ReadFile(settings.File)
		if err != nil {
			return settings, SettingsError{"settings file", err}
		}
		decoder := json.NewDecoder(bytes.NewReader(content))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&fromFile); err != nil {
			return settings, SettingsError{"settings file " + settings.File, err}
		}
		if _, err := decoder.Token(); err != io.EOF {
			return settings, SettingsError{"settings file " + settings.File, TrailingError{}}
		}
		if err := parse(&fromFile); err != nil {
			return settings, err
		}
		settings = fromFile
	}
	return settings, nil
}

// TrailingError is returned when a file has more data after its JSON value.
type TrailingError struct{}

func (TrailingError) Error() string { return "unexpected data after the JSON value" }

// Check validates the settings. The error lists every problem, not just the first.
func (s Settings) Check(isController bool) error {
	faults := &fleetconfig.InvalidConfigError{}
	if s.Fleet == "" {
		faults.Add("fleet", "must not be empty")
	}
	if s.Zone == "" {
		faults.Add("zone", "must not be empty")
	}
	checkAddress(faults, "public", s.Public)
	checkAddress(faults, "peer", s.Peer)
	if s.Public == s.Peer {
		faults.Add("peer", "must differ from the public address")
	}
	s.checkSeeds(faults)
	s.checkFolder(faults, isController)
	if s.Platform != "" {
		if parsed, err := url.Parse(s.Platform); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			faults.Add("platform", "%q is not an http URL", s.Platform)
		}
	}
	fleetconfig.CheckRange(faults, "connections", s.Connections, 16, 1<<20)
	fleetconfig.CheckRange(faults, "live", s.MaxInFlight, 1, 1<<20)
	fleetconfig.CheckRange(faults, "bodies_mb", s.BodiesMB, 8, 1<<20)
	fleetconfig.CheckRange(faults, "journal_mb", s.JournalMB, 0, 1<<14)
	fleetconfig.CheckRange(faults, "archive_mb", s.ArchiveMB, 0, 1<<16)
	fleetconfig.CheckRange(faults, "journal", s.Journal, 16, 1<<20)
	s.check(faults)
	s.checkTimeouts(faults)
	return faults.Err()
}

// checkAddress checks that an address has a specific IP and port, so that other machines can reach it.
func checkAddress(faults *fleetconfig.InvalidConfigError, name, address string) {
	if parsed, err := netip.ParseAddrPort(address); err != nil {
		faults.Add(name, "%q is not an IP and port", address)
	} else if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		faults.Add(name, "%q needs a specific IP and a port other than 0, so that other machines can reach it", address)
	}
}

// isAnnounced reports whether the bootstrap members are the controllers that announce themselves, rather than the seeds
// alone.
func (s Settings) isAnnounced() bool { return s.BootstrapMembers == "announce" }

// checkSeeds checks that the seeds are valid and distinct, and as many as the bootstrap mode needs.
func (s Settings) checkSeeds(faults *fleetconfig.InvalidConfigError) {
	isAnnounced := s.isAnnounced()
	if isAnnounced && (len(s.Seeds) < 1 || len(s.Seeds) > 3) {
		faults.Add("seeds", "one to three are needed, not %d", len(s.Seeds))
	} else if !isAnnounced && len(s.Seeds) != 3 {
		faults.Add("seeds", "exactly three are needed, not %d", len(s.Seeds))
	}
	known := map[string]bool{}
	for i, seed := range s.Seeds {
		checkAddress(faults, fmt.Sprintf("seeds[%d]", i), seed)
		if known[seed] {
			faults.Add(fmt.Sprintf("seeds[%d]", i), "%q is named twice", seed)
		}
		known[seed] = true
	}
}

// checkFolder checks that a node which needs a data folder has one, and that a router has none.
func (s Settings) checkFolder(faults *fleetconfig.InvalidConfigError, isController bool) {
	if !isController && s.Data != "" {
		faults.Add("data", "a router stores nothing on disk; only the controller and node programs use a data folder")
	}
	if isController && slices.Contains(s.Seeds, s.Peer) && s.Data == "" && !s.isAnnounced() {
		faults.Add("data", "a controller that is a seed is a bootstrap member and needs a data folder")
	}
}

// checkTimeouts checks the range of each interval and timeout, and the relations between them.
func (s Settings) checkTimeouts(faults *fleetconfig.InvalidConfigError) {
	// The maximum leaves a margin below two seconds, the bound on how long an old configuration may be served.
	fleetconfig.CheckRange(faults, "lease_us", s.LeaseUS, 300_000, 1_900_000)
	fleetconfig.CheckRange(faults, "heartbeat_us", s.HeartbeatIntervalUS, 20_000, 1_000_000)
	fleetconfig.CheckRange(faults, "election_high_us", s.ElectionHighUS, 100_000, 3_000_000)
	fleetconfig.CheckRange(faults, "disk_stall_us", s.DiskStallUS, 100_000, 3_000_000)
	// With a number of voters set, members return soon and with empty disks, so a lost one is better replaced early. A
	// member that was replaced in error returns as a standby, at the cost of two revisions.
	minReplaceTimeout, minElections := int64(3_000_000), int64(3)
	if s.Voters > 0 {
		minReplaceTimeout, minElections = 2_000_000, 2
	}
	fleetconfig.CheckRange(faults, "replace_us", s.MemberReplaceTimeoutUS, minReplaceTimeout, 3_600_000_000)
	fleetconfig.CheckRange(faults, "home_silent_us", s.CoordinatorTimeoutUS, 500_000, 2_000_000)
	fleetconfig.CheckRange(faults, "router_gone_us", s.RouterTimeoutUS, 5_000_000, 3_600_000_000)
	fleetconfig.CheckRange(faults, "shuffle_us", s.ShuffleIntervalUS, 100_000, 60_000_000)
	fleetconfig.CheckRange(faults, "anti_entropy_us", s.AntiEntropyIntervalUS, 200_000, 60_000_000)
	fleetconfig.CheckRange(faults, "node_gone_us", s.NodeTimeoutUS, 3_000_000, 60_000_000)
	fleetconfig.CheckRange(faults, "tick_us", s.TickUS, 5_000, 100_000)
	fleetconfig.CheckRange(faults, "engine_silence_us", s.EngineTimeoutUS, 100_000, 600_000_000)
	fleetconfig.CheckRange(faults, "drain_us", s.DrainTimeoutUS, 0, 3_600_000_000)
	fleetconfig.CheckRange(faults, "lame_duck_us", s.ShutdownDelayUS, 0, 60_000_000)
	if s.LeaseRenewIntervalUS < 50_000 || s.LeaseRenewIntervalUS*4 > s.LeaseUS && s.ServeExtensionUS != unlimitedUS || s.LeaseRenewIntervalUS > 1_000_000 {
		faults.Add("renew_us", "%d must be 50000 to 1000000, and four renewals must fit into lease_us (%d)", s.LeaseRenewIntervalUS, s.LeaseUS)
	}
	if s.ElectionLowUS < 4*s.HeartbeatIntervalUS {
		faults.Add("election_low_us", "%d must be at least four times heartbeat_us (%d)", s.ElectionLowUS, s.HeartbeatIntervalUS)
	}
	if s.ElectionHighUS <= s.ElectionLowUS {
		faults.Add("election_high_us", "%d must be greater than election_low_us (%d)", s.ElectionHighUS, s.ElectionLowUS)
	}
	if s.MemberReplaceTimeoutUS < minElections*s.ElectionHighUS {
		faults.Add("replace_us", "%d must be at least %d times election_high_us (%d)", s.MemberReplaceTimeoutUS, minElections, s.ElectionHighUS)
	}
}
