package replica

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// snapshotPattern matches the snapshot files of a data folder.
const snapshotPattern = "snapshot-*.bin"

func snapshotPath(folder string, index uint64) string {
	return filepath.Join(folder, fmt.Sprintf("snapshot-%d.bin", index))
}

// writeSnapshotFile returns once the file is whole and synced under its name.
func writeSnapshotFile(folder string, index uint64, data []byte) error {
	path := snapshotPath(folder, index)
	file, err := os.Create(path + ".new")
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
	if err != nil {
		return errors.Wrap(err, "write snapshot file")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "name snapshot file")
	}
	return syncFolder(folder)
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

// removeSnapshotFiles removes every snapshot file but the one in use.
func removeSnapshotFiles(folder string, used uint64) error {
	paths, err := filepath.Glob(filepath.Join(folder, snapshotPattern))
	if err != nil {
		return errors.Wrap(err, "list snapshot files")
	}
	for _, path := range paths {
		if path == snapshotPath(folder, used) {
			continue
		}
		if err := os.Remove(path); err != nil {
			return errors.Wrap(err, "remove old snapshot file")
		}
	}
	return nil
}
