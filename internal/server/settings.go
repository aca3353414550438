// Package server holds what the programs share: settings, the channels
// between nodes, the shell that runs a node's owners, and the HTTP face.
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

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/control"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Settings are what a process is told of its place, by a file or by flags; a
// flag goes before the file.
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
	Live        int      `arg:"--live" json:"live" help:"requests served at once"`
	BodiesMB    int      `arg:"--bodies-mb" json:"bodies_mb" help:"megabytes of request bodies held at once"`
	JournalMB   int      `arg:"--journal-mb" json:"journal_mb" help:"megabytes of journal kept in the data folder, of decisions and of requests each; 0 keeps none"`
	Journal     int      `arg:"--journal" json:"journal" help:"entries kept in the journal"`

	Rules

	HeartbeatUS     int64 `arg:"--heartbeat-us" json:"heartbeat_us" help:"between a leader's heartbeats"`
	ElectionLowUS   int64 `arg:"--election-low-us" json:"election_low_us" help:"shortest silence before an election"`
	ElectionHighUS  int64 `arg:"--election-high-us" json:"election_high_us" help:"longest silence before an election"`
	DiskStallUS     int64 `arg:"--disk-stall-us" json:"disk_stall_us" help:"a write that takes longer counts as stalled"`
	ReplaceUS       int64 `arg:"--replace-us" json:"replace_us" help:"silence after which a voter is replaced"`
	RenewUS         int64 `arg:"--renew-us" json:"renew_us" help:"between two renewals of a router's lease"`
	LeaseUS         int64 `arg:"--lease-us" json:"lease_us" help:"how long a lease lasts, counted from when it was asked for"`
	HomeSilentUS    int64 `arg:"--home-silent-us" json:"home_silent_us" help:"silence after which a zone gets another home"`
	RouterGoneUS    int64 `arg:"--router-gone-us" json:"router_gone_us" help:"silence after which a router leaves the register"`
	ShuffleUS       int64 `arg:"--shuffle-us" json:"shuffle_us" help:"between two exchanges of partial views"`
	AntiEntropyUS   int64 `arg:"--anti-entropy-us" json:"anti_entropy_us" help:"between two comparisons of what the zones know"`
	NodeGoneUS      int64 `arg:"--node-gone-us" json:"node_gone_us" help:"silence after which a node is forgotten; it says five times in it that it lives"`
	TickUS          int64 `arg:"--tick-us" json:"tick_us" help:"granularity of the control plane's timers"`
	EngineSilenceUS int64 `arg:"--engine-silence-us" json:"engine_silence_us" help:"an engine that sends nothing for so long is lost"`
	DrainUS         int64 `arg:"--drain-us" json:"drain_us" help:"longest wait for accepted requests at a planned stop"`
	LameDuckUS      int64 `arg:"--lame-duck-us" json:"lame_duck_us" help:"how long a stopping node still accepts connections and says that it is stopping"`
}

// Version is what --version prints.
func (Settings) Version() string { return "dunlinloom 0.1.0" + BuildNote }

// DefaultSettings are in force where neither file nor flags speak.
func DefaultSettings() Settings {
	bounds := relay.DefaultBounds()
	timing, spans := control.DefaultTiming(), relay.DefaultSpans()
	return Settings{
		Rules: defaultRules(),
		Fleet: "dunlinloom", Journal: 4096, ArchiveMB: 64, JournalMB: 8,
		Connections: 2048, Live: int(bounds.Live), BodiesMB: int(bounds.Bodies >> 20),
		HeartbeatUS: int64(timing.Heartbeat), ElectionLowUS: int64(timing.ElectionLow), ElectionHighUS: int64(timing.ElectionHigh),
		DiskStallUS: int64(timing.DiskStall), ReplaceUS: int64(timing.Replace), RenewUS: int64(timing.Ask),
		LeaseUS: int64(timing.Lease), HomeSilentUS: int64(timing.HomeSilent), RouterGoneUS: int64(timing.Strike),
		ShuffleUS: int64(timing.Shuffle), AntiEntropyUS: int64(timing.Mend), NodeGoneUS: int64(timing.NodeGone), TickUS: int64(20 * kernel.Millisecond),
		EngineSilenceUS: int64(spans.EngineSilence), DrainUS: int64(120 * kernel.Second), LameDuckUS: int64(kernel.Second),
	}
}

// Timing gives the control plane's spans.
func (s Settings) Timing() control.Timing {
	timing := control.DefaultTiming()
	timing.Heartbeat, timing.ElectionLow, timing.ElectionHigh = kernel.Micros(s.HeartbeatUS), kernel.Micros(s.ElectionLowUS), kernel.Micros(s.ElectionHighUS)
	timing.DiskStall, timing.Replace, timing.Ask = kernel.Micros(s.DiskStallUS), kernel.Micros(s.ReplaceUS), kernel.Micros(s.RenewUS)
	timing.Shuffle, timing.Mend, timing.NodeGone, timing.Tick = kernel.Micros(s.ShuffleUS), kernel.Micros(s.AntiEntropyUS), kernel.Micros(s.NodeGoneUS), kernel.Micros(s.TickUS)
	timing.Lease, timing.HomeSilent, timing.Strike = kernel.Micros(s.LeaseUS), kernel.Micros(s.HomeSilentUS), kernel.Micros(s.RouterGoneUS)
	return timing
}

// Spans gives the data plane's spans.
func (s Settings) Spans() relay.Spans {
	spans := relay.DefaultSpans()
	spans.EngineSilence = kernel.Micros(s.EngineSilenceUS)
	return spans
}

// SettingsError says that the settings could not be read.
type SettingsError struct {
	What  string
	Cause error
}

func (b SettingsError) Error() string { return fmt.Sprintf("%s: %v", b.What, b.Cause) }

// Unwrap gives the cause.
func (b SettingsError) Unwrap() error { return b.Cause }

// ReadSettings reads flags and the file that they may name, and checks all of it.
func ReadSettings(program string, words []string) (Settings, error) {
	parse := func(into *Settings) error {
		parser, err := arg.NewParser(arg.Config{Program: program}, into)
		if err != nil {
			return SettingsError{"flags", err}
		}
		err = parser.Parse(words)
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
	faults := &fleetconfig.Faults{}
	checkAddress := func(name, address string) {
		if parsed, err := netip.ParseAddrPort(address); err != nil {
			faults.Add(name, "%q is not an IP and port", address)
		} else if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
			faults.Add(name, "%q can't be reached from another machine", address)
		}
	}
	if s.Fleet == "" {
		faults.Add("fleet", "has to be named")
	}
	if s.Zone == "" {
		faults.Add("zone", "has to be named")
	}
	checkAddress("public", s.Public)
	checkAddress("peer", s.Peer)
	if s.Public == s.Peer {
		faults.Add("peer", "is the public address as well")
	}
	isAnnounced := s.Founders == "announce"
	if isAnnounced && (len(s.Seeds) < 1 || len(s.Seeds) > 3) {
		faults.Add("seeds", "there have to be one to three, not %d", len(s.Seeds))
	} else if !isAnnounced && len(s.Seeds) != 3 {
		faults.Add("seeds", "there have to be three, not %d", len(s.Seeds))
	}
	known := map[string]bool{}
	for i, seed := range s.Seeds {
		checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
		if known[seed] {
			faults.Add(fmt.Sprintf("seeds[%d]", i), "%q is named twice", seed)
		}
		known[seed] = true
	}
	if !isController && s.Data != "" {
		faults.Add("data", "a router keeps nothing on disk; only controller and node take a data folder")
	}
	if isController && known[s.Peer] && s.Data == "" && !isAnnounced {
		faults.Add("data", "a controller that is a seed is a founder and needs a data folder")
	}
	if s.Platform != "" {
		if parsed, err := url.Parse(s.Platform); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			faults.Add("platform", "%q is not an http URL", s.Platform)
		}
	}
	fleetconfig.CheckRange(faults, "connections", s.Connections, 16, 1<<20)
	fleetconfig.CheckRange(faults, "live", s.Live, 1, 1<<20)
	fleetconfig.CheckRange(faults, "bodies_mb", s.BodiesMB, 8, 1<<20)
	fleetconfig.CheckRange(faults, "journal_mb", s.JournalMB, 0, 1<<14)
	fleetconfig.CheckRange(faults, "archive_mb", s.ArchiveMB, 0, 1<<16)
	fleetconfig.CheckRange(faults, "journal", s.Journal, 16, 1<<20)
	s.Rules.check(faults)
	s.checkSpans(faults)
	return faults.Err()
}

// checkSpans holds the spans against the rules that they keep together.
func (s Settings) checkSpans(faults *fleetconfig.Faults) {
	// A lease of two seconds would leave no margin under the rule's two seconds.
	fleetconfig.CheckRange(faults, "lease_us", s.LeaseUS, 300_000, 1_900_000)
	fleetconfig.CheckRange(faults, "heartbeat_us", s.HeartbeatUS, 20_000, 1_000_000)
	fleetconfig.CheckRange(faults, "election_high_us", s.ElectionHighUS, 100_000, 3_000_000)
	fleetconfig.CheckRange(faults, "disk_stall_us", s.DiskStallUS, 100_000, 3_000_000)
	// Where members come back empty and soon, a lost one is better replaced early: what is
	// dropped in error comes back as a standby, at the cost of two revisions.
	lowReplace, elections := int64(3_000_000), int64(3)
	if s.Voters > 0 {
		lowReplace, elections = 2_000_000, 2
	}
	fleetconfig.CheckRange(faults, "replace_us", s.ReplaceUS, lowReplace, 3_600_000_000)
	fleetconfig.CheckRange(faults, "home_silent_us", s.HomeSilentUS, 500_000, 2_000_000)
	fleetconfig.CheckRange(faults, "router_gone_us", s.RouterGoneUS, 5_000_000, 3_600_000_000)
	fleetconfig.CheckRange(faults, "shuffle_us", s.ShuffleUS, 100_000, 60_000_000)
	fleetconfig.CheckRange(faults, "anti_entropy_us", s.AntiEntropyUS, 200_000, 60_000_000)
	fleetconfig.CheckRange(faults, "node_gone_us", s.NodeGoneUS, 3_000_000, 60_000_000)
	fleetconfig.CheckRange(faults, "tick_us", s.TickUS, 5_000, 100_000)
	fleetconfig.CheckRange(faults, "engine_silence_us", s.EngineSilenceUS, 100_000, 600_000_000)
	fleetconfig.CheckRange(faults, "drain_us", s.DrainUS, 0, 3_600_000_000)
	fleetconfig.CheckRange(faults, "lame_duck_us", s.LameDuckUS, 0, 60_000_000)
	if s.RenewUS < 50_000 || s.RenewUS*4 > s.LeaseUS && s.ServeOnUS != alwaysUS || s.RenewUS > 1_000_000 {
		faults.Add("renew_us", "%d has to be at least 50000 and four renewals have to fit into the lease of %d", s.RenewUS, s.LeaseUS)
	}
	if s.ElectionLowUS < 4*s.HeartbeatUS {
		faults.Add("election_low_us", "%d has to hold at least four heartbeats of %d", s.ElectionLowUS, s.HeartbeatUS)
	}
	if s.ElectionHighUS <= s.ElectionLowUS {
		faults.Add("election_high_us", "%d has to be above election_low_us of %d", s.ElectionHighUS, s.ElectionLowUS)
	}
	if s.ReplaceUS < elections*s.ElectionHighUS {
		faults.Add("replace_us", "%d has to hold at least %d elections of %d", s.ReplaceUS, elections, s.ElectionHighUS)
	}
}
