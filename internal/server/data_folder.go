package server

import (
	"crypto/rand"
	"errors"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

// dataFolder is an open, locked data folder with what the node restores from it.
type dataFolder struct {
	store        *storage.Store
	state        control.FolderState
	start        uint64       // the start number that the folder calls for
	persistStart func() error // stores the start number
	snapshotErr  error        // why the snapshot can't be read
	endsErr      error        // why the stored ends of engines can't be used
	release      func() error // unlocks the folder
}

// memberWithoutFolder returns the member id of a node that has no data folder, or none that is open.
func memberWithoutFolder(self kernel.Identity) cluster.MemberID {
	return cluster.MemberID("no-folder-" + self.Address)
}

// openDataFolder locks a data folder and reads it; start is the start number that the process proposes. After an error the
// folder is unlocked, so that it can be opened again.
func openDataFolder(path string, source control.FolderSource, bounds storage.StoreBounds, start uint64) (*dataFolder, error) {
	release, err := kernel.LockFolder(path)
	if err != nil {
		return nil, err
	}
	folder, err := readDataFolder(path, source, bounds, start)
	if err != nil {
		return nil, errors.Join(err, release())
	}
	folder.release = release
	return folder, nil
}

// readDataFolder reads a locked data folder. An empty one becomes a new member's.
func readDataFolder(path string, source control.FolderSource, bounds storage.StoreBounds, start uint64) (*dataFolder, error) {
	disk, err := openData(path)
	if err != nil {
		return nil, err
	}
	folder := &dataFolder{}
	if folder.store, folder.state, err = control.OpenStore(disk, source); err != nil {
		return nil, err
	}
	folder.store.SetBounds(bounds)
	folder.state.Snapshot, folder.snapshotErr = folder.store.Snapshot(source.Fleet)
	folder.state.Ends, folder.endsErr = folder.store.Ends(source.Fleet)
	if errors.As(folder.endsErr, new(kernel.DiskError)) {
		// Other members may not have these ends, and the next write would replace them.
		return nil, folder.endsErr
	}
	folder.start, folder.persistStart = folder.store.NextStart(start)
	return folder, nil
}

// folderSource returns for whom the data folder of a node is opened.
func folderSource(node *control.NodeSettings) control.FolderSource {
	return control.FolderSource{
		Fleet: node.Identity.Fleet, FreshID: rand.Text,
		KeepsAcceptorState: node.BootstrapRule == control.BootstrapByAnnounce && node.IsController, IsBootstrap: node.IsBootstrap, Seeds: node.Seeds,
	}
}

// openFolder opens the data folder, if there is one, and restores the node's settings from it.
func (a *assembly) openFolder(node *control.NodeSettings) error {
	if a.settings.Data == "" {
		return nil
	}
	a.kernel.Cleanup.Defer(a.releaseFolder)
	folder, err := openDataFolder(a.settings.Data, folderSource(node), storage.StoreBounds{}, node.Start)
	if err != nil {
		return err
	}
	a.startWithFolder(node, folder)
	return nil
}

// startWithFolder makes a node that has not started yet restore its state from a folder.
func (a *assembly) startWithFolder(node *control.NodeSettings, folder *dataFolder) {
	node.FolderState, node.Start = folder.state, folder.start
	a.openClock(node.Start)
	a.useFolder(folder)
}

// useFolder makes the folder the process's own.
func (a *assembly) useFolder(folder *dataFolder) {
	a.folder.Store(folder)
	if folder.snapshotErr != nil {
		// The snapshot only makes startup faster; without it the node asks the other nodes.
		a.env.Log.Error(folder.snapshotErr, "snapshot can't be read; starting without it")
		a.env.Record("process", "snapshot", "leave aside", folder.snapshotErr.Error())
	}
	if folder.endsErr != nil {
		a.env.Log.Error(folder.endsErr, "stored ends of engines can't be used; other members have to know them")
		a.env.Record("process", "engine ends", "leave aside", folder.endsErr.Error())
	}
	// Written in the background, so that a stalled disk does not delay startup. If the write is lost, the other nodes
	// still tell this node its last start number.
	persisted := startWorker(func() {
		if err := folder.persistStart(); err != nil {
			a.env.Log.Error(err, "start number can't be stored")
		}
	})
	a.kernel.Cleanup.Defer(func() error {
		waitClosed(persisted, finalWriteTimeout)
		return nil
	})
	for _, name := range folder.store.Quarantined() {
		a.env.Log.Info("damaged file quarantined", "file", name)
	}
}

// releaseFolder unlocks the data folder, if it is open.
func (a *assembly) releaseFolder() error {
	if folder := a.folder.Load(); folder != nil {
		return folder.release()
	}
	return nil
}
