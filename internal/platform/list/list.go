// Package list reads the platform's lagging list of instances, from a file or
// over HTTP.
package list

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds of one reading.
const (
	maxBytes     = 8 << 20
	fetchTimeout = 2 * time.Second
)

// State is what the platform says of an instance.
type State string

// The states of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the list.
type Instance struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// Document is the list as the platform publishes it.
type Document struct {
	Instances []Instance `json:"instances"`
}

// Source yields the present list.
type Source interface {
	Fetch(ctx context.Context) (Document, error)
}

// NewSource returns the source of a location: an HTTP address or a file.
func NewSource(location string) Source {
	if strings.HasPrefix(location, "http://") || strings.HasPrefix(location, "https://") {
		return httpSource{url: location, client: &http.Client{Timeout: fetchTimeout}}
	}
	return fileSource{path: location}
}

type fileSource struct{ path string }

var _ Source = fileSource{}

// Fetch reads the file.
func (s fileSource) Fetch(context.Context) (Document, error) {
	file, err := os.Open(s.path)
	if err != nil {
		return Document{}, errors.Wrap(err, "open instance list")
	}
	d, err := Parse(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return d, err
}

type httpSource struct {
	url    string
	client *http.Client
}

var _ Source = httpSource{}

// Fetch gets the list over HTTP.
func (s httpSource) Fetch(ctx context.Context) (Document, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	if err != nil {
		return Document{}, errors.Wrap(err, "instance list address")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Document{}, errors.Wrap(err, "get instance list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Document{}, errors.Errorf("instance list answers %s", response.Status)
	}
	return Parse(response.Body)
}

// Parse reads a list; unknown states count as live.
func Parse(r io.Reader) (Document, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return Document{}, errors.Wrap(err, "read instance list")
	}
	if len(data) > maxBytes {
		return Document{}, errors.Errorf("instance list is over %d bytes", maxBytes)
	}
	var d Document
	return d, errors.Wrap(json.Unmarshal(data, &d), "parse instance list")
}

// Leaving returns the names of the leaving instances.
func (d Document) Leaving() map[string]bool {
	leaving := make(map[string]bool)
	for _, i := range d.Instances {
		if i.State == StateLeaving {
			leaving[i.Name] = true
		}
	}
	return leaving
}
