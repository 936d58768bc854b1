package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Bookings sends many bookings, each several times through different entries,
// and remembers what each caller was told.
type Bookings struct {
	Clients []*Client
	Policy  string
	// Prefix starts every idempotency key.
	Prefix   string
	Callers  int
	Duration time.Duration
	// MaxAttempts is how often a booking without an answer is sent again.
	MaxAttempts int
	Pause       time.Duration
}

// BookingResponses is what callers were told about one key.
type BookingResponses struct {
	Answers  []string
	NotRun   int
	Unknown  int
	Replayed int
}

// Run sends bookings and returns what was told by key.
func (b Bookings) Run(ctx context.Context) (map[string]BookingResponses, error) {
	var mu sync.Mutex
	told := make(map[string]BookingResponses)
	end := time.Now().Add(b.Duration)
	group, ctx := errgroup.WithContext(ctx)
	for n := range b.Callers {
		group.Go(func() error {
			for turn := 0; time.Now().Before(end) && ctx.Err() == nil; turn++ {
				key := fmt.Sprintf("%s-%d-%d", b.Prefix, n, turn)
				t, err := b.book(ctx, key, n+turn)
				if err != nil {
					return err
				}
				mu.Lock()
				told[key] = t
				mu.Unlock()
				time.Sleep(b.Pause)
			}
			return nil
		})
	}
	err := group.Wait()
	return told, err
}

// book sends one booking until it is answered, and once more after that.
func (b Bookings) book(ctx context.Context, key string, start int) (BookingResponses, error) {
	var t BookingResponses
	for try := range b.MaxAttempts {
		client := b.Clients[(start+try)%len(b.Clients)]
		a, err := client.Book(ctx, b.Policy, "/bookings", key, `{"carriage": "landau"}`)
		if err != nil {
			return t, err
		}
		switch a.Result {
		case Answered:
			t.Answers = append(t.Answers, a.Body)
			if a.Replayed {
				t.Replayed++
			}
		case RefusedNotRun:
			t.NotRun++
		default:
			t.Unknown++
		}
		if len(t.Answers) == 2 {
			break
		}
		if a.Result != Answered {
			time.Sleep(b.Pause + 200*time.Millisecond)
		}
	}
	return t, nil
}

// Audit is the booking servers' count held against what callers were told.
type Audit struct {
	Keys, Answered, Unknown, NotRun, Replayed, Executions int
	// Violations lists every broken promise.
	Violations []string
}

// AuditBookings counts and lists the broken promises.
func AuditBookings(told map[string]BookingResponses, executions map[string]int) Audit {
	audit := Audit{Keys: len(told)}
	for key, t := range told {
		ran := executions[key]
		audit.Executions += ran
		audit.Replayed += t.Replayed
		switch {
		case len(t.Answers) > 0:
			audit.Answered++
		case t.Unknown > 0:
			audit.Unknown++
		default:
			audit.NotRun++
		}
		audit.Violations = append(audit.Violations, faults(key, t, ran)...)
	}
	return audit
}

func faults(key string, t BookingResponses, ran int) []string {
	var list []string
	if ran > 1 {
		list = append(list, fmt.Sprintf("%s ran %d times", key, ran))
	}
	if len(t.Answers) > 0 && ran == 0 {
		list = append(list, key+" was answered and never ran")
	}
	if len(t.Answers) == 2 && t.Answers[0] != t.Answers[1] {
		list = append(list, key+" was answered in two ways")
	}
	if len(t.Answers) == 0 && t.Unknown == 0 && ran > 0 {
		list = append(list, key+" ran, and every caller was told that it had not")
	}
	return list
}
