// Package caller serves the fleet's callers over HTTP: chat completions and
// calls to plain services.
package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/exchange"
)

// Headers of the caller's protocol.
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
	// CacheKey is the published parameter by which a caller names a chat.
	CacheKey string `json:"prompt_cache_key"`
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, exchange.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bronzerill.Errorf(bronzerill.KindBodyTooLarge, "over %d bytes", exchange.MaxBodyBytes)
	}
	return nil, bronzerill.Errorf(bronzerill.KindBadRequest, "body: %v", err)
}

func parseChat(body []byte) (chatBody, error) {
	var c chatBody
	if err := json.Unmarshal(body, &c); err != nil {
		return c, bronzerill.Errorf(bronzerill.KindBadRequest, "body is no JSON: %v", err)
	}
	if c.Model == "" {
		return c, bronzerill.Errorf(bronzerill.KindBadRequest, "body: model is missing")
	}
	return c, nil
}

// KeyHash returns the configured form of an API key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func authenticate(c *bronzerill.Config, r *http.Request) (bronzerill.Customer, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return bronzerill.Customer{}, bronzerill.Errorf(bronzerill.KindUnauthorized, "Authorization: want Bearer and an API key")
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
		return 0, bronzerill.Errorf(bronzerill.KindBadRequest, "%s %q: want a duration up to %s, such as 30s", HeaderTimeout, value, maxTimeout)
	}
	return timeout, nil
}

func parsePriority(r *http.Request) (exchange.Priority, error) {
	value := r.Header.Get(HeaderPriority)
	priority, ok := exchange.ParsePriority(value)
	if !ok {
		return priority, bronzerill.Errorf(bronzerill.KindBadRequest, "%s %q: want interactive or batch", HeaderPriority, value)
	}
	return priority, nil
}

// parseKey checks an idempotency key. A version 7 UUID tells its own age, so
// one that the ledger may have forgotten is refused.
func parseKey(now time.Time, r *http.Request) (string, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return "", bronzerill.Errorf(bronzerill.KindBadRequest, "%s is over %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return key, nil
	}
	if issued := time.Unix(id.Time().UnixTime()); now.Sub(issued) > state.KeyRetention {
		return "", bronzerill.Errorf(bronzerill.KindKeyExpired, "issued %s ago, kept for %s", now.Sub(issued).Round(time.Hour), state.KeyRetention)
	}
	return key, nil
}

// fingerprint identifies a request whoever resends it.
func fingerprint(customer, path string, body []byte) string {
	sum := sha256.New()
	sum.Write([]byte(customer + "\x00" + path + "\x00"))
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// hintSigner signs the name of the server that served a chat, so that the caller can
// carry it back to any entry.
type hintSigner struct{ secret []byte }

// hintSeparator stands between server and signature; no server's name has it.
const hintSeparator = "/"

func (h hintSigner) sign(customer, chat, server string) string {
	mac := hmac.New(sha256.New, h.secret)
	mac.Write([]byte("hint\x00" + customer + "\x00" + chat + "\x00" + server))
	return server + hintSeparator + hex.EncodeToString(mac.Sum(nil)[:16])
}

// open returns the server of a hint, or the empty string when it isn't ours or
// is another chat's.
func (h hintSigner) verify(customer, chat, hint string) string {
	server, _, ok := strings.Cut(hint, hintSeparator)
	if !ok || !hmac.Equal([]byte(h.sign(customer, chat, server)), []byte(hint)) {
		return ""
	}
	return server
}
