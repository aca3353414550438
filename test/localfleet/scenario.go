package localfleet

// The format of scenarios and their check.

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

// Step is one thing done to the fleet at a moment.
type Step struct {
	AtMS   int64  `json:"at_ms"`
	Do     string `json:"do"`
	Target string `json:"target,omitempty"`
	ForMS  int64  `json:"for_ms,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// Scenario is a day of faults, compressed.
type Scenario struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	SpanMS     int64   `json:"span_ms"`
	Rate       float64 `json:"rate"`
	Hot        float64 `json:"hot,omitempty"`
	Steps      []Step  `json:"steps"`
}

// The verbs of a scenario, and what each needs as its target.
var verbs = map[string]string{
	"kill":          "node",   // SIGKILL, and start it again after for_ms (0: never)
	"stop":          "node",   // SIGTERM, and start it again for_ms after its end (0: never)
	"stop-short":    "node",   // SIGTERM, SIGKILL count ms later, as a platform without patience, and start it again after for_ms
	"freeze":        "node",   // SIGSTOP for for_ms
	"wipe":          "node",   // SIGKILL, empty its data folder, start it again after for_ms
	"cut":           "node",   // cut it off from all other nodes for for_ms; needs programs built with -tags faults
	"cut-out":       "node",   // nothing gets out of it to other nodes for for_ms; the same
	"cut-in":        "node",   // nothing gets to it from other nodes for for_ms; the same
	"split-core":    "",       // the first half of the controllers is cut off from the second for for_ms; the same
	"lossy":         "",       // all messages between nodes are lost, doubled and late at times, for for_ms; the same
	"disk-slow":     "node",   // each write of its data folder takes count ms longer for for_ms; the same
	"disk-stall":    "node",   // no write of its data folder ends for for_ms; the same
	"disk-full":     "node",   // every write of its data folder fails for for_ms; the same
	"power":         "node",   // kill it, lose what was not synced, start it again after for_ms; the same
	"power-at-yes":  "node",   // put a configuration and cut the node's power at the moment of its yes; the same
	"replace":       "node",   // kill it for good; an empty machine at a new address starts after for_ms
	"swap-core":     "",       // replace every controller, each once the last replacement votes
	"cut-zone":      "zone",   // cut a zone's nodes off from all others for for_ms; the same
	"kill-core":     "",       // SIGKILL to every controller at once, started again after for_ms
	"kill-all":      "",       // SIGKILL to every node at once, started again after for_ms
	"kill-zone":     "zone",   // SIGKILL to all of a zone, engines too, started again after for_ms
	"spec":          "",       // put the next configuration at some node
	"clash":         "",       // put two configurations on the same base at once
	"storm":         "",       // put count configurations in a row
	"empty":         "zone",   // empty a zone, and refill it after for_ms (0: never)
	"engine-kill":   "engine", // SIGKILL, started again after for_ms as a new start
	"engine-leave":  "engine", // mark it leaving at one node, kill it 5 s later, start a new one
	"engine-retire": "engine", // it says in its reports that it leaves, is killed 6 s later, and starts anew
	"engine-dark":   "engine", // it takes channels and says nothing for for_ms
	"engine-break":  "engine", // tears its next stream
	"engine-freeze": "engine", // SIGSTOP for for_ms
	"not-run":       "engine", // rejects its next count requests
	"engine-gone":   "engine", // SIGKILL and off the platform's list, back after for_ms (0: never)
	"roll":          "",       // engine-retire for every engine, one each for_ms
	"list-lag":      "",       // the platform's list is count ms late for for_ms
	"crowd":         "",       // count more requests a second for for_ms
	"hot-crowd":     "",       // the same, nearly all on one prefix of each kind
	"large-spec":    "",       // put a configuration of count bindings
	"repaired":      "",       // every process is started, every fault lifted; from here on the fleet has to recover
}

// plannedVerbs are operators' work, and no faults.
var plannedVerbs = map[string]bool{
	"stop": true, "spec": true, "clash": true, "storm": true, "empty": true, "engine-leave": true, "engine-retire": true, "roll": true, "large-spec": true,
	"repaired": true,
}

func isFaultVerb(verb string) bool { return !plannedVerbs[verb] }

// maxCounts are the verbs that can't do without a count.
var maxCounts = map[string]int{"stop-short": 60_000, "disk-slow": 5000, "list-lag": 120_000, "crowd": 500, "hot-crowd": 500, "large-spec": fleetconfig.MaxBindings}

// lastingVerbs are those that would do nothing, or never end, without a span.
var lastingVerbs = map[string]bool{
	"cut-out": true, "cut-in": true, "split-core": true, "lossy": true, "disk-slow": true, "disk-stall": true, "disk-full": true,
	"roll": true, "list-lag": true, "crowd": true, "hot-crowd": true,
}

// ReadScenario reads a scenario file and names every fault in it.
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

// needsCuts tells whether the programs have to be built with -tags faults.
func (scenario *Scenario) needsCuts() bool {
	return slices.ContainsFunc(scenario.Steps, func(step Step) bool {
		return strings.HasPrefix(step.Do, "cut") || strings.HasPrefix(step.Do, "disk-") || strings.HasPrefix(step.Do, "power") ||
			step.Do == "split-core" || step.Do == "lossy"
	})
}

// Check names every fault of a scenario at once.
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
		faults.Add("span_ms", "%d is not from 1000 to a day", scenario.SpanMS)
	}
	if !(scenario.Rate > 0 && scenario.Rate <= 1000) {
		faults.Add("rate", "%v is not above 0 and up to 1000", scenario.Rate)
	}
	fleetconfig.CheckRange(faults, "hot", scenario.Hot, 0, 1)
	for i, step := range scenario.Steps {
		path := fmt.Sprintf("steps[%d]", i)
		if step.AtMS < 0 || step.AtMS > scenario.SpanMS {
			faults.Add(path+".at_ms", "%d is not within the span", step.AtMS)
		}
		if step.ForMS < 0 || step.Count < 0 {
			faults.Add(path, "for_ms and count can't be below zero")
		}
		if mostCount := maxCounts[step.Do]; mostCount > 0 && (step.Count < 1 || step.Count > mostCount) {
			faults.Add(path+".count", "%s takes a count from 1 to %d", step.Do, mostCount)
		}
		if lastingVerbs[step.Do] && step.ForMS == 0 {
			faults.Add(path+".for_ms", "%s has to last for a while", step.Do)
		}
		wanted, isVerb := verbs[step.Do]
		if !isVerb {
			faults.Add(path+".do", "there is no verb %q", step.Do)
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

// Targets of nodes: node:N, leader, home:ZONE, router (any that leads nothing).
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
