package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Load sends recurring chats through several entries.
type Load struct {
	Clients []*Client
	// Callers is the number of concurrent callers.
	Callers  int
	Duration time.Duration
	Model    string
	// Chats is the number of different chats, which the callers send in turn.
	Chats  int
	Tokens int
	// Pause is how long a caller waits between two requests.
	Pause time.Duration
}

// Tally counts the results of a load.
type Tally struct {
	Results map[Result]int
	Kinds   map[string]int
	Warm    int
	// LongestGap is the longest time without a complete response.
	LongestGap time.Duration
	FirstToken []time.Duration
	Gaps       []time.Duration
}

// String returns the counts on one line.
func (t Tally) String() string {
	return fmt.Sprintf("answered %d (warm %d), refused as not run %d, unknown %d, broken off %d, wrong %d, longest gap %s, kinds %v",
		t.Results[Answered], t.Warm, t.Results[RefusedNotRun], t.Results[Unknown], t.Results[BrokenOff], t.Results[Wrong], t.LongestGap.Round(time.Millisecond), t.Kinds)
}

// Run sends the load and returns its tally.
func (l Load) Run(ctx context.Context) (Tally, error) {
	var mu sync.Mutex
	tally := Tally{Results: make(map[Result]int), Kinds: make(map[string]int)}
	startedAt := time.Now()
	lastAnsweredAt := startedAt
	end := startedAt.Add(l.Duration)
	group, ctx := errgroup.WithContext(ctx)
	for n := range l.Callers {
		group.Go(func() error {
			for turn := 0; time.Now().Before(end) && ctx.Err() == nil; turn++ {
				chat := fmt.Sprintf("chat-%d", (n+turn*l.Callers)%l.Chats)
				a, err := l.client(ctx, n+turn).Chat(ctx, Chat{
					Model: l.Model, Chat: chat, Text: fmt.Sprintf("%s, turn %d", chat, turn), Tokens: l.Tokens,
				})
				if err != nil {
					return err
				}
				mu.Lock()
				tally.add(a, time.Now(), &lastAnsweredAt)
				mu.Unlock()
				time.Sleep(l.Pause)
			}
			return nil
		})
	}
	err := group.Wait()
	return tally, err
}

// client returns the next entry that is ready, as a load balancer would. If none is
// ready, it returns the next one.
func (l Load) client(ctx context.Context, turn int) *Client {
	for n := range l.Clients {
		if client := l.Clients[(turn+n)%len(l.Clients)]; client.IsReady(ctx) {
			return client
		}
	}
	return l.Clients[turn%len(l.Clients)]
}

// add counts a response.
func (t *Tally) add(a Response, now time.Time, lastAnsweredAt *time.Time) {
	t.Results[a.Result]++
	if a.Kind != "" {
		t.Kinds[a.Kind]++
	}
	if a.Result != Answered {
		return
	}
	t.LongestGap = max(t.LongestGap, now.Sub(*lastAnsweredAt))
	*lastAnsweredAt = now
	if a.Warm {
		t.Warm++
	}
	t.FirstToken = append(t.FirstToken, a.FirstToken)
	t.Gaps = append(t.Gaps, a.Gaps...)
}
