package replica

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"
)

// storeFile is the name of the replica file in the data folder.
const storeFile = "replica.db"

// checksumBytes is the size of the checksum in front of each record.
const checksumBytes = 8

// ErrNoData means that the data folder was never initialised, or was lost.
var ErrNoData = errors.New("data folder holds no replica: run init, with --join if the group has run before")

var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyIdentity = []byte("identity")
)

// Identity identifies a data folder and the group for which it was initialised.
type Identity struct {
	Name string `msgpack:"n"`
	// Folder is a random ID, so a lost folder never returns under its old ID.
	Folder string `msgpack:"f"`
	// Members is empty if the replica joins a running group.
	Members Members `msgpack:"m"`
}

// SavedState is the state from which a replica starts.
type SavedState struct {
	Identity  Identity
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Store saves the state of a replica. Every method that writes returns only
// after a sync. After an error the replica stops, because the content of the
// disk is uncertain.
type Store interface {
	Load() (SavedState, error)
	// Save writes the state in r, including a received snapshot.
	Save(r Ready) error
	// WriteSnapshot writes a snapshot of this replica that isn't in use yet. It
	// may run concurrently with Save.
	WriteSnapshot(s Snapshot) error
	// UseSnapshot makes a written snapshot the start of the log.
	UseSnapshot(s Snapshot) error
}

// BoltStore is a Store in a bbolt file, with the data of each snapshot in a
// file of its own.
type BoltStore struct {
	db     *bolt.DB
	folder string
}

var _ Store = (*BoltStore)(nil)

// NewFolderID returns a random ID for a data folder.
func NewFolderID() (string, error) {
	random := make([]byte, 16)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "generate data folder ID")
	}
	return hex.EncodeToString(random), nil
}

// InitStore creates the replica file in a data folder. It returns an error if
// the folder already holds one.
func InitStore(folder, name string, members Members) error {
	id, err := NewFolderID()
	if err != nil {
		return err
	}
	return InitStoreAs(folder, Identity{Name: name, Folder: id, Members: members})
}

// InitStoreAs is InitStore for a data folder of which the ID was chosen before.
func InitStoreAs(folder string, id Identity) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Wrap(err, "create data folder")
	}
	path := filepath.Join(folder, storeFile)
	if _, err := os.Stat(path); err == nil {
		return errors.Errorf("%s exists: the data folder is initialised already", path)
	}
	// The file gets its final name only once it is complete.
	tempPath := path + ".new"
	if err := os.RemoveAll(tempPath); err != nil {
		return errors.Wrap(err, "remove unfinished replica file")
	}
	if err := writeIdentity(tempPath, id); err != nil {
		return err
	}
	if err := os.Rename(tempPath, path); err != nil {
		return errors.Wrap(err, "rename replica file")
	}
	return syncFolder(folder)
}

func writeIdentity(path string, id Identity) error {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return errors.Wrap(err, "create replica file")
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketLog} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		return putRecord(tx.Bucket(bucketMeta), keyIdentity, id)
	})
	if closeErr := db.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write replica file")
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "sync data folder")
}

// OpenStore opens the replica file in a data folder. It returns ErrNoData if
// the file is missing: a replica with an empty folder must never vote under its
// old name.
func OpenStore(folder string) (*BoltStore, error) {
	path := filepath.Join(folder, storeFile)
	if _, err := os.Stat(path); os.IsNotExist(err) {
		return nil, errors.WithStack(ErrNoData)
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", path)
	}
	return &BoltStore{db: db, folder: folder}, nil
}

// Close closes the replica file.
func (s *BoltStore) Close() error { return s.db.Close() }

// Load reads all records and verifies their checksums. It removes snapshot files that aren't in
// use.
func (s *BoltStore) Load() (SavedState, error) {
	var saved SavedState
	err := s.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil {
			return errors.WithStack(ErrNoData)
		}
		if _, err := getRecord(meta, keyIdentity, &saved.Identity); err != nil {
			return err
		}
		if _, err := getRecord(meta, keyHard, &saved.HardState); err != nil {
			return err
		}
		var snapshot Snapshot
		found, err := getRecord(meta, keySnapshot, &snapshot)
		if err != nil {
			return err
		}
		if found {
			saved.Snapshot = &snapshot
			if snapshot.Data, err = readSnapshotFile(s.folder, snapshot.Index); err != nil {
				return err
			}
		}
		return loadEntries(tx.Bucket(bucketLog), &saved)
	})
	if err == nil {
		err = s.removeUnused(saved)
	}
	return saved, errors.Wrap(err, "load replica file")
}

func (s *BoltStore) removeUnused(saved SavedState) error {
	if err := removeUnfinishedSnapshots(s.folder); err != nil {
		return err
	}
	current := uint64(0)
	if saved.Snapshot != nil {
		current = saved.Snapshot.Index
	}
	return removeSnapshotFiles(s.folder, current)
}

func loadEntries(log *bolt.Bucket, saved *SavedState) error {
	want := uint64(1)
	if saved.Snapshot != nil {
		want = saved.Snapshot.Index + 1
	}
	return log.ForEach(func(key, value []byte) error {
		var e Entry
		if err := decodeRecord(value, &e); err != nil {
			return errors.Wrapf(err, "log entry %x", key)
		}
		if e.Index != want {
			return errors.Errorf("gap in the log: found entry %d, expected %d", e.Index, want)
		}
		want++
		saved.Entries = append(saved.Entries, e)
		return nil
	})
}

// Save writes the state in r in one synced transaction.
func (s *BoltStore) Save(r Ready) error {
	if r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil {
		return nil
	}
	if r.Snapshot != nil {
		if err := s.WriteSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		if r.HardState != nil {
			if err := putRecord(tx.Bucket(bucketMeta), keyHard, *r.HardState); err != nil {
				return err
			}
		}
		if r.Snapshot != nil {
			if err := putSnapshot(tx, *r.Snapshot, true); err != nil {
				return err
			}
		}
		return putEntries(tx.Bucket(bucketLog), r.Entries)
	})
	if err == nil && r.Snapshot != nil {
		// A snapshot that is being written concurrently is older and won't be used.
		err = removeSnapshotFiles(s.folder, r.Snapshot.Index)
	}
	return errors.Wrap(err, "save replica state")
}

// WriteSnapshot writes the data of a snapshot to a file of its own.
func (s *BoltStore) WriteSnapshot(snapshot Snapshot) error {
	return writeSnapshotFile(s.folder, snapshot.Index, snapshot.Data)
}

// UseSnapshot replaces the log up to the index of the snapshot.
func (s *BoltStore) UseSnapshot(snapshot Snapshot) error {
	err := s.db.Update(func(tx *bolt.Tx) error { return putSnapshot(tx, snapshot, false) })
	if err != nil {
		return errors.Wrap(err, "use snapshot")
	}
	return removeSnapshotFiles(s.folder, snapshot.Index)
}

// putSnapshot records the snapshot from which the log starts, without its data.
// It deletes the entries that the snapshot covers, or all entries if wholeLog
// is set.
func putSnapshot(tx *bolt.Tx, snapshot Snapshot, wholeLog bool) error {
	snapshot.Data = nil
	if err := putRecord(tx.Bucket(bucketMeta), keySnapshot, snapshot); err != nil {
		return err
	}
	cursor := tx.Bucket(bucketLog).Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.Next() {
		if !wholeLog && binary.BigEndian.Uint64(key) > snapshot.Index {
			return nil
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func putEntries(log *bolt.Bucket, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteFrom(log, entries[0].Index); err != nil {
		return err
	}
	for _, e := range entries {
		if err := putRecord(log, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

func deleteFrom(log *bolt.Bucket, from uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.Last(); key != nil; key, _ = cursor.Last() {
		if binary.BigEndian.Uint64(key) < from {
			return nil
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putRecord(bucket *bolt.Bucket, key []byte, value any) error {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	record := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(data)), xxhash.Sum64(data))
	return bucket.Put(key, append(record, data...))
}

func getRecord(bucket *bolt.Bucket, key []byte, value any) (found bool, err error) {
	record := bucket.Get(key)
	if record == nil {
		return false, nil
	}
	return true, errors.Wrapf(decodeRecord(record, value), "record %s", key)
}

func decodeRecord(record []byte, value any) error {
	if len(record) < checksumBytes {
		return errors.New("record is truncated")
	}
	data := record[checksumBytes:]
	if binary.BigEndian.Uint64(record) != xxhash.Sum64(data) {
		return errors.New("checksum mismatch: the disk has damaged the record; run init --join and repair")
	}
	return errors.Wrap(msgpack.Unmarshal(data, value), "decode record")
}
