package storage

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A queue that is full refuses at once instead of growing.
func TestFullQueueRefusesRequests(t *testing.T) {
	_, client := newFakeCaller(t)
	refused := 0
	for range 2000 {
		client.Txn(Foreground, protocol.Transaction{Then: []protocol.Change{{Delete: "k"}}}, func(r TxnResult) {
			if r.Outcome == Rejected {
				refused++
			}
		})
	}
	if len(client.queues[Foreground]) > maxQueueLength || refused < 1000 {
		t.Fatalf("%d requests wait, %d were refused", len(client.queues[Foreground]), refused)
	}
}

// What users wait for goes out before what gathers; reads wait for no write;
// what nobody waits for any more is not sent; and a request refused for the
// rate is the next to go.
func TestRequestOrder(t *testing.T) {
	s, client := newFakeCaller(t)
	var got []string
	put := func(class Class, key string, until time.Duration) {
		client.TxnWithDeadline(class, until, protocol.Transaction{Then: []protocol.Change{{Delete: key}}}, func(r TxnResult) {
			got = append(got, fmt.Sprint(key, r.Outcome == Applied))
		})
	}
	for i := range 10 { // the burst
		put(Foreground, fmt.Sprint("f", i), 0)
	}
	got = nil
	put(Background, "later", 0)
	put(Foreground, "stale", s.now+50*time.Millisecond)
	put(Foreground, "user", 0)
	client.Get(Read, "k", func(GetResult) { got = append(got, "read") })
	for range 20 {
		s.now += 100 * time.Millisecond
		client.Poll()
	}
	if want := "[read stalefalse usertrue latertrue]"; fmt.Sprint(got) != want {
		t.Fatalf("got %v, want %s", got, want)
	}
	s.rateLimitedAnswers = 1
	got = nil
	put(Foreground, "again", 0)
	if len(got) != 0 {
		t.Fatalf("got %v from a request that was refused for its rate", got)
	}
	for range 5 {
		s.now += 100 * time.Millisecond
		client.Poll()
	}
	if fmt.Sprint(got) != "[againtrue]" {
		t.Fatalf("got %v", got)
	}
}

// What users wait for is not held up by a lost answer for longer than answers
// take of late; a service that has become slow is given its time.
func TestForegroundTimeoutFollowsLatency(t *testing.T) {
	s, client := newFakeCaller(t)
	client.limits.Timeout = 1500 * time.Millisecond
	write := func(n int) {
		for range n {
			s.now += time.Second
			client.Txn(Foreground, protocol.Transaction{Then: []protocol.Change{{Delete: "k"}}}, func(TxnResult) {})
		}
	}
	expect := func(when string, least, most time.Duration) {
		t.Helper()
		if s.lastTimeout < least || s.lastTimeout > most {
			t.Fatalf("%s: an answer is waited for for %v", when, s.lastTimeout)
		}
	}
	s.latency = 5 * time.Millisecond
	write(20)
	expect("quick", 300*time.Millisecond, 500*time.Millisecond)
	s.lostAnswers = 1
	write(2)
	expect("after a lost answer", 300*time.Millisecond, 700*time.Millisecond)
	s.lostAnswers = 5
	write(6)
	expect("after several", time.Second, 1500*time.Millisecond)
	write(100)
	expect("quick again", 300*time.Millisecond, 500*time.Millisecond)
	s.latency = 300 * time.Millisecond
	write(3)
	expect("slow", 1200*time.Millisecond, 1500*time.Millisecond)
}
