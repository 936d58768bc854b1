package caller

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/server"
)

// testStatusPath is the path of the servers' status.
const testStatusPath = "/status"

// testDialect is a minimal Dialect with short header names.
type testDialect struct{}

var _ Dialect = testDialect{}

func (testDialect) ParseRequest(h http.Header) RequestInfo {
	ms, _ := strconv.Atoi(h.Get("Timeout"))
	var prompt []PromptPart
	for _, part := range strings.FieldsFunc(h.Get("Prompt"), func(r rune) bool { return r == ',' }) {
		prompt = append(prompt, PromptPart{ID: xxhash.Sum64String(part), Tokens: 1})
	}
	return RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond, Prompt: prompt, ResumeAfter: h.Get("Resume"), Resumes: h.Get("Resumes")}
}

func (testDialect) ForwardHeader(h http.Header, o ForwardOptions) http.Header {
	return http.Header{
		"Id": h["Id"], "Prompt": h["Prompt"], "Server": {o.Server}, "Customer": {o.Customer}, "Resume": {o.ResumeAfter},
		"Timeout": {strconv.FormatInt(o.Remaining.Milliseconds(), 10)},
	}
}

func (testDialect) ParseResponse(status int, h http.Header) ResponseInfo {
	info := ResponseInfo{
		ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signature") != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
	if limit := h.Get("Limit"); limit != "" {
		var err error
		info.Limit.PerSecond, err = strconv.ParseFloat(limit, 64)
		info.Limit.Limited, info.LimitInvalid = err == nil, err != nil
	}
	info.Leaving = h.Get("Leaving") != ""
	if pause := h.Get("Pause"); pause != "" {
		var err error
		info.Backoff, err = time.ParseDuration(pause)
		info.BackoffInvalid = err != nil
	}
	return info
}

func (testDialect) StatusCall(_ declared.Service, serverID string) server.Call {
	return server.Call{Method: http.MethodGet, Target: testStatusPath, Header: http.Header{"Server": {serverID}}}
}

func (testDialect) ParseStatus(status int, _ http.Header, body []byte) ServerStatus {
	born, _ := strconv.ParseInt(string(body), 10, 64)
	return ServerStatus{Misdirected: status == http.StatusMisdirectedRequest, Born: born}
}

func (testDialect) ResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Transfer-Encoding")
	out.Del("Content-Length")
	return out
}

func (testDialect) WriteError(w http.ResponseWriter, kind bronzerill.Kind, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
	w.WriteHeader(kind.Response().Status)
	_, _ = io.WriteString(w, kind.String())
}
