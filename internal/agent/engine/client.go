// Package engine is the agent's client of a model engine: chat completions with
// server-sent events, load reports, stream resume, cache hand-over and orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/httpheader"
	"bronzerill/internal/wire/httpresponse"
)

// Headers and paths of the engine's published protocol.
const (
	headerRequestID = "X-Request-Id"
	pathLoad        = "/v1/load"
	pathStreams     = "/v1/streams/"
	pathOrders      = "/v1/orders"
	pathCache       = "/v1/cache/"
)

// Limits of calls to the engine.
const (
	loadTimeout   = 500 * time.Millisecond
	cancelTimeout = time.Second
	maxLoadBytes  = 64 << 10
	maxCacheBytes = 64 << 20
	maxIdleConns  = 256
)

// Load is the load report of an engine. It lags behind the real load.
type Load struct {
	// Generation identifies the engine process: it differs at every start.
	Generation string `json:"generation"`
	Running    int    `json:"running"`
	Slots      int    `json:"slots"`
	// Leaving is set while the engine is about to stop.
	Leaving bool `json:"leaving"`
}

// Order tells the engine to load a model, adapter or version, or to change its
// role.
type Order struct {
	// Fencing is the fencing number, higher than in all earlier orders.
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Value   string `json:"value"`
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Base is the base URL of the engine.
	Base  string
	Clock func() time.Time
}

// Client is the client of one engine. It keeps to the pauses that the engine asks for, except
// with load reports, which show crashes, and with cancellations, which free the engine.
type Client struct {
	cfg     ClientConfig
	http    *http.Client
	backoff httpheader.Backoff
}

// NewClient returns a client of one engine.
func NewClient(cfg ClientConfig) *Client {
	transport := httpresponse.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true})
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}
}

// do sends a request unless the engine has asked for a pause. The error is of KindOverloaded
// then, and nothing was sent.
func (c *Client) do(request *http.Request) (*http.Response, error) {
	if wait := c.pauseRemaining(); wait > 0 {
		return nil, bronzerill.Errorf(bronzerill.KindOverloaded, "the engine asked for a pause of another %v", wait)
	}
	response, err := c.http.Do(request)
	if err == nil && c.backoff.Record(c.cfg.Clock(), response.StatusCode, response.Header) {
		metrics.Count(metrics.EventBackoff)
	}
	return response, err
}

// pauseRemaining returns how long the engine still wants no requests, at most 0 if it takes them.
func (c *Client) pauseRemaining() time.Duration { return c.backoff.Remaining(c.cfg.Clock()) }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// post sends a request. The transport resends it only if no byte of it was
// written, since net/http doesn't replay a POST without an idempotency key.
func (c *Client) post(ctx context.Context, path, requestID, contentType string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.cfg.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "engine address")
	}
	request.Header.Set(headerRequestID, requestID)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	return c.do(request)
}

// resume requests the rest of an interrupted stream, from the offset on.
func (c *Client) resume(ctx context.Context, requestID string, offset int64) (*http.Response, error) {
	request, err := c.newGet(ctx, pathStreams+requestID+"?offset="+strconv.FormatInt(offset, 10))
	if err != nil {
		return nil, err
	}
	return c.do(request)
}

func (c *Client) newGet(ctx context.Context, path string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.Base+path, nil)
	return request, errors.Wrap(err, "engine address")
}

// cancel stops a stream that no caller waits for any more.
func (c *Client) cancel(requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.cfg.Base+pathStreams+requestID, nil)
	if err != nil {
		return
	}
	if response, err := c.http.Do(request); err == nil {
		discard(response)
	}
}

// Load fetches the load report of the engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := c.newGet(ctx, pathLoad)
	if err != nil {
		return Load{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Load{}, errors.Wrap(err, "get load")
	}
	defer discard(response)
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("get load: engine returned %s", response.Status)
	}
	var load Load
	err = json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load)
	return load, errors.Wrap(err, "parse load")
}

// SendOrder sends an order. The error is of KindStaleOrder if the engine has
// received a newer one.
func (c *Client) SendOrder(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	response, err := c.post(ctx, pathOrders, "", "application/json", body)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer discard(response)
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return bronzerill.Errorf(bronzerill.KindStaleOrder, "engine has received an order newer than %d", o.Fencing)
	}
	return errors.Errorf("send order: engine returned %s", response.Status)
}

// ExportCache fetches the KV cache of one chat.
func (c *Client) ExportCache(ctx context.Context, chat string) ([]byte, error) {
	request, err := c.newGet(ctx, pathCache+chat)
	if err != nil {
		return nil, err
	}
	response, err := c.do(request)
	if err != nil {
		return nil, errors.Wrap(err, "export cache")
	}
	defer discard(response)
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("export cache: engine returned %s", response.Status)
	}
	if !httpheader.IsFramed(response) {
		return nil, errors.New("export cache: engine states no length")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxCacheBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read cache")
	}
	if len(data) > maxCacheBytes {
		return nil, errors.Errorf("cache exceeds %d bytes", maxCacheBytes)
	}
	return data, nil
}

// ImportCache sends the KV cache of one chat to the engine.
func (c *Client) ImportCache(ctx context.Context, chat string, data []byte) error {
	response, err := c.post(ctx, pathCache+chat, "", "application/octet-stream", data)
	if err != nil {
		return errors.Wrap(err, "import cache")
	}
	defer discard(response)
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("import cache: engine returned %s", response.Status)
	}
	return nil
}

// discard reads the short rest of the body and closes it, so that the
// connection can be reused.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxLoadBytes)
	_ = response.Body.Close()
}
