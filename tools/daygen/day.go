package main

import (
	"bytes"

	"github.com/BurntSushi/toml"
)

// Run is one simulated day of a site. Times are in seconds from the start of traffic;
// the system's first start comes before it, at negative times.
type Run struct {
	Name          string   `toml:"name"`
	Slot          string   `toml:"slot"`
	Seed          int64    `toml:"seed"`
	LengthSeconds float64  `toml:"length_s"`
	Closing       *Closing `toml:"closing,omitempty"`
	Plan          []Fault  `toml:"plan"`
	Faults        []Fault  `toml:"faults"`
}

// Fault is one entry of a day: a fault, or planned work such as a rolling restart.
// A field that doesn't apply to the kind is left at its zero value and not written.
type Fault struct {
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

// Closing is the fault that ends a day, right after an acknowledged change.
type Closing struct {
	Kind        string  `toml:"kind"`
	DownSeconds float64 `toml:"down_s"`
	How         string  `toml:"how,omitempty"`
}

// End returns the time, in seconds from the start of traffic, at which the fault is over: after its
// duration, or after its last step when it repeats.
func (f Fault) End() float64 {
	steps := max(f.Count-1, 0)
	return f.At + max(f.Duration, float64(steps)*f.Gap)
}

// Encode returns the day as TOML. Its error is that of the encoder.
func (d Run) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	encoder.Indent = ""
	if err := encoder.Encode(d); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
