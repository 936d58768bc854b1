// Package caller is the HTTP API for callers: chat completions and requests to
// services.
package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/exchange"
)

// HTTP headers of the API.
const (
	HeaderRequest        = "Bronzerill-Request"
	HeaderChat           = "Bronzerill-Chat"
	HeaderHint           = "Bronzerill-Hint"
	HeaderPriority       = "Bronzerill-Priority"
	HeaderTimeout        = "Bronzerill-Timeout"
	HeaderWarm           = "Bronzerill-Warm"
	HeaderReplayed       = "Bronzerill-Replayed"
	HeaderRun            = "Bronzerill-Run"
	HeaderRetry          = "Bronzerill-Retry"
	HeaderKind           = "Bronzerill-Kind"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Limits of a request.
const (
	defaultTimeout = 2 * time.Minute
	maxTimeout     = 30 * time.Minute
	maxChatBytes   = 256
	maxKeyBytes    = 256
)

// chatBody is the part of a chat completion request that the entry reads.
type chatBody struct {
	Model string `json:"model"`
	// CacheKey identifies the chat, as in the public chat completions API.
	CacheKey string `json:"prompt_cache_key"`
}

func parseChat(body []byte) (chatBody, error) {
	var c chatBody
	if err := json.Unmarshal(body, &c); err != nil {
		return c, bronzerill.Errorf(bronzerill.KindBadRequest, "body is not valid JSON: %v", err)
	}
	if c.Model == "" {
		return c, bronzerill.Errorf(bronzerill.KindBadRequest, "body has no model")
	}
	return c, nil
}

// KeyHash returns the hash of an API key in the form used in the configuration.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func authenticate(c *bronzerill.Config, r *http.Request) (bronzerill.Customer, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return bronzerill.Customer{}, bronzerill.Errorf(bronzerill.KindUnauthorized, "Authorization header must have the form Bearer API-KEY")
	}
	customer, ok := c.CustomerByKeyHash(KeyHash(key))
	if !ok {
		return bronzerill.Customer{}, bronzerill.Errorf(bronzerill.KindUnauthorized, "unknown API key")
	}
	return customer, nil
}

func parseTimeout(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, bronzerill.Errorf(bronzerill.KindBadRequest, "%s %q: must be a duration of at most %s, such as 30s", HeaderTimeout, value, maxTimeout)
	}
	return timeout, nil
}

func parsePriority(r *http.Request) (exchange.Priority, error) {
	value := r.Header.Get(HeaderPriority)
	priority, ok := exchange.ParsePriority(value)
	if !ok {
		return priority, bronzerill.Errorf(bronzerill.KindBadRequest, "%s %q: must be interactive or batch", HeaderPriority, value)
	}
	return priority, nil
}

// parseKey returns the idempotency key of a request. A version 7 UUID contains its
// creation time. parseKey refuses one that is older than state.KeyRetention, since
// the ledger may have deleted its record.
func parseKey(now time.Time, r *http.Request) (string, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return "", bronzerill.Errorf(bronzerill.KindBadRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return key, nil
	}
	if issued := time.Unix(id.Time().UnixTime()); now.Sub(issued) > state.KeyRetention {
		return "", bronzerill.Errorf(bronzerill.KindKeyExpired, "key was issued %s ago, but keys are kept for %s", now.Sub(issued).Round(time.Hour), state.KeyRetention)
	}
	return key, nil
}

// fingerprint returns a hash of customer, path and body. A resent request has the
// same fingerprint.
func fingerprint(customer, path string, body []byte) string {
	sum := sha256.New()
	sum.Write([]byte(customer + "\x00" + path + "\x00"))
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// hintSigner signs and verifies hints. A hint names the server that served a chat.
// The caller sends it back with its next request, to any entry.
type hintSigner struct{ secret []byte }

// hintSeparator separates the server from the signature. Server names don't
// contain it.
const hintSeparator = "/"

func (h hintSigner) sign(customer, chat, server string) string {
	mac := hmac.New(sha256.New, h.secret)
	mac.Write([]byte("hint\x00" + customer + "\x00" + chat + "\x00" + server))
	return server + hintSeparator + hex.EncodeToString(mac.Sum(nil)[:16])
}

// verify returns the server of a hint. It returns an empty string if the signature
// is wrong or the hint is for another chat.
func (h hintSigner) verify(customer, chat, hint string) string {
	server, _, ok := strings.Cut(hint, hintSeparator)
	if !ok || !hmac.Equal([]byte(h.sign(customer, chat, server)), []byte(hint)) {
		return ""
	}
	return server
}
