package storage

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// listPageSize is the maximum number of keys in one page of a listing.
const listPageSize = 500

// listTimeoutFactor is the timeout of one page of a listing, as a multiple of Limits.Timeout.
const listTimeoutFactor = 3

// client is this process's client of the state service. Transactions are in
// transactions.go, leases in leases.go.
type client struct {
	scheduler
	codec  *protocol.Codec
	log    *zerolog.Logger
	timers []timer
}

// newClient returns a client whose token buckets are full.
func newClient(caller Caller, clock Clock, codec *protocol.Codec, limits Limits, runLater func(func()), log *zerolog.Logger) *client {
	return &client{scheduler: newScheduler(caller, clock, limits, runLater), codec: codec, log: log}
}

// Now returns the time of the client's monotonic clock.
func (c *client) Now() time.Duration { return c.clock.Now() }

// Poll runs the functions that are due and sends the queued requests that the rates allow. The
// controller calls it on every tick.
func (c *client) Poll() {
	c.runTimers()
	c.dispatch()
}

// timer is a function that runs at a time of the client's clock.
type timer struct {
	dueAt time.Duration
	fn    func()
}

// After runs fn in the first Poll after the delay.
func (c *client) After(delay time.Duration, fn func()) {
	c.timers = append(c.timers, timer{dueAt: c.clock.Now() + delay, fn: fn})
}

// runTimers runs the functions that are due, including due ones that these functions add.
func (c *client) runTimers() {
	now := c.clock.Now()
	for i := 0; i < len(c.timers); {
		if c.timers[i].dueAt > now {
			i++
			continue
		}
		fn := c.timers[i].fn
		c.timers = append(c.timers[:i], c.timers[i+1:]...)
		fn()
	}
}

// GetResult is the result of reading one key.
type GetResult struct {
	KeyValue protocol.KeyValue // zero unless Found
	Found    bool              // false also if Err is set
	Err      error             // ErrNoAnswer, or nil
}

// Get reads one key.
func (c *client) Get(class Class, key string, done func(GetResult)) {
	c.GetWithDeadline(class, noDeadline, key, done)
}

// GetWithDeadline reads one key. A request that is still queued at the deadline (on the
// client's clock; noDeadline for none) is not sent.
func (c *client) GetWithDeadline(class Class, deadline time.Duration, key string, done func(GetResult)) {
	c.enqueue(request{
		class: class, deadline: deadline, method: http.MethodGet, path: "/kv/" + key,
		done: func(r Response) { done(c.getResult(r)) },
	})
}

// getResult decodes the response to a read of one key.
func (c *client) getResult(r Response) GetResult {
	var pair protocol.KeyValue
	switch {
	case r.Status == http.StatusNotFound:
		return GetResult{}
	case r.Status == http.StatusOK && c.codec.Decode(r.Body, &pair) == nil:
		return GetResult{KeyValue: pair, Found: true}
	}
	return GetResult{Err: ErrNoAnswer}
}

// ListDone is the callback of a listing. It receives all items and the revision of the first
// page, or ErrNoAnswer if a page could not be read.
type ListDone func(items []protocol.KeyValue, revision uint64, err error)

// List reads all keys with a prefix, page by page.
func (c *client) List(prefix string, done ListDone) {
	l := &listing{client: c, prefix: prefix, done: done}
	l.readPage("")
}

// listing is a listing in progress.
type listing struct {
	client   *client
	prefix   string
	items    []protocol.KeyValue
	revision uint64 // of the first page
	done     ListDone
}

// readPage reads the keys after the given key; "" stands for the start of the listing.
func (l *listing) readPage(after string) {
	path := "/kv?under=" + l.prefix + "&limit=" + strconv.Itoa(listPageSize)
	if after != "" {
		path += "&from=" + after
	}
	l.client.enqueue(request{class: Read, method: http.MethodGet, path: path, timeout: listTimeoutFactor * l.client.limits.Timeout, done: l.handlePage})
}

// handlePage stores a page and requests the next one if there are more.
func (l *listing) handlePage(r Response) {
	var page protocol.KeyValuePage
	if r.Status != http.StatusOK || l.client.codec.Decode(r.Body, &page) != nil {
		l.done(nil, 0, ErrNoAnswer)
		return
	}
	l.items = append(l.items, page.Items...)
	if l.revision == 0 {
		l.revision = page.Revision
	}
	if page.More && len(page.Items) > 0 {
		l.readPage(page.Items[len(page.Items)-1].Key)
		return
	}
	l.done(l.items, l.revision, nil)
}

// Watch waits up to maxWait for changes under a prefix after a revision. done receives the
// changes (none if there were none), or ErrRevisionTooOld or ErrNoAnswer.
func (c *client) Watch(prefix string, afterRevision uint64, maxWait time.Duration, done func(changes protocol.WatchResponse, err error)) {
	path := "/watch?under=" + prefix + "&from=" + strconv.FormatUint(afterRevision, 10) + "&holdMs=" + strconv.FormatInt(maxWait.Milliseconds(), 10)
	c.enqueue(request{class: Urgent, method: http.MethodGet, path: path, timeout: maxWait + 2*c.limits.Timeout, done: func(r Response) {
		var changes protocol.WatchResponse
		switch {
		case r.Status == http.StatusGone:
			done(changes, ErrRevisionTooOld)
		case r.Status == http.StatusOK && c.codec.Decode(r.Body, &changes) == nil:
			done(changes, nil)
		default:
			done(changes, ErrNoAnswer)
		}
	}})
}
