// Package list reads the platform's list of instances from a file or over HTTP. The list
// lags behind the real state of the instances.
package list

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"bronzerill/internal/wire/httpheader"
	"bronzerill/internal/wire/httpresponse"
	"bronzerill/internal/wire/jsonlist"
)

// Limits for reading the list.
const (
	maxBytes     = 8 << 20
	fetchTimeout = 2 * time.Second
)

// State is the state of an instance as reported by the platform.
type State string

// The states of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an entry of the list.
type Instance struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// Document is a list.
type Document struct {
	Instances []Instance
	// Invalid is the number of entries that couldn't be decoded. They affect no others.
	Invalid int
	// OpenEnd is set if the list may be cut off inside its last entry.
	OpenEnd bool
}

// fieldInstances is the field of the platform's JSON document that lists the instances.
const fieldInstances = "instances"

// Source provides the current list.
type Source interface {
	// Fetch returns the current list.
	Fetch(ctx context.Context) (Document, error)
}

// NewSource returns a source for a location, which is an HTTP URL or a file path.
func NewSource(location string) Source {
	if strings.HasPrefix(location, "http://") || strings.HasPrefix(location, "https://") {
		return httpSource{url: location, client: &http.Client{Timeout: fetchTimeout, Transport: httpresponse.NewDefaultTransport()}}
	}
	return fileSource{path: location}
}

type fileSource struct{ path string }

var _ Source = fileSource{}

// Fetch reads the list from the file.
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

// Fetch fetches the list over HTTP.
func (s httpSource) Fetch(ctx context.Context) (Document, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	if err != nil {
		return Document{}, errors.Wrap(err, "instance list URL")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Document{}, errors.Wrap(err, "fetch instance list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Document{}, errors.Errorf("fetch instance list: unexpected status %s", response.Status)
	}
	d, err := Parse(response.Body)
	if err == nil && d.OpenEnd && !httpheader.IsFramed(response) {
		return Document{}, errors.New("instance list may be cut off")
	}
	return d, err
}

// Parse decodes a list. It fails if the list exceeds 8 MiB.
func Parse(r io.Reader) (Document, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return Document{}, errors.Wrap(err, "read instance list")
	}
	if len(data) > maxBytes {
		return Document{}, errors.Errorf("instance list exceeds %d bytes", maxBytes)
	}
	split, err := jsonlist.Split(data, fieldInstances)
	if err != nil {
		return Document{}, errors.Wrap(err, "decode instance list")
	}
	d := Document{Invalid: split.Damaged, OpenEnd: split.OpenEnd}
	for _, entry := range split.Entries {
		var instance Instance
		if !utf8.Valid(entry) || json.Unmarshal(entry, &instance) != nil || instance.Name == "" {
			d.Invalid++
			continue
		}
		d.Instances = append(d.Instances, instance)
	}
	return d, nil
}

// Leaving returns the names of the instances in StateLeaving. It treats unknown states
// as live.
func (d Document) Leaving() map[string]bool {
	leaving := make(map[string]bool)
	for _, instance := range d.Instances {
		if instance.State == StateLeaving {
			leaving[instance.Name] = true
		}
	}
	return leaving
}
