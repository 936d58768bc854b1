package replica

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// snapshotResult is the result of a snapshot that was written in the
// background.
type snapshotResult struct {
	snapshot Snapshot
	err      error
}

// snapshotPattern matches the snapshot files in a data folder, and with unfinishedSuffix those
// that aren't complete.
const (
	snapshotPattern  = "snapshot-*.bin"
	unfinishedSuffix = ".new"
)

func snapshotPath(folder string, index uint64) string {
	return filepath.Join(folder, fmt.Sprintf("snapshot-%d.bin", index))
}

// writeSnapshotFile returns once the complete file has its final name and is
// synced. It removes what a failed write leaves, which would take room on the disk.
func writeSnapshotFile(folder string, index uint64, data []byte) error {
	path := snapshotPath(folder, index)
	unfinished := path + unfinishedSuffix
	err := writeFile(unfinished, data)
	if err == nil {
		err = errors.Wrap(os.Rename(unfinished, path), "rename snapshot file")
	}
	if err != nil {
		if removeErr := os.Remove(unfinished); removeErr != nil && !os.IsNotExist(removeErr) {
			return errors.Wrapf(err, "%v, after", removeErr)
		}
		return err
	}
	return syncFolder(folder)
}

func writeFile(path string, data []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create snapshot file")
	}
	_, err = file.Write(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)))
	if err == nil {
		_, err = file.Write(data)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write snapshot file")
}

func readSnapshotFile(folder string, index uint64) ([]byte, error) {
	record, err := os.ReadFile(snapshotPath(folder, index))
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot file")
	}
	if len(record) < checksumBytes || binary.BigEndian.Uint64(record) != xxhash.Sum64(record[checksumBytes:]) {
		return nil, errors.Errorf("snapshot file %d is damaged; run init --join and repair", index)
	}
	return record[checksumBytes:], nil
}

// removeSnapshotFiles removes all snapshot files except the current one.
func removeSnapshotFiles(folder string, current uint64) error {
	return removeFiles(filepath.Join(folder, snapshotPattern), snapshotPath(folder, current))
}

// removeUnfinishedSnapshots removes what writes left that were interrupted. No write may be in
// progress.
func removeUnfinishedSnapshots(folder string) error {
	return removeFiles(filepath.Join(folder, snapshotPattern+unfinishedSuffix), "")
}

// removeFiles removes the files that match a pattern, except one.
func removeFiles(pattern, kept string) error {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return errors.Wrap(err, "list snapshot files")
	}
	for _, path := range paths {
		if path == kept {
			continue
		}
		if err := os.Remove(path); err != nil {
			return errors.Wrap(err, "remove old snapshot file")
		}
	}
	return nil
}

// startSnapshot encodes and writes a snapshot in the background, so that a
// large one doesn't delay heartbeats.
func (n *Node) startSnapshot() {
	applied := n.core.Applied()
	n.mu.Lock()
	due := applied >= n.snapshotIndex+n.cfg.SnapshotEvery || n.bytesSinceSnapshot >= n.cfg.SnapshotBytes ||
		n.bytesSinceSnapshot > maxReplayBytes && n.core.awaitsSnapshot()
	n.mu.Unlock()
	if n.snapshotting || !due {
		return
	}
	n.bytesSinceSnapshot = 0
	n.snapshotting = true
	n.snapshotIndex = applied
	n.mu.Lock()
	term, _ := n.core.log.term(applied)
	s := Snapshot{Index: applied, Term: term, Members: n.core.MembersAt(applied)}
	n.mu.Unlock()
	encode := n.cfg.StateMachine.Snapshot()
	n.group.Go(func() error {
		data, err := encode()
		if err == nil {
			s.Data = data
			err = n.cfg.Store.WriteSnapshot(s)
		}
		n.snapshots <- snapshotResult{s, err}
		return nil
	})
}

// finishSnapshot truncates the log, unless a received snapshot already covers
// it.
func (n *Node) finishSnapshot(r snapshotResult) error {
	n.snapshotting = false
	if r.err != nil {
		return errors.Wrap(r.err, "write snapshot")
	}
	if r.snapshot.Index <= n.core.log.base {
		return nil
	}
	if err := n.cfg.Store.UseSnapshot(r.snapshot); err != nil {
		return err
	}
	n.withLock(func(time.Time) { n.core.Compact(r.snapshot) })
	n.cfg.Log.Info("snapshot taken", "index", r.snapshot.Index, "bytes", len(r.snapshot.Data))
	return nil
}
