package storage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// scripted is a state service that applies what it gets and keeps count.
type scripted struct {
	t       *testing.T
	codec   *protocol.Codec
	now     time.Duration
	rev     uint64
	keys    map[string][]byte
	sizes   []int // changes of each transaction
	total   int
	limited int           // requests that will be refused for their rate
	takes   time.Duration // an answer
	lost    int           // transactions that will get none
	waited  time.Duration // for the last transaction's answer, at the most

	stamps map[string]uint64 // heeded as conditions once a test has made it
	// unsure may leave a transaction without an answer: carried out, not, or later.
	unsure func(apply func()) bool
	// checkPut looks at every value that is written.
	checkPut func(key string, value []byte)
}

func (s *scripted) Now() time.Duration { return s.now }

func (s *scripted) Call(method, path string, body []byte, timeout time.Duration, done func(Result)) {
	s.now += s.takes
	if path == "/multi" {
		s.waited = timeout
		if s.lost > 0 {
			s.lost--
			s.now += timeout - s.takes
			done(Result{})
			return
		}
	}
	if s.limited > 0 {
		s.limited--
		done(Result{Status: 429})
		return
	}
	if key, ok := strings.CutPrefix(path, "/kv/"); ok {
		if v := s.keys[key]; v != nil {
			done(Result{Status: 200, Body: s.codec.Encode(protocol.Pair{Key: key, Value: v, Stamp: s.stamps[key]})})
			return
		}
		done(Result{Status: 404, Body: s.codec.Encode(protocol.TxnAnswer{Revision: s.rev})})
		return
	}
	if path != "/multi" {
		out := protocol.Pairs{Items: []protocol.Pair{}}
		under, _, _ := strings.Cut(strings.TrimPrefix(path, "/kv?under="), "&")
		for k, v := range s.keys {
			if strings.HasPrefix(k, under) {
				out.Items = append(out.Items, protocol.Pair{Key: k, Value: v})
			}
		}
		done(Result{Status: 200, Body: s.codec.Encode(out)})
		return
	}
	var t protocol.Txn
	if err := s.codec.Decode(body, &t); err != nil {
		s.t.Fatal(err)
	}
	s.sizes = append(s.sizes, len(t.Then))
	s.total += len(t.Then)
	if s.unsure != nil && s.unsure(func() { s.apply(&t) }) {
		done(Result{})
		return
	}
	if failed := s.apply(&t); len(failed) > 0 {
		done(Result{Status: 409, Body: s.codec.Encode(protocol.TxnAnswer{Revision: s.rev, Failed: failed})})
		return
	}
	done(Result{Status: 200, Body: s.codec.Encode(protocol.TxnAnswer{Revision: s.rev})})
}

// apply carries a transaction out if its conditions are met.
func (s *scripted) apply(t *protocol.Txn) (failed []string) {
	for _, c := range t.If {
		if s.stamps != nil && s.stamps[c.Key] != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.rev++
	for _, c := range t.Then {
		if c.Put == "" {
			delete(s.keys, c.Delete)
			delete(s.stamps, c.Delete)
			continue
		}
		if len(c.Value) > 8192 {
			s.t.Fatalf("%s gets %d bytes", c.Put, len(c.Value))
		}
		if s.checkPut != nil {
			s.checkPut(c.Put, c.Value)
		}
		s.keys[c.Put] = append([]byte(nil), c.Value...)
		if s.stamps != nil {
			s.stamps[c.Put] = s.rev
		}
	}
	return nil
}

func newScripted(t *testing.T) (*scripted, *Store) {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{t: t, codec: codec, now: time.Minute, keys: make(map[string][]byte)}
	store := NewStore(s, s, codec, Limits{RPS: 50, WriteRPS: 10, TxnOps: 4, ValueBytes: 8192, Timeout: time.Second}, func(fn func()) { fn() })
	return s, store
}

func TestFinishedTasksOfALargeJob(t *testing.T) {
	s, store := newScripted(t)
	l := NewLedger(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("lost") })
	job := &protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}
	created := false
	l.Create(job, 7, "nonce", 0, func(r CreateResult) { created = r == Created })
	if !created {
		t.Fatal("not created")
	}
	written := 0
	for i := 0; i < job.Tasks; i += 3 {
		l.TaskDone(job, i, func() { written++ })
	}
	began, before := s.now, s.total
	for written == 0 || s.now-began < 3*time.Second {
		s.now += 100 * time.Millisecond
		l.Flush()
		store.Poll()
	}
	if want := (job.Tasks + 2) / 3; written != want {
		t.Fatalf("%d of %d finished tasks are written", written, want)
	}
	if limit := 10 + int(10*(s.now-began).Seconds()) + 4; s.total-before > limit {
		t.Fatalf("%d changes in %v, the rate allows %d", s.total-before, s.now-began, limit)
	}
	for _, n := range s.sizes {
		if n > 4 {
			t.Fatalf("a transaction of %d changes", n)
		}
	}
	for k, v := range s.keys {
		if len(v) > 8192 {
			t.Fatalf("%s holds %d bytes", k, len(v))
		}
	}

	again := NewLedger(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("lost") })
	var got []RecoveredJob
	again.Recover(func(jobs []RecoveredJob) { got = jobs })
	if len(got) != 1 || got[0].AtMs != 7 {
		t.Fatalf("recovered %d jobs", len(got))
	}
	for i, done := range got[0].Done {
		if done != (i%3 == 0) {
			t.Fatalf("task %d is recovered as done=%v", i, done)
		}
	}
	ended := false
	again.End(job, "", protocol.StatusDone, func() { ended = true })
	for range 50 {
		s.now += 100 * time.Millisecond
		again.Flush()
		store.Poll()
	}
	if !ended || len(s.keys) != 1 || s.keys[JobKey("wk-1")] == nil {
		t.Fatalf("after the end %d keys are left", len(s.keys))
	}
}

// A queue that is full refuses at once instead of growing.
func TestStoreBoundsItsQueue(t *testing.T) {
	_, store := newScripted(t)
	refused := 0
	for range 2000 {
		store.Txn(Foreground, protocol.Txn{Then: []protocol.Change{{Delete: "k"}}}, func(r TxnResult) {
			if r.Outcome == Refused {
				refused++
			}
		})
	}
	if len(store.queues[Foreground]) > maxQueue || refused < 1000 {
		t.Fatalf("%d requests wait, %d were refused", len(store.queues[Foreground]), refused)
	}
}

// The finished tasks of many jobs share few records: one for each would take
// more writes than the service allows, and what users wait for would be late.
func TestManyJobsShareRecords(t *testing.T) {
	s, store := newScripted(t)
	l := NewLedger(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("lost") })
	jobs := make([]*protocol.Job, 300)
	for i := range jobs {
		jobs[i] = &protocol.Job{ID: fmt.Sprintf("wk-%d", i), Tasks: 700}
		s.keys[ownPrefix+"n/"+jobs[i].ID] = s.codec.Encode(DescriptionRecord{Job: *jobs[i]})
	}
	written := 0
	for round := range 7 {
		for _, j := range jobs {
			l.TaskDone(j, round*100, func() { written++ })
		}
		for range 40 {
			s.now += 100 * time.Millisecond
			l.Flush()
			store.Poll()
		}
	}
	if written != 7*len(jobs) {
		t.Fatalf("%d finished tasks of %d are written", written, 7*len(jobs))
	}
	records := 0
	for k, v := range s.keys {
		if len(v) > 8192 {
			t.Fatalf("%s holds %d bytes", k, len(v))
		}
		if strings.HasPrefix(k, donePrefix) {
			records++
		}
	}
	if records > 12 || s.total > 7*12 {
		t.Fatalf("%d records, %d writes", records, s.total)
	}

	// A job that is over takes its part out with the next write, and pages
	// without any go.
	for _, j := range jobs[1:] {
		l.End(j, "", protocol.StatusDone, func() {})
	}
	l.TaskDone(jobs[0], 1, func() {})
	for range 1000 {
		s.now += 100 * time.Millisecond
		l.Flush()
		l.Pump()
		store.Poll()
	}
	left := 0
	for k := range s.keys {
		if strings.HasPrefix(k, donePrefix) {
			left++
		}
	}
	if left != 1 || len(l.pages) != 1 {
		t.Fatalf("%d records are left, %d pages", left, len(l.pages))
	}
	again := NewLedger(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("lost") })
	again.Recover(func(got []RecoveredJob) {
		if len(got) != 1 || !got[0].Done[1] || !got[0].Done[600] || got[0].Done[2] {
			t.Fatal("the finished tasks are not recovered")
		}
	})
}

// What users wait for goes out before what gathers; reads wait for no write;
// what nobody waits for any more is not sent; and a request refused for the
// rate is the next to go.
func TestOrderOfRequests(t *testing.T) {
	s, store := newScripted(t)
	var got []string
	put := func(class Class, key string, until time.Duration) {
		store.txnUntil(class, until, protocol.Txn{Then: []protocol.Change{{Delete: key}}}, func(r TxnResult) {
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
	store.Get(Read, "k", func(protocol.Pair, bool, bool) { got = append(got, "read") })
	for range 20 {
		s.now += 100 * time.Millisecond
		store.Poll()
	}
	if want := "[read stalefalse usertrue latertrue]"; fmt.Sprint(got) != want {
		t.Fatalf("got %v, want %s", got, want)
	}
	s.limited = 1
	got = nil
	put(Foreground, "again", 0)
	if len(got) != 0 {
		t.Fatalf("got %v from a request that was refused for its rate", got)
	}
	for range 5 {
		s.now += 100 * time.Millisecond
		store.Poll()
	}
	if fmt.Sprint(got) != "[againtrue]" {
		t.Fatalf("got %v", got)
	}
}

// What users wait for is not held up by a lost answer for longer than answers
// take of late; a service that has become slow is given its time.
func TestWaitFollowsTheService(t *testing.T) {
	s, store := newScripted(t)
	store.limits.Timeout = 1500 * time.Millisecond
	write := func(n int) {
		for range n {
			s.now += time.Second
			store.Txn(Foreground, protocol.Txn{Then: []protocol.Change{{Delete: "k"}}}, func(TxnResult) {})
		}
	}
	expect := func(when string, least, most time.Duration) {
		t.Helper()
		if s.waited < least || s.waited > most {
			t.Fatalf("%s: an answer is waited for for %v", when, s.waited)
		}
	}
	s.takes = 5 * time.Millisecond
	write(20)
	expect("quick", 300*time.Millisecond, 500*time.Millisecond)
	s.lost = 1
	write(2)
	expect("after a lost answer", 300*time.Millisecond, 700*time.Millisecond)
	s.lost = 5
	write(6)
	expect("after several", time.Second, 1500*time.Millisecond)
	write(100)
	expect("quick again", 300*time.Millisecond, 500*time.Millisecond)
	s.takes = 300 * time.Millisecond
	write(3)
	expect("slow", 1200*time.Millisecond, 1500*time.Millisecond)
}
