package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/router/declared"
)

// oldStates is a state of which it isn't known whether it is the newest, unless newest is set.
type oldStates struct {
	old, newest *declared.Table
}

func (s oldStates) Table() *declared.Table                  { return s.old }
func (s oldStates) Current(context.Context) *declared.Table { return s.old }
func (s oldStates) Newest(context.Context) (*declared.Table, bool) {
	return s.newest, s.newest != nil
}

// Guards against 401 and 404 by a state that isn't known to be the newest (issue 55).
func TestRefusalsNeedTheNewestState(t *testing.T) {
	document := func(prefix, key string) *declared.Table {
		route := func(name string, public bool) declared.Route {
			return declared.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: time.Second, Public: public, Targets: []declared.Target{{Service: "desk", Weight: 1}}}
		}
		return declared.NewTable(declared.Document{
			Number: 1, RequiresKey: true, Services: []declared.Service{{Name: "desk"}},
			Routes:    []declared.Route{route(prefix, true), route("keyed", false)},
			Customers: []declared.Customer{{Name: "c", Keys: []string{key}}},
		}, 1, nil)
	}
	tests := []struct {
		name   string
		newest *declared.Table
		path   string
		want   bronzerill.Kind
	}{
		{"route, unconfirmed", nil, "/b/x", bronzerill.KindUnconfirmed},
		{"key, unconfirmed", nil, "/keyed/x", bronzerill.KindUnconfirmed},
		{"route, same state", document("a", "old"), "/b/x", bronzerill.KindUnknownRoute},
		{"key, same state", document("a", "old"), "/keyed/x", bronzerill.KindUnauthorized},
		{"route, newer state", document("b", "new"), "/b/x", bronzerill.KindNone},
		{"key, newer state", document("b", "new"), "/keyed/x", bronzerill.KindNone},
		{"dropped route", document("b", "new"), "/c/x", bronzerill.KindUnknownRoute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := NewHandler(Config{States: oldStates{document("a", "old"), test.newest}, Clock: time.Now, Log: hclog.NewNullLogger()})
			r := httptest.NewRequest(http.MethodGet, "http://h"+test.path, nil)
			e := &exchange{Handler: h, r: r, request: RequestInfo{Key: "new"}, table: h.cfg.States.Current(r.Context())}
			require.Equal(t, test.want, e.identify())
		})
	}
}
