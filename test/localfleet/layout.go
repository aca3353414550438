// Package localfleet starts a whole fleet of real processes on loopback, carries out a
// scenario of faults on it and hands everything seen to the checker.
package localfleet

import (
	"fmt"
)

// NodePlan is one machine of ours.
type NodePlan struct {
	Program string
	Zone    string
	HasDisk bool
}

// Deployment is the lay-out of one user's machines.
type Deployment struct {
	Name    string
	Zones   []string
	Nodes   []NodePlan
	Engines int
}

// Qurum has eleven machines in four zones, four of them with a disk.
func Qurum() Deployment {
	return deployment("qurum", 4, 11, 4)
}

// Cronometro has twelve machines in three zones, three of them with a disk.
func Cronometro() Deployment {
	return deployment("cronometro", 3, 12, 3)
}

func deployment(name string, zones, nodes, disks int) Deployment {
	d := Deployment{Name: name, Engines: 18}
	for i := range zones {
		d.Zones = append(d.Zones, fmt.Sprintf("z%d", i+1))
	}
	for i := range nodes {
		plan := NodePlan{Program: programRouter, Zone: d.Zones[i%zones]}
		// The machines with a disk come first, one a zone, and hold both planes.
		if i < disks {
			plan.Program, plan.HasDisk = programNode, true
		}
		d.Nodes = append(d.Nodes, plan)
	}
	return d
}

// DeploymentOf gives a deployment by its name.
func DeploymentOf(name string) (Deployment, bool) {
	switch name {
	case "qurum":
		return Qurum(), true
	case "cronometro":
		return Cronometro(), true
	}
	return Deployment{}, false
}
