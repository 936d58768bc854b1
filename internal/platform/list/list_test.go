package list

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an odd entry that hides the instances that are leaving (issue 34).
func TestOddEntriesDoNotAffectOthers(t *testing.T) {
	for name, entry := range map[string]string{
		"another type": `{"name":7,"state":"leaving"}`, "null": `null`, "no name": `{"state":"leaving"}`, "unreadable bytes": "{\"name\":\"\x01\"}",
		"bytes that aren't UTF-8": "{\"name\":\"\xff\",\"state\":\"leaving\"}", "string without an end": `{"name":"x`,
		"deeply nested": strings.Repeat(`[`, 200_000) + strings.Repeat(`]`, 200_000),
	} {
		t.Run(name, func(t *testing.T) {
			d, err := Parse(strings.NewReader(`{"instances":[{"name":"a","state":"leaving"},` + entry + `,{"name":"b","state":"live"},{"name":"c","state":"leaving"}]}`))
			require.NoError(t, err)
			require.Equal(t, map[string]bool{"a": true, "c": true}, d.Leaving())
			require.Len(t, d.Instances, 3)
			require.Equal(t, 1, d.Invalid)
		})
	}
}

func TestDocumentWithoutAListIsAnError(t *testing.T) {
	for _, document := range []string{``, `[]`, `{}`, `{"instances":null}`, `{"instances":[`} {
		_, err := Parse(strings.NewReader(document))
		require.Error(t, err, document)
	}
}
