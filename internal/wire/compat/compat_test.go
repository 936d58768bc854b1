// Package compat tests that this build reads what earlier builds wrote. gob and
// msgpack write untagged struct fields under their Go names, so a renamed field would
// silently be read as empty.
package compat

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"expvar"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/router/peer"
	_ "bronzerill/internal/run/router" // publishes the router's metrics
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// add writes the records of new message types. Records of released messages never
// change.
var add = flag.Bool("add", false, "add the messages and metrics that testdata lacks")

// rpcMessages are sent over net/rpc, which encodes them with gob.
var rpcMessages = map[string]any{
	"control.RenewRequest":       control.RenewRequest{},
	"control.RenewReply":         control.RenewReply{},
	"control.RegisterRequest":    control.RegisterRequest{},
	"control.RegisterRequest.2":  control.RegisterRequest{},
	"control.RegisterReply":      control.RegisterReply{},
	"control.ClaimRequest":       control.ClaimRequest{},
	"control.ClaimReply":         control.ClaimReply{},
	"control.FinishRequest":      control.FinishRequest{},
	"control.ReleaseRequest":     control.ReleaseRequest{},
	"control.MarkUnknownRequest": control.MarkUnknownRequest{},
	"control.CrashRequest":       control.CrashRequest{},
	"control.GoneRequest":        control.GoneRequest{},
	"control.RevisionReply":      control.RevisionReply{},
	"control.InForceRequest":     control.InForceRequest{},
	"control.InForceReply":       control.InForceReply{},
	"control.TrialRequest":       control.TrialRequest{},
	"control.VerdictRequest":     control.VerdictRequest{},
	"control.AckReply":           control.AckReply{},
	"replica.Batch":              replica.Batch{},
	"neighbour.StateRequest":     peer.StateRequest{},
	"neighbour.StateReply":       peer.StateReply{},
	"neighbour.DiskRequest":      peer.DiskRequest{},
	"neighbour.DiskReply":        peer.DiskReply{},
	"neighbour.ListReply":        peer.ListReply{},
	"neighbour.ListReply.2":      peer.ListReply{},
	"neighbour.ProposeRequest":   peer.ProposeRequest{},
	"neighbour.ProposeRequest.2": peer.ProposeRequest{},
	"neighbour.ProposeReply":     peer.ProposeReply{},
	"neighbour.ReadRequest":      peer.ReadRequest{},
	"neighbour.ReadRequest.2":    peer.ReadRequest{},
	"neighbour.ReadReply":        peer.ReadReply{},
	"neighbour.ReadReply.2":      peer.ReadReply{},
	"neighbour.JoinRequest":      peer.JoinRequest{},
	"neighbour.JoinReply":        peer.JoinReply{},
	"neighbour.LeaveRequest":     peer.LeaveRequest{},
	"neighbour.LeaveReply":       peer.LeaveReply{},
	"neighbour.DirectoryReply":   peer.DirectoryReply{},
	"neighbour.StreamRequest":    peer.StreamRequest{},
	"neighbour.StreamReply":      peer.StreamReply{},
	"neighbour.VersionsReply":    peer.VersionsReply{},
	"neighbour.ListReply.3":      peer.ListReply{},
	"neighbour.StateReply.2":     peer.StateReply{},
	"neighbour.FoundRequest":     peer.BootstrapRequest{},
	"neighbour.FoundRequest.2":   peer.BootstrapRequest{},
	"neighbour.FoundReply":       peer.BootstrapReply{},
	"neighbour.FoundReply.2":     peer.BootstrapReply{},
}

// packedMessages are stored, or sent in other ways, as msgpack.
var packedMessages = map[string]any{
	"state.Command":      state.Command{},
	"state.Command.2":    state.Command{},
	"state.Record":       state.Record{},
	"replica.Entry":      replica.Entry{},
	"replica.Snapshot":   replica.Snapshot{},
	"replica.HardState":  replica.HardState{},
	"replica.Identity":   replica.Identity{},
	"replica.Members":    replica.Members{},
	"neighbour.Digest":   peer.Digest{},
	"neighbour.Digest.2": peer.Digest{},
	"neighbour.Digest+":  peer.Extension{},
	"neighbour.Digest+2": peer.Extension{},
	"neighbour.Digest+3": peer.Extension{},
	"neighbour.Digest+4": peer.Extension{},
	"exchange.Open":      exchange.Open{},
	"exchange.Frame":     exchange.Frame{},
	"bronzerill.Delta":   bronzerill.Delta{},
	"bronzerill.Outcome": bronzerill.Outcome{},
}

// laterFields clears the fields that a message got after it was recorded under a name. A
// build that has them reads the record without them.
var laterFields = map[string]func(message any){
	"neighbour.Digest": func(message any) {
		for i := range message.(*peer.Digest).Suspects {
			suspect := &message.(*peer.Digest).Suspects[i]
			suspect.Answered, suspect.Exposures = 0, nil
		}
		message.(*peer.Digest).Extension = peer.Extension{}
	},
	"control.RegisterRequest":  func(message any) { message.(*control.RegisterRequest).Process = "" },
	"neighbour.ProposeRequest": func(message any) { message.(*peer.ProposeRequest).Base = peer.ZoneRevision{} },
	"neighbour.FoundRequest":   func(message any) { message.(*peer.BootstrapRequest).Folder = "" },
	"neighbour.FoundReply":     func(message any) { *message.(*peer.BootstrapReply) = peer.BootstrapReply{Granted: true} },
	"neighbour.ReadRequest":    func(message any) { message.(*peer.ReadRequest).Zone = "" },
	"neighbour.ReadReply":      func(message any) { message.(*peer.ReadReply).ZoneRevision = peer.ZoneRevision{} },
	"neighbour.StateReply":     func(message any) { message.(*peer.StateReply).Versions = nil },
	"neighbour.ListReply": func(message any) {
		for i := range message.(*peer.ListReply).Servers {
			message.(*peer.ListReply).Servers[i].Version = ""
			message.(*peer.ListReply).Servers[i].Noted = false
		}
	},
	"neighbour.ListReply.2": func(message any) {
		for i := range message.(*peer.ListReply).Servers {
			message.(*peer.ListReply).Servers[i].Noted = false
		}
	},
	"state.Command": func(message any) {
		message.(*state.Command).NoteVersions, message.(*state.Command).ForgetVersion = nil, nil
	},
	"neighbour.Digest+": func(message any) {
		e := message.(*peer.Extension)
		e.Routers, e.MixedServices, e.Backoffs = 0, nil, nil
	},
	"neighbour.Digest+2": func(message any) {
		e := message.(*peer.Extension)
		e.MixedServices, e.Backoffs = nil, nil
	},
	"neighbour.Digest+3": func(message any) { message.(*peer.Extension).Backoffs = nil },
	"neighbour.Digest.2": func(message any) { message.(*peer.Digest).Extension = peer.Extension{} },
}

func TestMessagesOfEarlierBuilds(t *testing.T) {
	t.Run("gob", func(t *testing.T) {
		testMessages(t, "gob.txt", rpcMessages, encodeGob, func(data []byte, value any) error {
			return gob.NewDecoder(bytes.NewReader(data)).Decode(value)
		})
	})
	t.Run("msgpack", func(t *testing.T) {
		testMessages(t, "msgpack.txt", packedMessages, msgpack.Marshal, msgpack.Unmarshal)
	})
}

func testMessages(t *testing.T, file string, messages map[string]any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	records := readRecords(t, file)
	for name, message := range messages {
		want := reflect.New(reflect.TypeOf(message))
		fill(want.Elem())
		if clearLater, ok := laterFields[name]; ok {
			clearLater(want.Interface())
		}
		if _, ok := records[name]; !ok && *add {
			data, err := encode(want.Interface())
			require.NoError(t, err)
			records[name] = base64.StdEncoding.EncodeToString(data)
		}
		t.Run(name, func(t *testing.T) {
			_, recorded := records[name]
			require.True(t, recorded, "run the test with -add after adding a message")
			data, err := base64.StdEncoding.DecodeString(records[name])
			require.NoError(t, err)
			got := reflect.New(reflect.TypeOf(message))
			require.NoError(t, decode(data, got.Interface()))
			require.Equal(t, want.Interface(), got.Interface())
		})
	}
	require.Len(t, records, len(messages))
	if *add {
		writeRecords(t, file, records)
	}
}

func encodeGob(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}

var timeType = reflect.TypeOf(time.Time{})

// fill sets every exported field to a value that isn't zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		if v.Type() == timeType {
			v.Set(reflect.ValueOf(time.Unix(1_700_000_000, 0)))
			return
		}
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("value")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1)
	default:
		panic("no value for " + v.Type().String())
	}
}

func TestMetricNames(t *testing.T) {
	var names []string
	expvar.Do(func(v expvar.KeyValue) { names = append(names, v.Key) })
	slices.Sort(names)
	path := filepath.Join("testdata", "metrics.txt")
	if *add {
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(names, "\n")+"\n"), 0o600))
	}
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, strings.Fields(string(data)), names)
}

func readRecords(t *testing.T, file string) map[string]string {
	records := make(map[string]string)
	f, err := os.Open(filepath.Join("testdata", file))
	if os.IsNotExist(err) {
		return records
	}
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		name, record, _ := strings.Cut(lines.Text(), " ")
		records[name] = record
	}
	require.NoError(t, lines.Err())
	return records
}

func writeRecords(t *testing.T, file string, records map[string]string) {
	var text strings.Builder
	names := make([]string, 0, len(records))
	for name := range records {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&text, "%s %s\n", name, records[name])
	}
	require.NoError(t, os.WriteFile(filepath.Join("testdata", file), []byte(text.String()), 0o600))
}
