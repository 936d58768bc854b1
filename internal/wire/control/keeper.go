package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill"
)

// LeaseRenewerConfig configures a Keeper.
type LeaseRenewerConfig struct {
	Client          *Client
	Holder          string
	RenewalInterval time.Duration
	Clock           func() time.Time
	Log             hclog.Logger
	// Generation and Status are set by agents.
	Generation func() uint64
	Status     func(now time.Time) (Server, Load)
	// WantServers reports whether the holder needs the table of servers.
	WantServers func() bool
	// OnChange is called after every renewal that changed the view.
	OnChange func(v *View)
}

// LeaseRenewer renews the lease of one holder and publishes its view.
type LeaseRenewer struct {
	cfg  LeaseRenewerConfig
	view atomic.Pointer[View]
	// position and staged belong to the renewal loop.
	serversTerm uint64
	serversSeq  uint64
	staged      map[string]Server
}

// NewLeaseRenewer returns a keeper without a lease.
func NewLeaseRenewer(cfg LeaseRenewerConfig) *LeaseRenewer {
	k := &LeaseRenewer{cfg: cfg}
	k.view.Store(&View{Config: &bronzerill.Config{}})
	return k
}

// View returns the present view.
func (k *LeaseRenewer) View() *View { return k.view.Load() }

// Run renews until ctx ends, then gives the lease back.
func (k *LeaseRenewer) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.cfg.RenewalInterval)
	defer ticker.Stop()
	for {
		if err := k.renew(ctx, false); err != nil {
			k.cfg.Log.Warn("lease not renewed", "kind", bronzerill.KindOf(err).String(), "error", err.Error())
		}
		select {
		case <-ctx.Done():
			k.release()
			return nil
		case <-ticker.C:
		}
	}
}

// release lets changes come into force without waiting for this holder.
func (k *LeaseRenewer) release() {
	old := *k.View()
	old.LeaseUntil = time.Time{}
	k.view.Store(&old)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := k.renew(ctx, true); err != nil {
		k.cfg.Log.Debug("lease not released", "error", err.Error())
	}
}

func (k *LeaseRenewer) renew(ctx context.Context, released bool) error {
	ctx, cancel := context.WithTimeout(ctx, LeaseTerm)
	defer cancel()
	sentAt := k.cfg.Clock()
	request := k.request(sentAt)
	request.Released = released
	// A retry inside Call leaves sentAt at the first try, which only makes the
	// lease shorter.
	reply, err := Call(ctx, k.cfg.Client, "Renew", request, func() *RenewReply { return &RenewReply{} })
	if err != nil || released {
		return err
	}
	before := k.View()
	next := before.WithReply(sentAt, reply)
	if reply.Servers != nil {
		next = k.withServers(next, reply.Servers)
	}
	k.view.Store(next)
	if k.cfg.OnChange != nil {
		k.cfg.OnChange(next)
	}
	if next.Config.Revision() != before.Config.Revision() {
		k.cfg.Log.Info("configuration taken", "revision", next.Config.Revision())
	}
	return nil
}

func (k *LeaseRenewer) request(now time.Time) *RenewRequest {
	r := &RenewRequest{Holder: k.cfg.Holder, Revision: k.View().Config.Revision()}
	if k.cfg.WantServers() {
		r.WantServers = true
		r.ServersTerm = k.serversTerm
		r.ServersSeq = k.serversSeq
	}
	if k.cfg.Status == nil {
		return r
	}
	server, load := k.cfg.Status(now)
	r.Server = &server
	r.Load = load
	r.Generation = k.cfg.Generation()
	return r
}

// withServers applies one page. A table that starts anew replaces the old one
// only once it is whole.
func (k *LeaseRenewer) withServers(v *View, d *ServersDelta) *View {
	starting := d.Full && (k.staged == nil || d.Term != k.serversTerm)
	if starting {
		k.staged = make(map[string]Server)
	}
	base := k.staged
	if base == nil {
		base = serverTable(v.Servers)
	}
	for _, s := range d.Servers {
		base[s.Name] = s
	}
	for _, name := range d.Gone {
		delete(base, name)
	}
	k.serversTerm = d.Term
	k.serversSeq = d.Seq
	if k.staged != nil && d.More {
		return v
	}
	k.staged = nil
	return v.WithServers(sortServers(base))
}
