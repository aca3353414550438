package main

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"
)

// Site is the part of a site file that the generator uses. Other fields of the file are ignored.
type Site struct {
	Name          string    `toml:"name"`
	Contracts     []string  `toml:"contracts"`
	LeadSeconds   float64   `toml:"lead_s"`
	LengthSeconds float64   `toml:"length_s"`
	Machines      []Machine `toml:"machines"`
	Services      []Named   `toml:"services"`
	Classes       []Class   `toml:"classes"`
	Traffic       []Traffic `toml:"traffic"`
	Timing        Timing    `toml:"timing"`
}

// Machine is a group of identical machines in one zone. Core machines are those with the field counted.
type Machine struct {
	Zone    string `toml:"zone"`
	Count   int    `toml:"count"`
	Counted bool   `toml:"counted"`
}

// Named is a service. The generator uses only its name.
type Named struct {
	Name string `toml:"name"`
}

// Class is a class of requests.
type Class struct {
	Name           string  `toml:"name"`
	DeadlineMillis float64 `toml:"deadline_ms"`
}

// Traffic is what the clients of one zone send: requests a second, mixed from the classes by weight.
type Traffic struct {
	Zone      string             `toml:"zone"`
	Mix       map[string]float64 `toml:"mix"`
	PerSecond float64            `toml:"per_s"`
	Clients   int                `toml:"clients"`
	Users     int                `toml:"users,omitzero"`
	Shape     map[string]any     `toml:"shape,omitempty"`
}

// Timing holds the site's time limits.
type Timing struct {
	CatchUpSeconds float64 `toml:"catch_up_s"`
}

// IncompleteSiteError reports that a site file lacks a required part.
type IncompleteSiteError struct {
	Path    string
	Missing string
}

func (e *IncompleteSiteError) Error() string {
	return fmt.Sprintf("site file %s: %s is missing", e.Path, e.Missing)
}

// LoadSite reads the site file at path. It returns *IncompleteSiteError if a required part is missing.
func LoadSite(path string) (Site, error) {
	var site Site
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return Site{}, fmt.Errorf("site file %s: %w", path, err)
	}
	if missing := site.missing(); missing != "" {
		return Site{}, &IncompleteSiteError{Path: path, Missing: missing}
	}
	return site, nil
}

// missing returns the name of the first required part that is missing, or "".
func (s Site) missing() string {
	switch {
	case s.LeadSeconds <= 0:
		return "lead_s"
	case s.LengthSeconds <= 0:
		return "length_s"
	case len(s.CoreZones()) == 0:
		return "a machine with counted = true"
	case len(s.Services) == 0:
		return "a service"
	case len(s.Classes) == 0:
		return "a class"
	case s.Timing.CatchUpSeconds <= 0:
		return "timing.catch_up_s"
	}
	return ""
}

// LongestClass returns the class of requests whose clients wait for the longest time.
func (s Site) LongestClass() Class {
	return slices.MaxFunc(s.Classes, func(x, y Class) int { return cmp.Compare(x.DeadlineMillis, y.DeadlineMillis) })
}

// CoreZones returns the zone of each group of core machines. A zone with several groups is listed several times.
func (s Site) CoreZones() []string {
	var zones []string
	for _, machine := range s.Machines {
		if machine.Counted && machine.Count > 0 {
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}
