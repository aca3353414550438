package registry_test

import (
	"fmt"
	"testing"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// fullDirectory returns the directory of a fleet of 300 nodes and 240 engines.
func fullDirectory() *registry.Directory {
	const nodes, engines, zones = 300, 240, 6
	directory := registry.NewDirectory("i", cluster.DefaultTiming(), func(decision.Subject, decision.Decision, string) {})
	for i := range nodes {
		directory.MergeNode(0, registry.NodeRecord{Address: fmt.Sprintf("10.0.%d.%d:7001", i/100, i), Zone: fmt.Sprint("z", i%zones), IsRouter: true, Start: 1, Seq: 1}, true)
	}
	for i := range engines {
		directory.MergeEngine(0, registry.EngineRecord{ID: fmt.Sprintf("e%03d", i), Address: fmt.Sprintf("10.1.0.%d:8000", i), Zone: fmt.Sprint("z", i%zones), Start: 1, AnnouncementSeq: 1}, true)
	}
	return directory
}

func BenchmarkUpdateOfFewRecords(b *testing.B) {
	directory := fullDirectory()
	for seq := uint64(2); b.Loop(); seq++ {
		seen := directory.Rev()
		directory.MergeNode(kernel.Second, registry.NodeRecord{Address: "10.0.0.1:7001", Start: 1, Seq: seq, UpdatedAt: kernel.Second}, true)
		directory.UpdateSince(kernel.Second, "i", seen, false)
	}
}

func BenchmarkDifferingOfEqualDirectories(b *testing.B) {
	directory := fullDirectory()
	for b.Loop() {
		directory.DifferingEngines(kernel.Second, directory.Digests())
	}
}

func BenchmarkSweep(b *testing.B) {
	directory := fullDirectory()
	for b.Loop() {
		directory.Sweep(kernel.Second)
	}
}

func BenchmarkHeartbeatOfAKnownEngine(b *testing.B) {
	directory := fullDirectory()
	for now := kernel.Micros(1); b.Loop(); now++ {
		directory.MergeRecord(now, registry.EngineRecord{ID: "e100", Address: "10.1.0.100:8000", Zone: "z4", Start: 1, AnnouncementSeq: 1, SeenAt: now}, true)
	}
}
