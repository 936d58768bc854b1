package exchange

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
)

var (
	own   = ID{Request: "r1", Attempt: "1"}
	other = ID{Request: "r2", Attempt: "1"}
)

func head(id ID) Frame              { return Frame{Type: FrameHead, Head: &Head{ID: id, Status: 200}} }
func data(at int64, s string) Frame { return Frame{Type: FrameData, Offset: at, Data: []byte(s)} }
func end(id ID, text string) Frame {
	return Frame{Type: FrameEnd, End: &End{ID: id, Bytes: int64(len(text)), Sum: xxhash.Sum64String(text)}}
}

func TestChecker(t *testing.T) {
	cases := []struct {
		name   string
		frames []Frame
		want   bronzerill.Kind
		text   string
	}{
		{"complete", []Frame{head(own), data(0, "ab"), {Type: FrameKeepAlive}, data(2, "c"), end(own, "abc")}, bronzerill.KindNone, "abc"},
		{"empty", []Frame{head(own), end(own, "")}, bronzerill.KindNone, ""},
		{"resumed with an overlap", []Frame{head(own), data(0, "ab"), head(own), data(0, "ab"), data(1, "bc"), end(own, "abc")}, bronzerill.KindNone, "abc"},
		{"another request's head", []Frame{head(other)}, bronzerill.KindCrossed, ""},
		{"another request's end", []Frame{head(own), data(0, "ab"), end(other, "ab")}, bronzerill.KindCrossed, "ab"},
		{"head with an invalid status", []Frame{{Type: FrameHead, Head: &Head{ID: own}}}, bronzerill.KindServerFailed, ""},
		{"head with an interim status", []Frame{{Type: FrameHead, Head: &Head{ID: own, Status: 100}}}, bronzerill.KindServerFailed, ""},
		{"head with a status beyond HTTP", []Frame{{Type: FrameHead, Head: &Head{ID: own, Status: 600}}}, bronzerill.KindServerFailed, ""},
		{"gap", []Frame{head(own), data(0, "ab"), data(3, "d")}, bronzerill.KindTruncated, "ab"},
		{"end too early", []Frame{head(own), data(0, "ab"), end(own, "abc")}, bronzerill.KindTruncated, "ab"},
		{"end before the head", []Frame{end(own, "")}, bronzerill.KindTruncated, ""},
		{"data before the head", []Frame{data(0, "ab")}, bronzerill.KindTruncated, ""},
		{"wrong checksum", []Frame{head(own), data(0, "xy"), end(own, "ab")}, bronzerill.KindCrossed, "xy"},
		{"failure", []Frame{head(own), {Type: FrameFailure, Failure: &Failure{Kind: bronzerill.KindServerFailed}}}, bronzerill.KindServerFailed, ""},
		{"failure without a failure", []Frame{{Type: FrameFailure}}, bronzerill.KindInternal, ""},
		{"unknown frame", []Frame{{Type: 99}}, bronzerill.KindInternal, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewChecker(own)
			var text bytes.Buffer
			var err error
			for _, f := range c.frames {
				var part []byte
				if part, err = checker.Check(&f); err != nil {
					break
				}
				text.Write(part)
			}
			assert.Equal(t, c.want.String(), bronzerill.KindOf(err).String())
			assert.Equal(t, c.text, text.String())
		})
	}
}

func TestDecodeOpen(t *testing.T) {
	encode := func(open Open) []byte {
		var b bytes.Buffer
		require.NoError(t, NewEncoder(&b).Encode(&open))
		return b.Bytes()
	}
	good := Open{ID: own, Pool: "bronze-guides", Body: []byte("{}")}
	open, err := DecodeOpen(bytes.NewReader(encode(good)))
	require.NoError(t, err)
	assert.Equal(t, good, open)

	cases := []struct {
		name string
		data []byte
		want bronzerill.Kind
	}{
		{"empty", nil, bronzerill.KindBadRequest},
		{"garbage", []byte("\xff\xff\xff"), bronzerill.KindBadRequest},
		{"truncated", encode(good)[:10], bronzerill.KindBadRequest},
		{"no id", encode(Open{Body: []byte("{}")}), bronzerill.KindBadRequest},
		{"priority out of range", encode(Open{ID: own, Priority: 9}), bronzerill.KindBadRequest},
		{"body too large", encode(Open{ID: own, Body: make([]byte, MaxBodyBytes+1)}), bronzerill.KindBodyTooLarge},
		{"message too large", encode(Open{ID: own, Body: make([]byte, 2*MaxBodyBytes)}), bronzerill.KindBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeOpen(bytes.NewReader(c.data))
			assert.Equal(t, c.want.String(), bronzerill.KindOf(err).String())
		})
	}
}

func FuzzDecodeOpen(f *testing.F) {
	var b bytes.Buffer
	_ = NewEncoder(&b).Encode(&Open{ID: own, Body: []byte("{}")})
	f.Add(b.Bytes())
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeOpen(bytes.NewReader(data)) })
}
