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
	// rememberedFile lists the addresses of routers, in the data folder.
	rememberedFile = "routers.json"
	// rememberInterval is the pause between looks at whether the list has changed:
	// routers come and go a few times a minute at the most.
	rememberInterval = 5 * time.Second
	// maxRemembered bounds the addresses that are kept.
	maxRemembered = 64
	// rememberFor is how long after the start remembered routers are told of this
	// one: they start within that time after a loss of power.
	rememberFor = 3 * time.Second
)

// keepRemembered writes down where other routers are. After a loss of power of all of
// them a router without a disk knows only the seeds; one with a disk that starts before
// the seeds finds the others by this list, and they the state.
func (r *Router) keepRemembered(ctx context.Context) error {
	folder := r.settings.Router.DataFolder
	if folder == "" {
		return nil
	}
	var written []string
	tick := time.NewTicker(rememberInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		addrs := r.peers.AliveAddrs(time.Now(), maxRemembered)
		if len(addrs) == 0 || slices.Equal(addrs, written) || r.group.replica() == nil {
			continue
		}
		if err := writeRemembered(folder, addrs); err != nil {
			r.log.Warn("routers not written down", "error", err.Error())
			continue
		}
		written = addrs
	}
}

// writeRemembered replaces the list; a loss of power leaves the old one or the new.
func writeRemembered(folder string, addrs []string) error {
	data, err := json.Marshal(addrs)
	if err != nil {
		return errors.Wrap(err, "encode routers")
	}
	path := filepath.Join(folder, rememberedFile)
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "write routers")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		// The new name may be lost with the power; the old list serves as well.
		err = os.Rename(path+".new", path)
	}
	return errors.Wrap(err, "write routers")
}

// readRemembered returns the list, empty if there is none that can be read.
func readRemembered(folder string) ([]string, error) {
	if folder == "" {
		return nil, nil
	}
	data, err := os.ReadFile(filepath.Join(folder, rememberedFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read routers")
	}
	var addrs []string
	if err := json.Unmarshal(data, &addrs); err != nil {
		return nil, errors.Wrap(err, "decode routers")
	}
	return addrs[:min(len(addrs), maxRemembered)], nil
}
