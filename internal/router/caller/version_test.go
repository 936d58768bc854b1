package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/placement"
)

// versionedBackend sends events whose data names its version. If it breaks, or the request
// says so, it aborts the stream after event 3.
func versionedBackend(version string, breaks bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Resume"))
		for id := after + 1; id <= 8; id++ {
			if (breaks || r.Header.Get("Break") != "") && id > 3 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(id)+"\ndata: "+version+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// memoryStreams holds the records of one router, or of several that share them.
type memoryStreams struct {
	versions sync.Map
	// sole is the only version at which streams began, empty if the history can't be read.
	sole string
}

var _ Streams = (*memoryStreams)(nil)

func (m *memoryStreams) Began(_ time.Time, request string, version placement.VersionKey) {
	m.versions.Store(request, version)
}

func (m *memoryStreams) Version(_ context.Context, _ time.Time, request string) (placement.VersionKey, bool) {
	version, ok := m.versions.Load(request)
	if !ok {
		return 0, false
	}
	return version.(placement.VersionKey), true
}

// SoleVersion returns the field sole.
func (m *memoryStreams) SoleVersion(_ context.Context, service string) (placement.VersionKey, bool) {
	return placement.Server{Service: service, Version: m.sole}.VersionKey(), m.sole != ""
}

// setVersions lists the servers with these versions. A server without one isn't listed.
func (router *testRouter) setVersions(versions ...string) {
	var servers []placement.Server
	for i, version := range versions {
		if version != "" {
			server := router.servers[i]
			server.Version = version
			servers = append(servers, server)
		}
	}
	now := time.Now()
	router.table.SetList(now, now, servers)
}

// resume calls like a caller that has received events up to after in the attempt first.
func (router *testRouter) resume(first, after string) (int, string, error) {
	request := router.request(context.Background(), "/resumable/x")
	request.Header.Set("Id", "r2")
	request.Header.Set("Resumes", first)
	request.Header.Set("Resume", after)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// failFirst fails the first request that any of its servers receives.
func failFirst(fail http.HandlerFunc, backends ...http.HandlerFunc) []http.HandlerFunc {
	failed := new(atomic.Bool)
	failing := make([]http.HandlerFunc, len(backends))
	for i, backend := range backends {
		failing[i] = func(w http.ResponseWriter, r *http.Request) {
			if failed.CompareAndSwap(false, true) {
				if fail != nil {
					fail(w, r)
					return
				}
				r.Header.Set("Break", "yes")
			}
			backend(w, r)
		}
	}
	return failing
}

func TestBrokenStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	v1, v2, v3 := versionedBackend("v1", false), versionedBackend("v2", false), versionedBackend("v3", false)
	t.Run("no other server of the version", func(t *testing.T) {
		router := newTestRouter(t, failFirst(nil, v1, v2, v3)...)
		router.setVersions("v1", "v2", "v3")
		status, body, err := router.call("/resumable/x")
		require.Error(t, err, "the stream is broken visibly")
		require.Equal(t, http.StatusOK, status)
		require.Len(t, versionsIn(body), 1, body)
		require.Equal(t, 1, router.totalReceived())
	})
	t.Run("another server of the version", func(t *testing.T) {
		router := newTestRouter(t, failFirst(nil, v1, v2, v1, v2)...)
		router.setVersions("v1", "v2", "v1", "v2")
		status, body, err := router.call("/resumable/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, versionsIn(body), 1, body)
		require.Equal(t, 8, strings.Count(body, "id:"))
		require.Equal(t, 2, router.totalReceived())
	})
}

// versionsIn returns the versions of the events in a body.
func versionsIn(body string) []string {
	var versions []string
	for _, version := range []string{"v1", "v2", "v3"} {
		if strings.Contains(body, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

func TestCallerResumesAStreamOnlyAtItsVersion(t *testing.T) {
	router := newTestRouter(t, versionedBackend("v1", true), versionedBackend("v2", false))
	router.setVersions("v1", "")
	status, body, err := router.call("/resumable/x")
	require.Error(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "v1")

	router.setVersions("", "v2")
	status, body, err = router.resume("r1", "3")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Zero(t, router.received[1].Load(), "no server of v1 is left")
}

func TestStreamMayMoveToAnotherVersionBeforeItsFirstEvent(t *testing.T) {
	router := newTestRouter(t, failFirst(resetConnection, versionedBackend("v1", false), versionedBackend("v2", false))...)
	router.setVersions("v1", "v2")
	status, body, err := router.call("/resumable/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, versionsIn(body), 1, body)
	require.Equal(t, 2, router.totalReceived())
	version, ok := router.streams.Version(t.Context(), time.Now(), "r1")
	require.True(t, ok)
	require.Equal(t, placement.Server{Service: "desk", Version: versionsIn(body)[0]}.VersionKey(), version)
}

func TestResumedStream(t *testing.T) {
	tests := []struct {
		name string
		// listed are the versions of the servers, and before those listed earlier.
		before, listed []string
		resumes        string
		status         int
		body           string
	}{
		{"known", nil, []string{"v1", "v2"}, "first", 200, "id: 8\ndata: v1\n\n"},
		{"known, begun at the other version", nil, []string{"v2", "v1"}, "first", 200, "id: 8\ndata: v1\n\n"},
		{"known, only its version is left", []string{"v1", "v2"}, []string{"v1"}, "first", 200, "id: 8\ndata: v1\n\n"},
		{"known, its version is gone", []string{"v1", "v2"}, []string{"", "v2"}, "first", 503, "version-gone"},
		{"unknown, one version", nil, []string{"v1", "v1"}, "other", 200, "id: 8\ndata: v1\n\n"},
		{"unnamed, one version", nil, []string{"v1", "v1"}, "", 200, "id: 8\ndata: v1\n\n"},
		{"unknown, two versions", nil, []string{"v1", "v2"}, "other", 503, "unknown-stream"},
		{"unnamed, two versions", nil, []string{"v1", "v2"}, "", 503, "unknown-stream"},
		{"unknown, the other version has just left", []string{"v1", "v2"}, []string{"", "v2"}, "other", 503, "unknown-stream"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			versions := test.before
			if versions == nil {
				versions = test.listed
			}
			var backends []http.HandlerFunc
			for _, version := range versions {
				backends = append(backends, versionedBackend(version, false))
			}
			router := newTestRouter(t, backends...)
			router.setVersions(versions...)
			router.setVersions(test.listed...)
			router.streams.Began(time.Now(), "first", placement.Server{Service: "desk", Version: "v1"}.VersionKey())
			status, body, err := router.resume(test.resumes, "7")
			require.NoError(t, err)
			require.Equal(t, test.status, status, body)
			require.Equal(t, test.body, body)
			if status != http.StatusOK {
				require.Zero(t, router.totalReceived(), "a refused request isn't run")
			}
		})
	}
}

func TestOnlyNewResumableStreamsNeedANotedVersion(t *testing.T) {
	router := newTestRouter(t, versionedBackend("v1", false))
	router.servers[0].Noted, router.servers[0].ID = false, "new"
	router.setVersions("v1")
	router.streams.Began(time.Now(), "first", router.servers[0].VersionKey())
	status, body, err := router.call("/resumable/x")
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Equal(t, "no-server", body)
	for _, path := range []string{"/stream/x", "/once/x"} {
		status, _, err = router.call(path)
		require.NoError(t, err)
		require.Equal(t, 200, status, path)
	}
	status, _, err = router.resume("first", "7")
	require.NoError(t, err)
	require.Equal(t, 200, status)
}

func TestUnknownStreamIsRefusedWithoutAHistory(t *testing.T) {
	router := newTestRouter(t, versionedBackend("v1", false))
	status, body, err := router.resume("other", "7")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
	router.streams.sole = ""
	status, body, err = router.resume("other", "7")
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Equal(t, "unknown-stream", body)
	require.EqualValues(t, 1, router.totalReceived())
}

// The sole version in the history isn't the one in the list.
func TestUnknownStreamGoesOnOnlyAtTheSoleVersion(t *testing.T) {
	router := newTestRouter(t, versionedBackend("v1", false))
	router.streams.sole = "v0"
	status, body, err := router.resume("other", "7")
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Equal(t, "version-gone", body)
	require.Zero(t, router.totalReceived())
}

// The pause is longer than the time after which a stream moves to another server.
func TestPausedStreamGoesOnWithoutAnotherServer(t *testing.T) {
	pausing := func(w http.ResponseWriter, r *http.Request) {
		sendEvents(w, r, 1, 1)
		time.Sleep(2 * minSilence)
		sendEvents(w, r, 2, 3)
	}
	router := newTestRouter(t, pausing, pausing)
	router.setVersions("v1", "v2")
	status, body, err := router.call("/resumable/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, eventText(1, 3), body)
	require.Equal(t, 1, router.totalReceived())
}
