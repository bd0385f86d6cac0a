package storage

import (
	"net/http"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// fakeCaller is a state service that applies every transaction and has no keys, and is
// its own clock.
type fakeCaller struct {
	t                  *testing.T
	codec              *protocol.Codec
	now                time.Duration
	revision           uint64
	rateLimitedAnswers int           // how many requests will be refused for their rate
	latency            time.Duration // of an answer
	lostAnswers        int           // how many transactions will get none
	lastTimeout        time.Duration // of the last transaction
}

func (c *fakeCaller) Now() time.Duration { return c.now }

func (c *fakeCaller) Call(_, path string, body []byte, timeout time.Duration, done func(Response)) {
	c.now += c.latency
	if path == "/multi" {
		c.lastTimeout = timeout
		if c.lostAnswers > 0 {
			c.lostAnswers--
			c.now += timeout - c.latency
			done(Response{})
			return
		}
	}
	if c.rateLimitedAnswers > 0 {
		c.rateLimitedAnswers--
		done(Response{Status: http.StatusTooManyRequests})
		return
	}
	if path != "/multi" {
		done(Response{Status: http.StatusNotFound, Body: c.codec.Encode(protocol.TransactionResponse{Revision: c.revision})})
		return
	}
	var txn protocol.Transaction
	if err := c.codec.Decode(body, &txn); err != nil {
		c.t.Fatal(err)
	}
	c.revision++
	done(Response{Status: http.StatusOK, Body: c.codec.Encode(protocol.TransactionResponse{Revision: c.revision})})
}

// newFakeCaller returns a state service, and a client of it.
func newFakeCaller(t *testing.T) (*fakeCaller, *client) {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	caller := &fakeCaller{t: t, codec: codec, now: time.Minute}
	return caller, newClient(caller, caller, codec, Limits{RPS: 50, WriteRPS: 10, Timeout: time.Second}, func(fn func()) { fn() })
}
