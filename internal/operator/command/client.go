package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill"
	"bronzerill/internal/control/operator"
	"bronzerill/internal/settings/file"
	"bronzerill/internal/wire/httpresponse"
)

// Limits of calls to operator ports.
const (
	callTimeout   = 3 * time.Second
	totalTimeout  = 15 * time.Second
	retryInterval = 200 * time.Millisecond
	maxReplyBytes = 64 << 20
)

func operatorFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "operator", Usage: "operator `ADDRESS` of a control replica; may be repeated", Required: true},
		&cli.StringFlag{Name: "secret-file", Usage: "`FILE` with the operators' secret", Required: true},
	}, extra...)
}

// client calls the operator port of the control leader.
type client struct {
	addrs  []string
	secret string
	http   *http.Client
}

func newClient(c *cli.Command) (*client, error) {
	return openClient(c.StringSlice("operator"), c.String("secret-file"))
}

func openClient(addrs []string, secretFile string) (*client, error) {
	secret, err := file.ReadSecret(secretFile)
	if err != nil {
		return nil, settingsError{err}
	}
	return &client{addrs: addrs, secret: secret, http: &http.Client{Timeout: callTimeout, Transport: httpresponse.NewDefaultTransport()}}, nil
}

// Submit submits the ticket in a file. It returns when the ticket is accepted, which is
// before it is in force.
func Submit(ctx context.Context, addrs []string, secretFile, path string) error {
	t, err := loadTicket(path)
	if err != nil {
		return err
	}
	cl, err := openClient(addrs, secretFile)
	if err != nil {
		return err
	}
	return cl.call(ctx, http.MethodPost, "/v1/tickets", t, &operator.Reply{})
}

// call sends the request to each replica in turn until the leader responds. All operator
// calls are safe to repeat.
func (cl *client) call(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	var lastErr error
	for n := 0; ctx.Err() == nil; n++ {
		lastErr = cl.callReplica(ctx, cl.addrs[n%len(cl.addrs)], method, path, body, reply)
		if !shouldTryNextReplica(lastErr) {
			return lastErr
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return bronzerill.Errorf(bronzerill.KindNoQuorum, "no control leader responded within %s: %v", totalTimeout, lastErr)
}

// errUnreachable means that a replica didn't respond.
var errUnreachable = errors.New("replica didn't respond")

func shouldTryNextReplica(err error) bool {
	kind := bronzerill.KindOf(err)
	return errors.Is(err, errUnreachable) || kind == bronzerill.KindNotLeader || kind == bronzerill.KindNoQuorum
}

func (cl *client) callReplica(ctx context.Context, addr, method, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return settingsError{errors.Wrap(err, "--operator")}
	}
	request.Header.Set("Authorization", "Bearer "+cl.secret)
	response, err := cl.http.Do(request)
	if err != nil {
		return errors.Wrap(errUnreachable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(errUnreachable, err.Error())
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError(response.Status, responseBody)
	}
	return errors.Wrap(json.Unmarshal(responseBody, reply), "decode response")
}

func responseError(status string, body []byte) error {
	var reply operator.Reply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Error == nil {
		return settingsError{errors.Errorf("operator port: unexpected status %s: %s", status, strings.TrimSpace(string(body)))}
	}
	kind, _ := bronzerill.ParseKind(reply.Error.Kind)
	detail := strings.TrimPrefix(reply.Error.Detail, reply.Error.Kind+": ")
	if len(reply.Error.Faults) > 0 {
		detail += ":\n  " + strings.Join(reply.Error.Faults, "\n  ")
	}
	return bronzerill.Errorf(kind, "%s", detail)
}

// poll calls done repeatedly until it returns true or an error. It returns false if the
// timeout passes or ctx ends first.
func poll(ctx context.Context, timeout time.Duration, done func(ctx context.Context) (bool, error)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		if ok, err := done(ctx); ok || err != nil {
			return ok, err
		}
		select {
		case <-ctx.Done():
			return false, nil
		case <-time.After(retryInterval):
		}
	}
}

// printJSON writes a value as indented JSON.
func printJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// ReadMetric returns the value of a numeric metric of a process. Dots in the name separate
// the keys of nested objects.
func ReadMetric(ctx context.Context, addr, secretFile, name string) (float64, error) {
	cl, err := openClient([]string{addr}, secretFile)
	if err != nil {
		return 0, err
	}
	var metrics map[string]json.RawMessage
	if err := cl.call(ctx, http.MethodGet, "/debug/vars", nil, &metrics); err != nil {
		return 0, err
	}
	path := strings.Split(name, ".")
	for _, key := range path[:len(path)-1] {
		if err := json.Unmarshal(metrics[key], &metrics); err != nil {
			return 0, errors.Wrapf(err, "metric %s", name)
		}
	}
	var value float64
	return value, errors.Wrapf(json.Unmarshal(metrics[path[len(path)-1]], &value), "metric %s", name)
}
