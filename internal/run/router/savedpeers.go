package router

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// savedPeersFile is the file with the addresses of peers, in the data folder.
	savedPeersFile = "routers.json"
	// savePeersInterval is the time between checks whether the addresses have changed.
	// Routers come and go at most a few times a minute.
	savePeersInterval = 5 * time.Second
	// maxSavedPeers is the maximum number of saved addresses.
	maxSavedPeers = 64
	// savedPeersFor is how long after the start this router sends digests to saved
	// peers. After a power loss the peers start within that time.
	savedPeersFor = 3 * time.Second
)

// savePeers saves the addresses of peers when they change. After a power loss of all
// routers, a router without a disk knows only the seeds. A router with a disk may start
// before the seeds. It finds its peers by the saved addresses, and they get the declared
// state from it.
func (r *Router) savePeers(ctx context.Context) error {
	folder := r.settings.Router.DataFolder
	if folder == "" {
		return nil
	}
	var saved []string
	tick := time.NewTicker(savePeersInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		addrs := r.peers.AliveAddrs(time.Now(), maxSavedPeers)
		if len(addrs) == 0 || slices.Equal(addrs, saved) || r.group.replica() == nil {
			continue
		}
		if err := writeSavedPeers(folder, addrs); err != nil {
			r.log.Warn("peers not saved", "error", err.Error())
			continue
		}
		saved = addrs
	}
}

// writeSavedPeers replaces the file. A power loss leaves either the old file or the new
// one.
func writeSavedPeers(folder string, addrs []string) error {
	data, err := json.Marshal(addrs)
	if err != nil {
		return errors.Wrap(err, "encode saved peers")
	}
	path := filepath.Join(folder, savedPeersFile)
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "write saved peers")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		// A power loss may undo the rename. The old list is still usable then.
		err = os.Rename(path+".new", path)
	}
	return errors.Wrap(err, "write saved peers")
}

// readSavedPeers returns the saved addresses, or none if there is no folder or file.
func readSavedPeers(folder string) ([]string, error) {
	if folder == "" {
		return nil, nil
	}
	data, err := os.ReadFile(filepath.Join(folder, savedPeersFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read saved peers")
	}
	var addrs []string
	if err := json.Unmarshal(data, &addrs); err != nil {
		return nil, errors.Wrap(err, "decode saved peers")
	}
	return addrs[:min(len(addrs), maxSavedPeers)], nil
}
