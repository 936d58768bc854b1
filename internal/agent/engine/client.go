// Package engine speaks to a model engine: chat completions with server-sent
// events, load reports, stream resume, cache hand-over and orders.
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
	idleConns     = 256
)

// Load is the engine's lagging report about itself.
type Load struct {
	// Generation differs at every start of the engine.
	Generation string `json:"generation"`
	Running    int    `json:"running"`
	Slots      int    `json:"slots"`
}

// Order tells the engine to load a model, adapter or version, or to change its
// role.
type Order struct {
	// Fencing is higher than that of every earlier order.
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Value   string `json:"value"`
}

// Client calls one engine.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the engine at an HTTP address.
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// post sends a request. The transport may send it again by itself only when not
// a byte of it was written, since a POST without an idempotency key isn't
// replayable.
func (c *Client) post(ctx context.Context, path, requestID, contentType string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "engine address")
	}
	request.Header.Set(headerRequestID, requestID)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	return c.http.Do(request)
}

// resume asks for the rest of a stream that was cut.
func (c *Client) resume(ctx context.Context, requestID string, offset int64) (*http.Response, error) {
	url := c.base + pathStreams + requestID + "?offset=" + strconv.FormatInt(offset, 10)
	return c.get(ctx, url)
}

func (c *Client) get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "engine address")
	}
	return c.http.Do(request)
}

// cancel stops a stream that nobody waits for.
func (c *Client) cancel(requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+pathStreams+requestID, nil)
	if err != nil {
		return
	}
	if response, err := c.http.Do(request); err == nil {
		discard(response)
	}
}

// Load fetches the engine's report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	response, err := c.get(ctx, c.base+pathLoad)
	if err != nil {
		return Load{}, errors.Wrap(err, "get load")
	}
	defer discard(response)
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("load report answers %s", response.Status)
	}
	var load Load
	err = json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load)
	return load, errors.Wrap(err, "parse load")
}

// SendOrder sends an order. KindStaleOrder means that the engine has a newer one.
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
		return bronzerill.Errorf(bronzerill.KindStaleOrder, "the engine knows a newer order than %d", o.Fencing)
	}
	return errors.Errorf("order answered by %s", response.Status)
}

// ExportCache fetches the KV cache of one chat.
func (c *Client) ExportCache(ctx context.Context, chat string) ([]byte, error) {
	response, err := c.get(ctx, c.base+pathCache+chat)
	if err != nil {
		return nil, errors.Wrap(err, "export cache")
	}
	defer discard(response)
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("cache export answers %s", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxCacheBytes))
	return data, errors.Wrap(err, "read cache")
}

// ImportCache hands the KV cache of one chat to the engine.
func (c *Client) ImportCache(ctx context.Context, chat string, data []byte) error {
	response, err := c.post(ctx, pathCache+chat, "", "application/octet-stream", data)
	if err != nil {
		return errors.Wrap(err, "import cache")
	}
	defer discard(response)
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("cache import answers %s", response.Status)
	}
	return nil
}

// discard reads the short rest of a body, so that its connection is kept.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxLoadBytes)
	_ = response.Body.Close()
}
