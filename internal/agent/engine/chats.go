package engine

import (
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of the chat index.
const (
	maxChats = 4096
	// warmFor is how long a chat is expected to stay in the engine's cache.
	warmFor = 2 * time.Minute
)

// chats remembers which chats this engine has served, by customer and chat.
type chats struct {
	mu    sync.Mutex
	cache *lru.Cache[string, time.Time]
}

func newChats() *chats {
	// The size is a positive constant, so the error can't occur.
	cache, _ := lru.New[string, time.Time](maxChats)
	return &chats{cache: cache}
}

// served notes a whole answer, and reports whether the chat was expected to be
// warm before it.
func (c *chats) served(now time.Time, chat string) (expected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.cache.Peek(chat)
	c.cache.Add(chat, now)
	return ok && now.Sub(at) < warmFor
}

// forget drops every chat, after a cold start.
func (c *chats) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.Purge()
}

// recent returns at most limit chats, the last served first.
func (c *chats) recent(limit int) []ServedChat {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := c.cache.Keys()
	slices.Reverse(keys)
	list := make([]ServedChat, 0, limit)
	for _, key := range keys[:min(limit, len(keys))] {
		customer, chat, _ := strings.Cut(key, "/")
		list = append(list, ServedChat{customer, chat})
	}
	return list
}

// ServedChat is a chat that the engine has served.
type ServedChat struct {
	Customer string
	Chat     string
}
