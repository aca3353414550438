package localfleet

// This file defines the format of scenarios and validates them.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"dunlinloom/internal/fleetconfig"
)

// Step is one action on the fleet at a point in time.
type Step struct {
	AtMS   int64  `json:"at_ms"`
	Do     string `json:"do"`
	Target string `json:"target,omitempty"`
	ForMS  int64  `json:"for_ms,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// Scenario is a load and a sequence of faults and operator actions, compressed into a short run.
type Scenario struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	SpanMS     int64   `json:"span_ms"`
	Rate       float64 `json:"rate"`
	Hot        float64 `json:"hot,omitempty"`
	Steps      []Step  `json:"steps"`
}

// verbs maps each verb of a scenario to the kind of its target. "Needs faults" marks a verb that requires programs
// built with -tags faults.
var verbs = map[string]string{
	"kill":          "node",   // SIGKILL; restart after for_ms (0: never)
	"stop":          "node",   // SIGTERM; restart for_ms after its exit (0: never)
	"stop-short":    "node",   // SIGTERM; SIGKILL count ms later, like a platform with a short grace period; restart after for_ms
	"freeze":        "node",   // SIGSTOP for for_ms
	"wipe":          "node",   // SIGKILL; remove its data folder; restart after for_ms
	"cut":           "node",   // drop its messages from and to all other nodes for for_ms; needs faults
	"cut-out":       "node",   // drop its messages to other nodes for for_ms; needs faults
	"cut-in":        "node",   // drop messages from other nodes to it for for_ms; needs faults
	"split-core":    "",       // partition the first half of the controllers from the second for for_ms; needs faults
	"lossy":         "",       // lose, duplicate and delay messages between nodes at random for for_ms; needs faults
	"disk-slow":     "node",   // delay each write to its data folder by count ms for for_ms; needs faults
	"disk-stall":    "node",   // block every write to its data folder for for_ms; needs faults
	"disk-full":     "node",   // fail every write to its data folder for for_ms; needs faults
	"power":         "node",   // kill it, revert unsynced writes, restart after for_ms; needs faults
	"power-at-yes":  "node",   // put a configuration and cut the node's power as soon as it is acknowledged; needs faults
	"replace":       "node",   // kill it permanently; an empty node at a new address starts after for_ms
	"swap-core":     "",       // replace the controllers one by one, each after the previous one has left the voters
	"cut-zone":      "zone",   // partition a zone's nodes from all others for for_ms; needs faults
	"kill-core":     "",       // SIGKILL every controller at once; restart after for_ms
	"kill-all":      "",       // SIGKILL every node at once; restart after for_ms
	"kill-zone":     "zone",   // SIGKILL all nodes and engines of a zone at once; restart after for_ms
	"spec":          "",       // put the next configuration at a random node
	"clash":         "",       // concurrently put two configurations with the same base revision
	"storm":         "",       // put count configurations in a row
	"empty":         "zone",   // drain a zone; undrain it after for_ms (0: never)
	"engine-kill":   "engine", // SIGKILL; restart after for_ms with a new start number
	"engine-leave":  "engine", // mark it as draining at one node; kill it 5 s later; restart
	"engine-retire": "engine", // it reports that it is draining; kill it 6 s later; restart
	"engine-dark":   "engine", // accept connections without responding for for_ms
	"engine-break":  "engine", // break its next stream
	"engine-freeze": "engine", // SIGSTOP for for_ms
	"not-run":       "engine", // reject its next count requests
	"engine-gone":   "engine", // SIGKILL and remove from the platform's list; restart after for_ms (0: never)
	"roll":          "",       // engine-retire for every engine, one per for_ms
	"list-lag":      "",       // delay the platform's list by count ms for for_ms
	"crowd":         "",       // count additional requests per second for for_ms
	"hot-crowd":     "",       // like crowd, with most requests on one prefix of each kind
	"large-spec":    "",       // put a configuration with count additional bindings
	"repaired":      "",       // start every process and remove every fault; the fleet has to recover from here on
}

// plannedVerbs are planned operator actions, which do not count as faults.
var plannedVerbs = map[string]bool{
	"stop": true, "spec": true, "clash": true, "storm": true, "empty": true, "engine-leave": true, "engine-retire": true, "roll": true, "large-spec": true,
	"repaired": true,
}

func isFaultVerb(verb string) bool { return !plannedVerbs[verb] }

// maxCounts holds the verbs that require a count, with the largest value of each.
var maxCounts = map[string]int{"stop-short": 60_000, "disk-slow": 5000, "list-lag": 120_000, "crowd": 500, "hot-crowd": 500, "large-spec": fleetconfig.MaxBindings}

// lastingVerbs require for_ms: without it they would have no effect or never end.
var lastingVerbs = map[string]bool{
	"cut-out": true, "cut-in": true, "split-core": true, "lossy": true, "disk-slow": true, "disk-stall": true, "disk-full": true,
	"roll": true, "list-lag": true, "crowd": true, "hot-crowd": true,
}

// ReadScenario reads and validates a scenario file. The error lists every invalid field.
func ReadScenario(path string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the scenario: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	scenario := &Scenario{}
	if err := decoder.Decode(scenario); err != nil {
		return nil, fmt.Errorf("read the scenario %s: %w", path, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("read the scenario %s: %w", path, &fleetconfig.InvalidConfigError{List: []fleetconfig.ValidationError{{Path: "$", Reason: "there is more after the JSON value"}}})
	}
	return scenario, scenario.Check()
}

// needsFaults reports whether the programs have to be built with -tags faults.
func (scenario *Scenario) needsFaults() bool {
	return slices.ContainsFunc(scenario.Steps, func(step Step) bool {
		return strings.HasPrefix(step.Do, "cut") || strings.HasPrefix(step.Do, "disk-") || strings.HasPrefix(step.Do, "power") ||
			step.Do == "split-core" || step.Do == "lossy"
	})
}

// Check validates a scenario. The error lists every invalid field.
func (scenario *Scenario) Check() error {
	faults := &fleetconfig.InvalidConfigError{}
	deployment, isKnown := DeploymentOf(scenario.Deployment)
	if !isKnown {
		faults.Add("deployment", "%q is not qurum or cronometro", scenario.Deployment)
	}
	if scenario.Name == "" {
		faults.Add("name", "is missing")
	}
	if scenario.SpanMS < 1000 || scenario.SpanMS > 24*3600*1000 {
		faults.Add("span_ms", "%d is not in the range from 1000 to 86400000", scenario.SpanMS)
	}
	if !(scenario.Rate > 0 && scenario.Rate <= 1000) {
		faults.Add("rate", "%v is not above 0 and at most 1000", scenario.Rate)
	}
	fleetconfig.CheckRange(faults, "hot", scenario.Hot, 0, 1)
	for i, step := range scenario.Steps {
		path := fmt.Sprintf("steps[%d]", i)
		if step.AtMS < 0 || step.AtMS > scenario.SpanMS {
			faults.Add(path+".at_ms", "%d is not within the span", step.AtMS)
		}
		if step.ForMS < 0 || step.Count < 0 {
			faults.Add(path, "for_ms and count must not be negative")
		}
		if maxCount := maxCounts[step.Do]; maxCount > 0 && (step.Count < 1 || step.Count > maxCount) {
			faults.Add(path+".count", "%s takes a count from 1 to %d", step.Do, maxCount)
		}
		if lastingVerbs[step.Do] && step.ForMS == 0 {
			faults.Add(path+".for_ms", "%s needs a duration above zero", step.Do)
		}
		wanted, isVerb := verbs[step.Do]
		if !isVerb {
			faults.Add(path+".do", "unknown verb %q", step.Do)
			continue
		}
		if !isKnown {
			continue
		}
		if why := checkTarget(deployment, wanted, step.Target); why != "" {
			faults.Add(path+".target", "%s", why)
		}
	}
	return faults.Err()
}

// checkTarget returns why a target is invalid, or an empty string. The targets of node verbs are node:N, leader,
// home:ZONE (the zone's coordinator) and router (any node without a data folder that coordinates no zone).
func checkTarget(deployment Deployment, wanted, target string) string {
	var index int
	switch wanted {
	case "":
		if target != "" {
			return "this verb takes no target"
		}
	case "zone":
		if !slices.Contains(deployment.Zones, target) {
			return fmt.Sprintf("%q is not a zone of the deployment", target)
		}
	case "engine":
		if n, err := fmt.Sscanf(target, "engine:%d", &index); n != 1 || err != nil || index < 0 || index >= deployment.Engines {
			return fmt.Sprintf("%q is not engine:0 to engine:%d", target, deployment.Engines-1)
		}
	case "node":
		if target == "leader" || target == "router" {
			return ""
		}
		if zone, isCoordinator := strings.CutPrefix(target, "home:"); isCoordinator && slices.Contains(deployment.Zones, zone) {
			return ""
		}
		if n, err := fmt.Sscanf(target, "node:%d", &index); n != 1 || err != nil || index < 0 || index >= len(deployment.Nodes) {
			return fmt.Sprintf("%q is not leader, router, home:ZONE or node:0 to node:%d", target, len(deployment.Nodes)-1)
		}
	}
	return ""
}
