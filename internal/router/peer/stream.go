package peer

import (
	"encoding/binary"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"bronzerill/internal/router/placement"
)

// StreamKey is a hash of the ID of the caller's attempt with which a stream began.
type StreamKey uint64

// StreamKeyOf returns the key of the stream that began with an attempt.
func StreamKeyOf(request string) StreamKey { return StreamKey(xxhash.Sum64String(request)) }

// StreamRecord states at which version a stream began. It never changes.
type StreamRecord struct {
	Stream  StreamKey
	Version placement.VersionKey
}

// Parameters of stream records.
const (
	// StreamHolders is the number of peers that get each record. With the router that the
	// caller is connected to, all of them must fail for a stream to become unknown.
	StreamHolders = 3
	// StreamCandidates is the number of peers that are asked for a record. It is higher,
	// since routers that have come back rank among the holders but lost their records.
	StreamCandidates = 6
	// maxStreams limits the records of one router. At 58 streams a second it covers
	// several minutes.
	maxStreams = 1 << 16
	// streamRecordMark is the first byte of a datagram with a record. No digest begins
	// with it, because msgpack doesn't use it.
	streamRecordMark = 0xc1
	streamRecordSize = 1 + 8 + 4
)

func (r StreamRecord) encode() []byte {
	data := make([]byte, 0, streamRecordSize)
	data = append(data, streamRecordMark)
	data = binary.BigEndian.AppendUint64(data, uint64(r.Stream))
	return binary.BigEndian.AppendUint32(data, uint32(r.Version))
}

// decodeStreamRecord decodes a datagram. It returns false if that holds no record.
func decodeStreamRecord(data []byte) (StreamRecord, bool) {
	if len(data) != streamRecordSize || data[0] != streamRecordMark {
		return StreamRecord{}, false
	}
	r := StreamRecord{
		Stream:  StreamKey(binary.BigEndian.Uint64(data[1:])),
		Version: placement.VersionKey(binary.BigEndian.Uint32(data[9:])),
	}
	return r, r.Version != 0
}

// StreamTable holds the newest records. It is safe for concurrent use.
type StreamTable struct {
	mu      sync.Mutex
	records *lru.Cache[StreamKey, placement.VersionKey]
}

// NewStreamTable returns an empty table.
func NewStreamTable() *StreamTable {
	// The size is above 0, so no error is possible.
	records, _ := lru.New[StreamKey, placement.VersionKey](maxStreams)
	return &StreamTable{records: records}
}

// Add adds a record, unless one of the same stream is known.
func (t *StreamTable) Add(r StreamRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.records.Contains(r.Stream) {
		t.records.Add(r.Stream, r.Version)
	}
}

// Version returns the version at which a stream began, if it is known.
func (t *StreamTable) Version(stream StreamKey) (placement.VersionKey, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Get(stream)
}

// Holders returns the addresses of at most limit live peers for a stream, by rendezvous
// hash. Peers of earlier builds hold no records.
func (t *Table) Holders(now time.Time, stream StreamKey, limit int) []string {
	type holder struct {
		addr string
		rank float64
	}
	t.mu.Lock()
	var holders []holder
	for name, p := range t.peers {
		if p.routers > 0 && now.Sub(p.digestAt) < aliveTimeout {
			holders = append(holders, holder{p.Addr, placement.Rendezvous(uint64(stream), name)})
		}
	}
	t.mu.Unlock()
	sort.Slice(holders, func(i, j int) bool { return holders[i].rank > holders[j].rank })
	addrs := make([]string, min(limit, len(holders)))
	for i := range addrs {
		addrs[i] = holders[i].addr
	}
	return addrs
}
