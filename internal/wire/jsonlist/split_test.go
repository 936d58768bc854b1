package jsonlist

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSplit(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 100_000)
	tests := []struct {
		name, list string
		entries    []string
		damaged    int
	}{
		{"empty", `[]`, nil, 0},
		{"empty with spaces", "[ \n]", nil, 0},
		{"one", `[{"id":1}]`, []string{`{"id":1}`}, 0},
		{"several types", `[ {"id":1} , null,"a]b", 7 ,[1,[2]],true]`, []string{`{"id":1}`, `null`, `"a]b"`, `7`, `[1,[2]]`, `true`}, 0},
		{"brackets and quotes in strings", `[{"id":"},{\"]["},{"id":2}]`, []string{`{"id":"},{\"]["}`, `{"id":2}`}, 0},
		{"unreadable bytes", "[{\"id\":\"\x01\x02\xff\xfe\"},{\"id\":2}]", []string{"{\"id\":\"\x01\x02\xff\xfe\"}", `{"id":2}`}, 0},
		{"deeply nested", `[` + deep + strings.Repeat(`]}`, 100_000) + `,{"id":2}]`, []string{deep + strings.Repeat(`]}`, 100_000), `{"id":2}`}, 0},
		{"deeply nested without an end", `[{"id":1},` + deep + `,{"id":2}]`, []string{`{"id":1}`, `{"id":2}`}, 1},
		{"string without an end", `[{"id":"a},{"id":2},{"id":3}]`, []string{`{"id":2}`, `{"id":3}`}, 1},
		{"quote too many", `[{"id":1},{"id":"a"b"},{"id":3}]`, []string{`{"id":1}`, `{"id":3}`}, 1},
		{"brackets that don't match", `[{"id":[1}},{"id":2}]`, []string{`{"id":2}`}, 1},
		{"bracket too many", `[{"id":1}},{"id":2}]`, []string{`{"id":2}`}, 1},
		{"many levels without an end", `[{"x":[1` + strings.Repeat(`,{"a":[`, 100) + `,{"id":2}]`, []string{`{"id":2}`}, 1},
		{"nothing", `[,{"id":2}]`, []string{`{"id":2}`}, 1},
		{"last one damaged", `[{"id":1},{"id":"a]`, []string{`{"id":1}`}, 1},
		{"all damaged", `[{"id":"a]`, nil, 1},
	}
	for _, test := range tests {
		for name, document := range map[string][2]string{
			"first": {`{"list":` + test.list + `,"next":"p","more":{"list":[1]}}`, `{"list":[],"next":"p","more":{"list":[1]}}`},
			"last":  {` {"more":[2], "list": ` + test.list + "}\n", ` {"more":[2], "list": []}` + "\n"},
		} {
			if test.damaged > 0 && name == "first" {
				// A closing bracket of another field can't be told from that of the list then.
				document = [2]string{`{"list":` + test.list + `,"next":"p"}`, `{"list":[],"next":"p"}`}
			}
			t.Run(test.name+" "+name, func(t *testing.T) {
				split, err := Split([]byte(document[0]), "list")
				require.NoError(t, err)
				var entries []string
				for _, entry := range split.Entries {
					entries = append(entries, string(entry))
				}
				require.Equal(t, test.entries, entries)
				require.Equal(t, test.damaged, split.Damaged)
				require.JSONEq(t, document[1], string(split.Rest))
			})
		}
	}
}

func TestSplitRejectsDocumentsWithoutAList(t *testing.T) {
	for _, document := range []string{``, `[]`, `{}`, `{"other":[]}`, `{"list":null}`, `{"list":{}}`, `{"list":[`, `{"list":[{"id":1}`, `{"list":[{"id":"a}`, "{\"a\":\"\x01\",\"list\":[]}"} {
		_, err := Split([]byte(document), "list")
		require.Error(t, err, document)
	}
}

// Without a limit, each of the candidates would be scanned to the end of the document.
func TestSplitLimitsTheWorkOfRecovery(t *testing.T) {
	_, err := Split([]byte(`{"list":[`+strings.Repeat(`,{"a":[`, 200_000)+`]}`), "list")
	require.ErrorIs(t, err, errTooDamaged)
}

// Valid documents are split as encoding/json does.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`{"list":[{"id":1},[],"\"",null],"next":"p"}`, `{"a":{"list":[1]},"list":[ 2 ]}`, `{"list":[{"id":"a},{"id":2}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		split, err := Split(document, "list")
		var want map[string]json.RawMessage
		if json.Unmarshal(document, &want) != nil {
			return
		}
		var list []json.RawMessage
		if json.Unmarshal(want["list"], &list) != nil || list == nil {
			return
		}
		// A field may occur twice. The first one counts here and the last one there.
		if err != nil || strings.Count(string(document), "list") > 1 || strings.Contains(string(document), `\u`) {
			return
		}
		require.Len(t, split.Entries, len(list))
		for i, entry := range list {
			require.JSONEq(t, string(entry), string(split.Entries[i]))
		}
		require.Zero(t, split.Damaged)
		require.True(t, json.Valid(split.Rest))
	})
}

func TestOpenEnd(t *testing.T) {
	for list, open := range map[string]bool{
		`[]`: false, `[{"id":1}]`: false, `[{"id":"a},{"id":2}]`: false, `[{"id":1},{"id":"a]`: true, `[{"id":[1]`: true, `[{"id":"a},{"id":2},{"id":[3]`: true,
	} {
		split, err := Split([]byte(`{"list":`+list+`}`), "list")
		require.NoError(t, err, list)
		require.Equal(t, open, split.OpenEnd, list)
	}
}

// A document without its end may lack fields after the list.
func TestSplitRejectsDocumentsWithoutAnEnd(t *testing.T) {
	for _, document := range []string{`{"list":[]`, `{"list":[{"id":1}],`, `{"list":[],"next":"p`, `{"list":[],"next":"p"`} {
		_, err := Split([]byte(document), "list")
		require.Error(t, err, document)
	}
}
