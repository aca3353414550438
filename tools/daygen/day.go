package main

import (
	"bytes"

	"github.com/BurntSushi/toml"
)

// Scenario is a fault schedule for one simulation of a site. Times are in seconds from the start of the traffic;
// the system starts for the first time before that, at negative times.
type Scenario struct {
	Name          string      `toml:"name"`
	Slot          string      `toml:"slot"`
	Seed          int64       `toml:"seed"`
	LengthSeconds float64     `toml:"length_s"`
	FinalFault    *FinalFault `toml:"closing,omitempty"`
	Traffic       []Traffic   `toml:"traffic,omitempty"` // in place of the site's own
	Plan          []Event     `toml:"plan"`
	Faults        []Event     `toml:"faults"`
}

// Event is a fault, or planned work such as a rolling restart. A field that doesn't apply to the kind has its zero
// value and is omitted from the file.
type Event struct {
	At       float64 `toml:"at"`
	Kind     string  `toml:"kind"`
	On       string  `toml:"on,omitempty"`
	Zone     string  `toml:"zone,omitempty"`
	ToZone   string  `toml:"to_zone,omitempty"`
	Service  string  `toml:"service,omitempty"`
	Class    string  `toml:"class,omitempty"`
	Count    int     `toml:"count,omitzero"`
	Share    float64 `toml:"share,omitzero"`
	Strength float64 `toml:"x,omitzero"`
	Duration float64 `toml:"for_s,omitzero"`
	Gap      float64 `toml:"gap_s,omitzero"`
	How      string  `toml:"how,omitempty"`
}

// FinalFault is the fault that ends a scenario, right after an acknowledged change.
type FinalFault struct {
	Kind        string  `toml:"kind"`
	DownSeconds float64 `toml:"down_s"`
	How         string  `toml:"how,omitempty"`
}

// End returns the time, in seconds from the start of the traffic, at which the event is over: after its duration, or
// after its last step if it repeats.
func (e Event) End() float64 {
	steps := max(e.Count-1, 0)
	return e.At + max(e.Duration, float64(steps)*e.Gap)
}

// Encode returns the scenario as TOML.
func (s Scenario) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	encoder.Indent = ""
	if err := encoder.Encode(s); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
