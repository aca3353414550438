package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"time"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/server"
)

type coreArguments struct {
	Inspect *struct {
		Data string `arg:"--data,required" help:"data folder of a controller that does not run"`
	} `arg:"subcommand:look" help:"print the state to which a folder can be rebuilt; changes nothing"`
	Rebuild *struct {
		Data    string `arg:"--data,required" help:"data folder of a controller that does not run"`
		Peer    string `arg:"--peer" help:"peer address of the rebuilt controller; default: its former address"`
		Zone    string `arg:"--zone" help:"zone of the rebuilt controller; default: its former zone"`
		Confirm string `arg:"--confirm" help:"the text printed by look; it confirms that the conditions printed with it hold"`
	} `arg:"subcommand:rebuild" help:"create a new core from the one folder that is left"`
}

// unconfirmedError reports that a rebuild was not confirmed with the required text.
type unconfirmedError struct{ text string }

func (e unconfirmedError) Error() string {
	return fmt.Sprintf("rebuild is not confirmed; run it again with --confirm %q", e.text)
}

// placementError reports that the rebuilt member has no valid peer address or no zone.
type placementError struct{ peer, zone string }

func (e placementError) Error() string {
	return fmt.Sprintf("peer %q is not an IP and port, or zone %q is empty: set both --peer and --zone", e.peer, e.zone)
}

func confirmationFor(s storage.Survivor) string {
	return fmt.Sprintf("rebuild %s from revision %d", s.Fleet, s.Document.Revision)
}

// openSurvivor locks and opens a data folder and reads its state. The caller has to call the returned
// function to release the lock.
func openSurvivor(path string) (kernel.Folder, storage.Survivor, func() error, error) {
	// A missing folder must not be created, because an empty folder is nothing to rebuild from.
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, storage.Survivor{}, nil, storage.NoSurvivorError{Reason: path + " does not exist"}
	}
	release, err := kernel.LockFolder(path)
	if err != nil {
		return nil, storage.Survivor{}, nil, err
	}
	folder, err := kernel.OpenFolder(path)
	if err != nil {
		return nil, storage.Survivor{}, nil, errors.Join(err, release())
	}
	state, err := storage.ReadSurvivor(folder)
	if err != nil {
		return nil, state, nil, errors.Join(err, release())
	}
	return folder, state, release, nil
}

// identifyVoters queries the identity of every other voter in the folder's document, each address
// once.
func (s *session) identifyVoters(found storage.Survivor) []storage.PeerStatus {
	queried, responses := map[string]bool{}, []storage.PeerStatus{}
	for _, voter := range found.Document.Voters {
		if queried[voter.Address] || voter.ID == found.Member {
			continue
		}
		queried[voter.Address] = true
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		peer, err := server.Identify(ctx, voter.Address)
		cancel()
		if err != nil {
			fmt.Fprintf(s.out, "voter %s in %s does not answer\n", voter.Address, voter.Zone)
			continue
		}
		fmt.Fprintf(s.out, "%s answers: member %s, cluster ID %s, revision %d\n", peer.Address, peer.Member, peer.ClusterID, peer.Revision)
		responses = append(responses, *peer)
	}
	return responses
}

func (s *session) inspect(path string) (int, error) {
	_, found, release, err := openSurvivor(path)
	if err != nil {
		return exitFailure, err
	}
	defer release()
	s.printCandidate(found)
	if err := found.CheckPeers(s.identifyVoters(found)); err != nil {
		return exitRejected, err
	}
	fmt.Fprintf(s.out, "it can be rebuilt, with --confirm %q\n", confirmationFor(found))
	return exitAccepted, nil
}

func (s *session) printCandidate(found storage.Survivor) {
	document := found.Document
	fmt.Fprintf(s.out, "fleet %s, member %s, cluster ID %s\n", found.Fleet, found.Member, document.ClusterID)
	fmt.Fprintf(s.out, "revision %d of term %d; the configuration in it is of revision %d, %d bytes\n", document.Revision, document.Term, document.ConfigRevision, len(document.Config))
	for zone, revision := range document.DrainedZones {
		fmt.Fprintf(s.out, "zone %s drained since revision %d\n", zone, revision)
	}
	fmt.Fprintf(s.out, "registered routers: %v\n", document.Routers)
	fmt.Fprintf(s.out, "MISSING, if there were any: all operations acknowledged after revision %d\n", document.Revision)
	fmt.Fprintln(s.out, "By confirming you vouch that the folders of the other voters are lost for good or emptied,")
	fmt.Fprintln(s.out, "that no other folder of this fleet has been rebuilt, and that every other process of the")
	fmt.Fprintln(s.out, "fleet is stopped before this controller starts; start them again after it.")
}

func (s *session) rebuild(path, peer, zone, confirm string) (int, error) {
	folder, found, release, err := openSurvivor(path)
	if err != nil {
		return exitFailure, err
	}
	defer release()
	for _, voter := range found.Document.Voters {
		if voter.ID == found.Member {
			if peer == "" {
				peer = voter.Address
			}
			if zone == "" {
				zone = voter.Zone
			}
		}
	}
	if _, err := netip.ParseAddrPort(peer); err != nil || zone == "" {
		return exitFailure, placementError{peer, zone}
	}
	s.printCandidate(found)
	if err := found.CheckPeers(s.identifyVoters(found)); err != nil {
		return exitRejected, err
	}
	if confirm != confirmationFor(found) {
		return exitRejected, unconfirmedError{confirmationFor(found)}
	}
	document := found.Rebuild(cluster.Member{ID: cluster.MemberID(rand.Text()), Address: peer, Zone: zone}, rand.Text())
	if err := storage.WriteRebuilt(folder, found.Fleet, document); err != nil {
		return exitFailure, fmt.Errorf("write the rebuilt core: %w; the rebuild can be retried", err)
	}
	fmt.Fprintf(s.out, "rebuilt: cluster ID %s, revision %d, one voter at %s in %s\n", document.ClusterID, document.Revision, peer, zone)
	return exitAccepted, nil
}
