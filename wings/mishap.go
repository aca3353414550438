//go:build !faults

package wings

import (
	"time"

	"dunlinloom/house"
)

// BuildNote is empty in ordinary builds.
const BuildNote = ""

// Ordinary builds know no way to make a channel or a disk fail on purpose.
func peerDialer() Dialer { return channelDialer() }

func mishap(string) (copies int, delay time.Duration) { return 1, 0 }

func openData(path string) (house.Folder, error) { return house.OpenFolder(path) }
