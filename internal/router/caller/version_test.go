package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/placement"
)

// versionedBackend sends events whose data names its version. If it breaks, it aborts each
// stream after event 3.
func versionedBackend(version string, breaks bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Resume"))
		for id := after + 1; id <= 8; id++ {
			if breaks && id > 3 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(id)+"\ndata: "+version+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	}
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

func TestBrokenStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	router := newTestRouter(t, versionedBackend("v1", true), versionedBackend("v2", false), versionedBackend("v2", false))
	router.setVersions("v1", "v2", "v2")
	for range 40 {
		status, body, err := router.call("/resumable/x")
		require.Equal(t, http.StatusOK, status)
		if err != nil {
			require.NotContains(t, body, "v2", "a stream of v1 is broken visibly")
			require.Contains(t, body, "v1")
		} else {
			require.NotContains(t, body, "v1", "a whole stream of v2")
		}
	}
	require.Positive(t, router.received[0].Load())
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
