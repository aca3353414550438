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

// Settings are those of one process, by a file or by flags; a flag goes before
// the file.
type Settings struct {
	File        string   `arg:"--settings" json:"-" help:"JSON file with any of the settings below"`
	Fleet       string   `arg:"--fleet" json:"fleet" help:"name of the fleet; messages of others are declined"`
	Public      string   `arg:"--public" json:"public" help:"IP:port for callers, engines and operators"`
	Peer        string   `arg:"--peer" json:"peer" help:"IP:port for the other nodes"`
	Zone        string   `arg:"--zone" json:"zone" help:"zone of this machine"`
	Seeds       []string `arg:"--seed,separate" json:"seeds" help:"peer address of a seed; three of them, which are also the founders"`
	Data        string   `arg:"--data" json:"data" help:"data folder of a controller with a disk"`
	Platform    string   `arg:"--platform" json:"platform" help:"URL of the platform's list of engines"`
	ArchiveMB   int      `arg:"--archive-mb" json:"archive_mb" help:"megabytes that the object store of past configurations may take; 0 keeps none"`
	Connections int      `arg:"--connections" json:"connections" help:"connections that callers may hold open at once"`
	MaxInFlight int      `arg:"--live" json:"live" help:"requests served at once"`
	BodiesMB    int      `arg:"--bodies-mb" json:"bodies_mb" help:"megabytes of request bodies held at once"`
	JournalMB   int      `arg:"--journal-mb" json:"journal_mb" help:"megabytes of journal kept in the data folder, of decisions and of requests each; 0 keeps none"`
	Journal     int      `arg:"--journal" json:"journal" help:"entries kept in the journal"`

	ConsistencySettings

	HeartbeatIntervalUS    int64 `arg:"--heartbeat-us" json:"heartbeat_us" help:"between a leader's heartbeats"`
	ElectionLowUS          int64 `arg:"--election-low-us" json:"election_low_us" help:"shortest silence before an election"`
	ElectionHighUS         int64 `arg:"--election-high-us" json:"election_high_us" help:"longest silence before an election"`
	DiskStallUS            int64 `arg:"--disk-stall-us" json:"disk_stall_us" help:"a write that takes longer counts as stalled"`
	MemberReplaceTimeoutUS int64 `arg:"--replace-us" json:"replace_us" help:"silence after which a voter is replaced"`
	LeaseRenewIntervalUS   int64 `arg:"--renew-us" json:"renew_us" help:"between two renewals of a router's lease"`
	LeaseUS                int64 `arg:"--lease-us" json:"lease_us" help:"how long a lease lasts, counted from when it was asked for"`
	CoordinatorTimeoutUS   int64 `arg:"--home-silent-us" json:"home_silent_us" help:"silence after which a zone gets another home"`
	RouterTimeoutUS        int64 `arg:"--router-gone-us" json:"router_gone_us" help:"silence after which a router leaves the register"`
	ShuffleIntervalUS      int64 `arg:"--shuffle-us" json:"shuffle_us" help:"between two exchanges of partial views"`
	AntiEntropyIntervalUS  int64 `arg:"--anti-entropy-us" json:"anti_entropy_us" help:"between two comparisons of what the zones know"`
	NodeTimeoutUS          int64 `arg:"--node-gone-us" json:"node_gone_us" help:"silence after which a node is forgotten; it says five times in it that it lives"`
	TickUS                 int64 `arg:"--tick-us" json:"tick_us" help:"granularity of the control plane's timers"`
	EngineTimeoutUS        int64 `arg:"--engine-silence-us" json:"engine_silence_us" help:"an engine that sends nothing for so long is lost"`
	DrainTimeoutUS         int64 `arg:"--drain-us" json:"drain_us" help:"longest wait for accepted requests at a planned stop"`
	ShutdownDelayUS        int64 `arg:"--lame-duck-us" json:"lame_duck_us" help:"how long a stopping node still accepts connections and says that it is stopping"`
}

// Version is what --version prints.
func (Settings) Version() string { return "dunlinloom 0.1.0" + BuildNote }

// DefaultSettings are in force where neither file nor flags speak.
func DefaultSettings() Settings {
	bounds := relay.DefaultLimits()
	timing, spans := cluster.DefaultTiming(), relay.DefaultTimeouts()
	return Settings{
		ConsistencySettings: defaultConsistency(),
		Fleet:               "dunlinloom", Journal: 4096, ArchiveMB: 64, JournalMB: 8,
		Connections: 2048, MaxInFlight: int(bounds.InFlight), BodiesMB: int(bounds.BodyBytes >> 20),
		HeartbeatIntervalUS: int64(timing.HeartbeatInterval), ElectionLowUS: int64(timing.MinElectionTimeout), ElectionHighUS: int64(timing.MaxElectionTimeout),
		DiskStallUS: int64(timing.DiskStallTimeout), MemberReplaceTimeoutUS: int64(timing.ReplaceTimeout), LeaseRenewIntervalUS: int64(timing.LeaseRequestInterval),
		LeaseUS: int64(timing.LeaseSpan), CoordinatorTimeoutUS: int64(timing.CoordinatorTimeout), RouterTimeoutUS: int64(timing.DeregisterTimeout),
		ShuffleIntervalUS: int64(timing.ShuffleInterval), AntiEntropyIntervalUS: int64(timing.AntiEntropyInterval), NodeTimeoutUS: int64(timing.NodeExpiryTimeout), TickUS: int64(20 * kernel.Millisecond),
		EngineTimeoutUS: int64(spans.Engine), DrainTimeoutUS: int64(120 * kernel.Second), ShutdownDelayUS: int64(kernel.Second),
	}
}

// Timing gives the control plane's spans.
func (s Settings) Timing() cluster.Timing {
	timing := cluster.DefaultTiming()
	timing.HeartbeatInterval, timing.MinElectionTimeout, timing.MaxElectionTimeout = kernel.Micros(s.HeartbeatIntervalUS), kernel.Micros(s.ElectionLowUS), kernel.Micros(s.ElectionHighUS)
	timing.DiskStallTimeout, timing.ReplaceTimeout, timing.LeaseRequestInterval = kernel.Micros(s.DiskStallUS), kernel.Micros(s.MemberReplaceTimeoutUS), kernel.Micros(s.LeaseRenewIntervalUS)
	timing.ShuffleInterval, timing.AntiEntropyInterval, timing.NodeExpiryTimeout, timing.TickInterval = kernel.Micros(s.ShuffleIntervalUS), kernel.Micros(s.AntiEntropyIntervalUS), kernel.Micros(s.NodeTimeoutUS), kernel.Micros(s.TickUS)
	timing.LeaseSpan, timing.CoordinatorTimeout, timing.DeregisterTimeout = kernel.Micros(s.LeaseUS), kernel.Micros(s.CoordinatorTimeoutUS), kernel.Micros(s.RouterTimeoutUS)
	return timing
}

// Timeouts gives the data plane's spans.
func (s Settings) Timeouts() relay.Timeouts {
	spans := relay.DefaultTimeouts()
	spans.Engine = kernel.Micros(s.EngineTimeoutUS)
	return spans
}

// SettingsError says that the settings could not be read.
type SettingsError struct {
	Step  string
	Cause error
}

func (b SettingsError) Error() string { return fmt.Sprintf("%s: %v", b.Step, b.Cause) }

// Unwrap gives the cause.
func (b SettingsError) Unwrap() error { return b.Cause }

// ReadSettings reads flags and the file that they may name, and checks all of it.
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
	// Read once for the file's name, and once more so that flags go before the file.
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

// TrailingError says that a file goes on after its one JSON value.
type TrailingError struct{}

func (TrailingError) Error() string { return "there is more after the JSON value" }

// Check names every fault of the settings at once.
func (s Settings) Check(isController bool) error {
	faults := &fleetconfig.InvalidConfigError{}
	if s.Fleet == "" {
		faults.Add("fleet", "has to be named")
	}
	if s.Zone == "" {
		faults.Add("zone", "has to be named")
	}
	checkAddress(faults, "public", s.Public)
	checkAddress(faults, "peer", s.Peer)
	if s.Public == s.Peer {
		faults.Add("peer", "is the public address as well")
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

// checkAddress checks that an address is an IP and port which other machines can reach.
func checkAddress(faults *fleetconfig.InvalidConfigError, name, address string) {
	if parsed, err := netip.ParseAddrPort(address); err != nil {
		faults.Add(name, "%q is not an IP and port", address)
	} else if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		faults.Add(name, "%q can't be reached from another machine", address)
	}
}

// isAnnounced tells whether the members of the bootstrap are those that announce themselves, and not the
// seeds alone.
func (s Settings) isAnnounced() bool { return s.BootstrapMembers == "announce" }

// checkSeeds checks that there are as many seeds as the bootstrap needs, each of them once.
func (s Settings) checkSeeds(faults *fleetconfig.InvalidConfigError) {
	isAnnounced := s.isAnnounced()
	if isAnnounced && (len(s.Seeds) < 1 || len(s.Seeds) > 3) {
		faults.Add("seeds", "there have to be one to three, not %d", len(s.Seeds))
	} else if !isAnnounced && len(s.Seeds) != 3 {
		faults.Add("seeds", "there have to be three, not %d", len(s.Seeds))
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

// checkFolder checks that whoever needs a data folder has one, and nobody else.
func (s Settings) checkFolder(faults *fleetconfig.InvalidConfigError, isController bool) {
	if !isController && s.Data != "" {
		faults.Add("data", "a router keeps nothing on disk; only controller and node take a data folder")
	}
	if isController && slices.Contains(s.Seeds, s.Peer) && s.Data == "" && !s.isAnnounced() {
		faults.Add("data", "a controller that is a seed is a founder and needs a data folder")
	}
}

// checkTimeouts holds the spans against the rules that they keep together.
func (s Settings) checkTimeouts(faults *fleetconfig.InvalidConfigError) {
	// A lease of two seconds would leave no margin under the rule's two seconds.
	fleetconfig.CheckRange(faults, "lease_us", s.LeaseUS, 300_000, 1_900_000)
	fleetconfig.CheckRange(faults, "heartbeat_us", s.HeartbeatIntervalUS, 20_000, 1_000_000)
	fleetconfig.CheckRange(faults, "election_high_us", s.ElectionHighUS, 100_000, 3_000_000)
	fleetconfig.CheckRange(faults, "disk_stall_us", s.DiskStallUS, 100_000, 3_000_000)
	// Where members come back empty and soon, a lost one is better replaced early: what is
	// dropped in error comes back as a standby, at the cost of two revisions.
	lowReplace, elections := int64(3_000_000), int64(3)
	if s.Voters > 0 {
		lowReplace, elections = 2_000_000, 2
	}
	fleetconfig.CheckRange(faults, "replace_us", s.MemberReplaceTimeoutUS, lowReplace, 3_600_000_000)
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
		faults.Add("renew_us", "%d has to be at least 50000 and four renewals have to fit into the lease of %d", s.LeaseRenewIntervalUS, s.LeaseUS)
	}
	if s.ElectionLowUS < 4*s.HeartbeatIntervalUS {
		faults.Add("election_low_us", "%d has to hold at least four heartbeats of %d", s.ElectionLowUS, s.HeartbeatIntervalUS)
	}
	if s.ElectionHighUS <= s.ElectionLowUS {
		faults.Add("election_high_us", "%d has to be above election_low_us of %d", s.ElectionHighUS, s.ElectionLowUS)
	}
	if s.MemberReplaceTimeoutUS < elections*s.ElectionHighUS {
		faults.Add("replace_us", "%d has to hold at least %d elections of %d", s.MemberReplaceTimeoutUS, elections, s.ElectionHighUS)
	}
}
