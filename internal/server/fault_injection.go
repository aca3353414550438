//go:build !faults

package server

import (
	"time"

	"dunlinloom/internal/kernel"
)

// BuildNote is empty in ordinary builds.
const BuildNote = ""

// Ordinary builds know no way to make a channel or a disk fail on purpose.
func peerDialer() Dialer { return connectionDialer() }

func fault(string) (copies int, delay time.Duration) { return 1, 0 }

func openData(path string) (kernel.Folder, error) { return kernel.OpenFolder(path) }
