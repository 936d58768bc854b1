package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill"
)

// LeaseRenewerConfig configures a LeaseRenewer.
type LeaseRenewerConfig struct {
	Client          *Client
	Holder          string
	RenewalInterval time.Duration
	Clock           func() time.Time
	Log             hclog.Logger
	// Generation and Status are set by agents only.
	Generation func() uint64
	Status     func(now time.Time) (Server, Load)
	// WantServers reports whether the holder needs the server table.
	WantServers func() bool
	// OnChange is called with the new view after every successful renewal, even if
	// nothing changed. It may be nil.
	OnChange func(v *View)
}

// LeaseRenewer renews the lease of one holder and publishes its view. View is safe
// for concurrent use.
type LeaseRenewer struct {
	cfg  LeaseRenewerConfig
	view atomic.Pointer[View]
	// The fields below are used by Run only. staged collects the pages of a full
	// server table until the last one arrives.
	serversTerm uint64
	serversSeq  uint64
	staged      map[string]Server
}

// NewLeaseRenewer returns a renewer that has no lease yet.
func NewLeaseRenewer(cfg LeaseRenewerConfig) *LeaseRenewer {
	l := &LeaseRenewer{cfg: cfg}
	l.view.Store(&View{Config: &bronzerill.Config{}})
	return l
}

// View returns the current view.
func (l *LeaseRenewer) View() *View { return l.view.Load() }

// Run renews the lease until ctx ends, then releases it.
func (l *LeaseRenewer) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.cfg.RenewalInterval)
	defer ticker.Stop()
	for {
		if err := l.renew(ctx, false); err != nil {
			l.cfg.Log.Warn("lease not renewed", "kind", bronzerill.KindOf(err).String(), "error", err.Error())
		}
		select {
		case <-ctx.Done():
			l.release()
			return nil
		case <-ticker.C:
		}
	}
}

// release ends the lease, so that changes take effect without waiting for this
// holder.
func (l *LeaseRenewer) release() {
	expired := *l.View()
	expired.LeaseUntil = time.Time{}
	l.view.Store(&expired)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := l.renew(ctx, true); err != nil {
		l.cfg.Log.Debug("lease not released", "error", err.Error())
	}
}

func (l *LeaseRenewer) renew(ctx context.Context, released bool) error {
	ctx, cancel := context.WithTimeout(ctx, LeaseTerm)
	defer cancel()
	sentAt := l.cfg.Clock()
	request := l.request(sentAt)
	request.Released = released
	// Call may retry. sentAt stays the time of the first try, which makes the lease
	// shorter but never longer.
	reply, err := Call(ctx, l.cfg.Client, "Renew", request, func() *RenewReply { return &RenewReply{} })
	if err != nil || released {
		return err
	}
	previous := l.View()
	next := previous.WithReply(sentAt, reply)
	if reply.Servers != nil {
		next = l.applyServers(next, reply.Servers)
	}
	l.view.Store(next)
	if l.cfg.OnChange != nil {
		l.cfg.OnChange(next)
	}
	if next.Config.Revision() != previous.Config.Revision() {
		l.cfg.Log.Info("configuration applied", "revision", next.Config.Revision())
	}
	return nil
}

func (l *LeaseRenewer) request(now time.Time) *RenewRequest {
	r := &RenewRequest{Holder: l.cfg.Holder, Revision: l.View().Config.Revision()}
	if l.cfg.WantServers() {
		r.WantServers = true
		r.ServersTerm = l.serversTerm
		r.ServersSeq = l.serversSeq
	}
	if l.cfg.Status == nil {
		return r
	}
	server, load := l.cfg.Status(now)
	r.Server = &server
	r.Load = load
	r.Generation = l.cfg.Generation()
	return r
}

// applyServers applies one page of the server table. A full table replaces the
// previous one once all its pages have arrived.
func (l *LeaseRenewer) applyServers(v *View, delta *ServersDelta) *View {
	restart := delta.Full && (l.staged == nil || delta.Term != l.serversTerm)
	if restart {
		l.staged = make(map[string]Server)
	}
	base := l.staged
	if base == nil {
		base = serversByName(v.Servers)
	}
	for _, s := range delta.Servers {
		base[s.Name] = s
	}
	for _, name := range delta.Gone {
		delete(base, name)
	}
	l.serversTerm = delta.Term
	l.serversSeq = delta.Seq
	if l.staged != nil && delta.More {
		return v
	}
	l.staged = nil
	return v.WithServers(sortServers(base))
}
