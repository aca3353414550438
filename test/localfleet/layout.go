// Package localfleet starts a fleet of real processes on the loopback interface, runs a scenario of faults against
// it, and passes the recorded events to the checker.
package localfleet

import (
	"fmt"
)

// NodePlan describes one node of a deployment.
type NodePlan struct {
	Program string
	Zone    string
	HasDisk bool
}

// Deployment describes the zones, nodes and engines of one user's fleet.
type Deployment struct {
	Name    string
	Zones   []string
	Nodes   []NodePlan
	Engines int
}

// Qurum returns a deployment of eleven nodes in four zones; four of the nodes have a disk.
func Qurum() Deployment {
	return deployment("qurum", 4, 11, 4)
}

// Cronometro returns a deployment of twelve nodes in three zones; three of the nodes have a disk.
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
		// The nodes with a disk come first, one per zone, and run both the control plane and the data plane.
		if i < disks {
			plan.Program, plan.HasDisk = programNode, true
		}
		d.Nodes = append(d.Nodes, plan)
	}
	return d
}

// DeploymentOf returns the deployment with the given name and reports whether there is one.
func DeploymentOf(name string) (Deployment, bool) {
	switch name {
	case "qurum":
		return Qurum(), true
	case "cronometro":
		return Cronometro(), true
	}
	return Deployment{}, false
}
