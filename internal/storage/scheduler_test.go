package storage

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A full queue rejects requests at once instead of growing.
func TestFullQueueRejectsRequests(t *testing.T) {
	_, client := newFakeCaller(t)
	rejected := 0
	for range 2000 {
		client.Txn(Foreground, protocol.Transaction{Then: []protocol.Change{{Delete: "k"}}}, func(r TxnResult) {
			if r.Outcome == Rejected {
				rejected++
			}
		})
	}
	if len(client.queues[Foreground]) > maxQueueLength || rejected < 1000 {
		t.Fatalf("%d requests are queued, want at most 512; %d were rejected, want at least 1000", len(client.queues[Foreground]), rejected)
	}
}

// Writes that users wait for are sent before background writes, reads don't wait for the write
// rate, a request whose deadline has passed is not sent, and a request rejected because of the
// rate is sent first afterwards.
func TestRequestOrder(t *testing.T) {
	s, client := newFakeCaller(t)
	var got []string
	send := func(class Class, key string, deadline time.Duration) {
		client.TxnWithDeadline(class, deadline, protocol.Transaction{Then: []protocol.Change{{Delete: key}}}, func(r TxnResult) {
			got = append(got, fmt.Sprint(key, r.Outcome == Applied))
		})
	}
	for i := range 10 { // uses up the burst
		send(Foreground, fmt.Sprint("f", i), 0)
	}
	got = nil
	send(Background, "later", 0)
	send(Foreground, "stale", s.now+50*time.Millisecond)
	send(Foreground, "user", 0)
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
	send(Foreground, "again", 0)
	if len(got) != 0 {
		t.Fatalf("got %v from a request that was rejected because of the rate", got)
	}
	for range 5 {
		s.now += 100 * time.Millisecond
		client.Poll()
	}
	if fmt.Sprint(got) != "[againtrue]" {
		t.Fatalf("got %v, want [againtrue]", got)
	}
}

// A lost answer must not delay the writes that users wait for by much more than the recent
// latency of answers, while a service that has become slow is given more time.
func TestForegroundTimeoutFollowsLatency(t *testing.T) {
	s, client := newFakeCaller(t)
	client.limits.Timeout = 1500 * time.Millisecond
	write := func(n int) {
		for range n {
			s.now += time.Second
			client.Txn(Foreground, protocol.Transaction{Then: []protocol.Change{{Delete: "k"}}}, func(TxnResult) {})
		}
	}
	checkTimeout := func(when string, least, most time.Duration) {
		t.Helper()
		if s.lastTimeout < least || s.lastTimeout > most {
			t.Fatalf("%s: the timeout is %v, which is outside the range that the failed call expects", when, s.lastTimeout)
		}
	}
	s.latency = 5 * time.Millisecond
	write(20)
	checkTimeout("quick", 300*time.Millisecond, 500*time.Millisecond)
	s.lostAnswers = 1
	write(2)
	checkTimeout("after a lost answer", 300*time.Millisecond, 700*time.Millisecond)
	s.lostAnswers = 5
	write(6)
	checkTimeout("after several lost answers", time.Second, 1500*time.Millisecond)
	write(100)
	checkTimeout("quick again", 300*time.Millisecond, 500*time.Millisecond)
	s.latency = 300 * time.Millisecond
	write(3)
	checkTimeout("slow", 1200*time.Millisecond, 1500*time.Millisecond)
}
