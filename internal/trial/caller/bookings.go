package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Bookings sends many bookings, each several times through different entries, and
// records the responses.
type Bookings struct {
	Clients []*Client
	Policy  string
	// Prefix is the prefix of every idempotency key.
	Prefix   string
	Callers  int
	Duration time.Duration
	// MaxAttempts bounds how often a booking is sent.
	MaxAttempts int
	Pause       time.Duration
}

// BookingResponses holds the responses to all attempts of one booking.
type BookingResponses struct {
	Responses []string
	NotRun    int
	Unknown   int
	Replayed  int
}

// Run sends bookings for Duration and returns the responses by idempotency key.
func (b Bookings) Run(ctx context.Context) (map[string]BookingResponses, error) {
	var mu sync.Mutex
	responses := make(map[string]BookingResponses)
	end := time.Now().Add(b.Duration)
	group, ctx := errgroup.WithContext(ctx)
	for n := range b.Callers {
		group.Go(func() error {
			for turn := 0; time.Now().Before(end) && ctx.Err() == nil; turn++ {
				key := fmt.Sprintf("%s-%d-%d", b.Prefix, n, turn)
				r, err := b.book(ctx, key, n+turn)
				if err != nil {
					return err
				}
				mu.Lock()
				responses[key] = r
				mu.Unlock()
				time.Sleep(b.Pause)
			}
			return nil
		})
	}
	err := group.Wait()
	return responses, err
}

// book sends one booking until it has two responses, which must be equal, or until
// MaxAttempts is reached.
func (b Bookings) book(ctx context.Context, key string, firstClient int) (BookingResponses, error) {
	var r BookingResponses
	for attempt := range b.MaxAttempts {
		client := b.Clients[(firstClient+attempt)%len(b.Clients)]
		a, err := client.Book(ctx, b.Policy, "/bookings", key, `{"carriage": "landau"}`)
		if err != nil {
			return r, err
		}
		switch a.Result {
		case Answered:
			r.Responses = append(r.Responses, a.Body)
			if a.Replayed {
				r.Replayed++
			}
		case RefusedNotRun:
			r.NotRun++
		default:
			r.Unknown++
		}
		if len(r.Responses) == 2 {
			break
		}
		if a.Result != Answered {
			time.Sleep(b.Pause + 200*time.Millisecond)
		}
	}
	return r, nil
}

// Audit compares the responses with the runs that the booking servers counted.
type Audit struct {
	Keys, Answered, Unknown, NotRun, Replayed, Executions int
	// Violations describes the violated guarantees.
	Violations []string
}

// AuditBookings counts the responses and runs, and lists the violated guarantees.
func AuditBookings(responses map[string]BookingResponses, executions map[string]int) Audit {
	audit := Audit{Keys: len(responses)}
	for key, r := range responses {
		runs := executions[key]
		audit.Executions += runs
		audit.Replayed += r.Replayed
		switch {
		case len(r.Responses) > 0:
			audit.Answered++
		case r.Unknown > 0:
			audit.Unknown++
		default:
			audit.NotRun++
		}
		audit.Violations = append(audit.Violations, violations(key, r, runs)...)
	}
	return audit
}

// violations returns the violated guarantees of one booking.
func violations(key string, r BookingResponses, runs int) []string {
	var list []string
	if runs > 1 {
		list = append(list, fmt.Sprintf("%s ran %d times", key, runs))
	}
	if len(r.Responses) > 0 && runs == 0 {
		list = append(list, key+" was answered but never ran")
	}
	if len(r.Responses) == 2 && r.Responses[0] != r.Responses[1] {
		list = append(list, key+" got two different answers")
	}
	if len(r.Responses) == 0 && r.Unknown == 0 && runs > 0 {
		list = append(list, key+" ran, but every response said that it had not run")
	}
	return list
}
