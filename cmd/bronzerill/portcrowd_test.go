package main

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against clients that take the memory or the descriptors of a router at a port that isn't for callers (issue 52).
// Beside them, callers and clients of that port must be answered.
func TestOtherPortsEndureCrowds(t *testing.T) {
	const document = "PUT /v1/config HTTP/1.1\r\nHost: h\r\n"
	filler := strings.Repeat("x", legalBody-1)
	paths := map[string]string{"operators": "/v1/config", "readiness": "/v1/ready"}
	tests := map[string]struct {
		port, sent string
		clients    int
	}{
		"documents":                  {"operators", document + "Content-Length: 4194304\r\n\r\n" + filler, bodyClients},
		"documents in small chunks":  {"operators", document + "Transfer-Encoding: chunked\r\n\r\n" + string(chunked(512<<10, 8, "")), bodyClients},
		"long heads of operators":    {"operators", document + shortFields(60<<10), 400},
		"unused, operators":          {"operators", "", crowdDescriptors + 100},
		"unused, readiness":          {"readiness", "", crowdDescriptors + 100},
		"bodies of readiness checks": {"readiness", "GET /v1/ready HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n" + filler, bodyClients},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := startRouterWith(t, routerConfig{services: make(map[string]http.HandlerFunc), memoryMB: crowdMemoryMB, descriptors: crowdDescriptors})
			router := p.target()
			url := "http://" + p.addrs[test.port] + paths[test.port]
			callers := router.call
			router.addr = p.addrs[test.port]
			router.call = func(body io.Reader) int {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
				require.NoError(t, err)
				response, err := p.client.Do(request)
				if err != nil {
					return 0
				}
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					return response.StatusCode
				}
				return callers(body)
			}
			router.requireEndures(test.clients, sendText(test.sent))
		})
	}
}

// Guards against clients that take the memory or the descriptors of a control replica at its operators' port (issue 52).
// Beside them, the replica must go on serving bookings.
func TestControlEnduresCrowds(t *testing.T) {
	const ticket = "POST /v1/tickets HTTP/1.1\r\nHost: h\r\n"
	// A decoder of JSON waits for the end of the text.
	unfinished := `"` + strings.Repeat("x", legalBody-2)
	tests := map[string]struct {
		sent    string
		clients int
	}{
		"unused":           {"", crowdDescriptors + 100},
		"long heads":       {ticket + shortFields(60<<10), 400},
		"without a secret": {ticket + "Content-Length: 4194304\r\n\r\n" + unfinished, bodyClients},
		"with the secret":  {ticket + "Authorization: Bearer operator.secret of this test\r\nContent-Length: 4194304\r\n\r\n" + unfinished, bodyClients},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, control := startEntry(t)
			control.requireEndures(test.clients, sendText(test.sent))
		})
	}
}
