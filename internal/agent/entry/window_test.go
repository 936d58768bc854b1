package entry

import (
	"bytes"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// readAll reads a response as an entry does.
func readAll(r *response) ([]byte, error) {
	reader := r.addReader(0)
	defer r.removeReader(now)
	var data []byte
	for {
		frames, last, changed := r.framesFrom(int64(len(data)), true)
		for _, f := range frames {
			if len(f.Data) > frameBytes {
				return nil, errors.Errorf("frame of %d bytes", len(f.Data))
			}
			if f.Failure != nil {
				return nil, errors.Errorf("%v", f.Failure)
			}
			data = append(data, f.Data...)
		}
		if last {
			return data, nil
		}
		r.recordRead(reader, int64(len(data)))
		<-changed
	}
}

// Guards against responses that entries are slow to read, and that together take more memory than there is (issue 52).
func TestWindowsFitTheirMemory(t *testing.T) {
	const responses, size = 100, 300_000
	want := bytes.Repeat([]byte("0123456789"), size/10)
	tab := newTable(1 << 20)
	var group errgroup.Group
	for n := range responses {
		r := newResponse(id(n), now, tab.windows, func() {})
		tab.add(r)
		r.WriteHead(200, "", false, false)
		group.Go(func() error {
			_, err := r.Write(want)
			r.close(now, err)
			tab.finish(now, r)
			return err
		})
	}
	all := make([]*response, 0, responses)
	for _, r := range tab.responses {
		all = append(all, r)
	}
	held := func() (sum int) {
		for _, r := range all {
			sum += r.size()
		}
		return sum
	}
	waiting := func() bool {
		for _, r := range all {
			if r.size() < minWindowBytes {
				return false
			}
		}
		return true
	}
	require.Eventually(t, waiting, 10*time.Second, time.Millisecond, "each has some of it")
	require.LessOrEqual(t, held(), 1<<20+responses*minWindowBytes)
	for _, r := range all {
		group.Go(func() error {
			data, err := readAll(r)
			if err == nil && !bytes.Equal(want, data) {
				return errors.Errorf("%d other bytes", len(data))
			}
			return err
		})
	}
	require.NoError(t, group.Wait())
	require.LessOrEqual(t, tab.retainedBytes, 1<<20)
	tab.expire(now.Add(time.Hour))
	require.Zero(t, tab.windows.Used())
	require.Empty(t, tab.responses)
}
