package engine

import (
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of the chat index.
const (
	maxChats = 4096
	// warmTTL is how long the engine is expected to cache a chat after a
	// response.
	warmTTL = 2 * time.Minute
)

// chatIndex records when the engine last served each chat. The keys have the
// form customer/chat. It is safe for concurrent use.
type chatIndex struct {
	mu    sync.Mutex
	cache *lru.Cache[string, time.Time]
}

func newChatIndex() *chatIndex {
	// New fails only for a size that isn't positive.
	cache, _ := lru.New[string, time.Time](maxChats)
	return &chatIndex{cache: cache}
}

// recordServed records a complete response to the chat. It reports whether the
// chat was expected to be warm before it.
func (c *chatIndex) recordServed(now time.Time, chat string) (expectedWarm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	servedAt, ok := c.cache.Peek(chat)
	c.cache.Add(chat, now)
	return ok && now.Sub(servedAt) < warmTTL
}

// reset removes all chats. It is called at a cold start.
func (c *chatIndex) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.Purge()
}

// recent returns at most limit chats, most recently served first.
func (c *chatIndex) recent(limit int) []ServedChat {
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
