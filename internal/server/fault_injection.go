//go:build !faults

package server

import (
	"time"

	"dunlinloom/internal/kernel"
)

// BuildNote is a suffix of the printed version. It is empty in builds without the faults tag.
const BuildNote = ""

// peerDialer, fault and openData are the hooks for fault injection. Without the faults tag they inject none.
func peerDialer() Dialer { return connectionDialer() }

func fault(string) (copies int, delay time.Duration) { return 1, 0 }

func openData(path string) (kernel.Folder, error) { return kernel.OpenFolder(path) }
