package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzerill/platform/standin"
)

// A crowd of clients that don't behave.
const (
	crowdTime = 3 * time.Second
	// crowdClients is how many clients there are.
	crowdClients = 750
	// crowdPause is how long a client waits before it connects again.
	crowdPause = 50 * time.Millisecond
	// crowdBody is the largest body that they send, and ordinaryBody the body of the requests that must be served meanwhile.
	crowdBody, ordinaryBody = 4 << 20, 256 << 10
	// crowdDescriptors is how many descriptors a router may have open, and maxCrowdDescriptors how many it may have open
	// beside a crowd.
	crowdDescriptors, maxCrowdDescriptors = 600, 450
	// crowdPrefix begins the IDs of requests that are never finished.
	crowdPrefix = "crowd-"
)

// crowdRequest returns what a client sends on a connection. whole is set if that is a whole request. Its response isn't read.
func crowdRequest(random *rand.Rand, id string) (text string, whole bool) {
	filler := strings.Repeat("x", random.IntN(crowdBody))
	head := "POST /once/x HTTP/1.1\r\nHost: h\r\n" + standin.IDField(crowdPrefix+id)
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	stream := "POST /resumable/" + id + " HTTP/1.1\r\nHost: h\r\n" + standin.IDField(id) + "Content-Length: 1\r\n\r\n1"
	switch random.IntN(13) {
	case 0:
		return "", false
	case 1:
		return head + strings.Repeat(fmt.Sprintf("%x:\r\n", random.IntN(1<<20)), 5000), false
	case 2:
		return head + "Content-Length: 1073741824\r\n\r\n" + filler, false
	case 3:
		return fmt.Sprintf("%s%x\r\n%s", chunks, len(filler)+1, filler), false
	case 4:
		return chunks + strings.Repeat("1\r\nx\r\n", len(filler)/8), false
	case 5:
		return chunks + strings.Repeat("1;"+strings.Repeat("e", 20)+"\r\nx\r\n", len(filler)/64), false
	case 6:
		return chunks + strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 160), false
	case 7:
		return stream, true
	case 8:
		return stream + filler, true
	case 9:
		return "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123", false
	case 10:
		return head + "Expect: x\r\nContent-Length: 10\r\n\r\n123", false
	case 11:
		return strings.Replace(head, "/once/", "/none/", 1) + "Content-Length: 200000\r\n\r\n123", false
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(filler)+1, filler), false
}

// misbehave sends something to a router and holds the connection until the router closes it or ctx ends.
func (c *callers) misbehave(ctx context.Context, router int, random *rand.Rand) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.fleet.addr(router, "callers"))
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	text, whole := crowdRequest(random, c.newID(router))
	// It fails once the router closes the connection.
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	if whole {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn) // as above
}

// isCrowded reports whether a request that was sent at a time may have met a crowd.
func (c *callers) isCrowded(startedAt time.Time) bool {
	return startedAt.UnixNano() < c.crowdedUntil.Load()
}

// playCrowd lets a crowd of clients hold all that it can of a router that the seed draws. No router may end, or exceed its
// memory or its descriptors, and each must serve an ordinary request with a body.
func playCrowd(ctx context.Context, cfg config, f *fleet, w *world, c *callers) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	running := make(map[*node]int)
	for _, n := range f.nodes {
		running[n] = n.cmd.Process.Pid
	}
	c.crowdedUntil.Store(math.MaxInt64)
	crowd := new(errgroup.Group)
	target := rand.New(rand.NewPCG(cfg.seed, 15)).IntN(len(f.nodes))
	for i := range crowdClients {
		random := rand.New(rand.NewPCG(cfg.seed, uint64(1000+i)))
		crowd.Go(func() error {
			for ctx.Err() == nil {
				c.misbehave(ctx, target, random)
				time.Sleep(crowdPause)
			}
			return nil
		})
	}
	time.Sleep(crowdTime)
	for router, n := range f.nodes {
		if !c.servesOrdinary(router) {
			w.addViolation("router %d served no ordinary request beside a crowd: %v", router, c.lastError)
		}
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", running[n])) // none if the router has ended
		peak, err := peakMB(running[n])
		switch {
		case err != nil || len(n.done) > 0:
			w.addViolation("router %d ended by itself beside a crowd: %v", router, err)
		case peak >= memoryMB:
			w.addViolation("router %d took %d MB of memory beside a crowd, %d allowed", router, peak, memoryMB)
		case len(open) > maxCrowdDescriptors:
			w.addViolation("router %d had %d descriptors open beside a crowd, %d allowed", router, len(open), maxCrowdDescriptors)
		}
	}
	end()
	_ = crowd.Wait() // its functions never fail
	c.crowdedUntil.Store(time.Now().UnixNano())
	time.Sleep(settleTime)
}

// servesOrdinary reports whether a router serves a request with a body, at some attempt.
func (c *callers) servesOrdinary(router int) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
	for end := time.Now().Add(4 * clientTimeout); time.Now().Before(end); time.Sleep(crowdPause) {
		id := c.newID(router)
		request, err := c.newRequest(router, "/repeatable/", id, id)
		if err != nil {
			return false
		}
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", ordinaryBody)))
		request.ContentLength = ordinaryBody
		response, err := client.Do(request)
		if err == nil {
			err = readReply(response).err
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
		if err != nil {
			c.countUnknown(err)
		}
	}
	return false
}
