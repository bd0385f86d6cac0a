package storage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// fakeStateService is a state service that applies what it gets and keeps count.
type fakeStateService struct {
	t                  *testing.T
	codec              *protocol.Codec
	now                time.Duration
	revision           uint64
	keys               map[string][]byte
	txnSizes           []int // changes of each transaction
	totalChanges       int
	rateLimitedAnswers int           // requests that will be refused for their rate
	latency            time.Duration // an answer
	lostAnswers        int           // transactions that will get none
	lastTimeout        time.Duration // for the last transaction's answer, at the most

	versions map[string]uint64 // heeded as conditions once a test has made it
	// unsure may leave a transaction without an answer: carried out, not, or later.
	loseAnswer func(apply func()) bool
	// checkPut looks at every value that is written.
	checkPut func(key string, value []byte)
}

func (s *fakeStateService) Now() time.Duration { return s.now }

func (s *fakeStateService) Call(method, path string, body []byte, timeout time.Duration, done func(Response)) {
	s.now += s.latency
	if path == "/multi" {
		s.lastTimeout = timeout
		if s.lostAnswers > 0 {
			s.lostAnswers--
			s.now += timeout - s.latency
			done(Response{})
			return
		}
	}
	if s.rateLimitedAnswers > 0 {
		s.rateLimitedAnswers--
		done(Response{Status: 429})
		return
	}
	if key, ok := strings.CutPrefix(path, "/kv/"); ok {
		if v := s.keys[key]; v != nil {
			done(Response{Status: 200, Body: s.codec.Encode(protocol.KeyValue{Key: key, Value: v, Version: s.versions[key]})})
			return
		}
		done(Response{Status: 404, Body: s.codec.Encode(protocol.TransactionResponse{Revision: s.revision})})
		return
	}
	if path != "/multi" {
		out := protocol.KeyValuePage{Items: []protocol.KeyValue{}}
		under, _, _ := strings.Cut(strings.TrimPrefix(path, "/kv?under="), "&")
		for k, v := range s.keys {
			if strings.HasPrefix(k, under) {
				out.Items = append(out.Items, protocol.KeyValue{Key: k, Value: v})
			}
		}
		done(Response{Status: 200, Body: s.codec.Encode(out)})
		return
	}
	var t protocol.Transaction
	if err := s.codec.Decode(body, &t); err != nil {
		s.t.Fatal(err)
	}
	s.txnSizes = append(s.txnSizes, len(t.Then))
	s.totalChanges += len(t.Then)
	if s.loseAnswer != nil && s.loseAnswer(func() { s.apply(&t) }) {
		done(Response{})
		return
	}
	if failed := s.apply(&t); len(failed) > 0 {
		done(Response{Status: 409, Body: s.codec.Encode(protocol.TransactionResponse{Revision: s.revision, Failed: failed})})
		return
	}
	done(Response{Status: 200, Body: s.codec.Encode(protocol.TransactionResponse{Revision: s.revision})})
}

// apply carries a transaction out if its conditions are met.
func (s *fakeStateService) apply(t *protocol.Transaction) (failed []string) {
	for _, c := range t.If {
		if s.versions != nil && s.versions[c.Key] != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.revision++
	for _, c := range t.Then {
		if c.Put == "" {
			delete(s.keys, c.Delete)
			delete(s.versions, c.Delete)
			continue
		}
		if len(c.Value) > 8192 {
			s.t.Fatalf("%s gets %d bytes", c.Put, len(c.Value))
		}
		if s.checkPut != nil {
			s.checkPut(c.Put, c.Value)
		}
		s.keys[c.Put] = append([]byte(nil), c.Value...)
		if s.versions != nil {
			s.versions[c.Put] = s.revision
		}
	}
	return nil
}

func newFakeStateService(t *testing.T) (*fakeStateService, *Store) {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeStateService{t: t, codec: codec, now: time.Minute, keys: make(map[string][]byte)}
	store := NewStore(s, s, codec, Limits{RPS: 50, WriteRPS: 10, TxnOps: 4, ValueBytes: 8192, Timeout: time.Second}, func(fn func()) { fn() })
	return s, store
}

func TestFinishedTasksOfLargeJobStayWithinLimits(t *testing.T) {
	s, store := newFakeStateService(t)
	shard := NewShard(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("lost") })
	job := &protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}
	created := false
	shard.CreateJob(job, 7, "nonce", 0, func(r CreateResult) { created = r == Created })
	if !created {
		t.Fatal("not created")
	}
	written := 0
	for i := 0; i < job.Tasks; i += 3 {
		shard.FinishTask(job, i, func() { written++ })
	}
	began, before := s.now, s.totalChanges
	for written == 0 || s.now-began < 3*time.Second {
		s.now += 100 * time.Millisecond
		shard.FlushFinishedTasks()
		store.Poll()
	}
	if want := (job.Tasks + 2) / 3; written != want {
		t.Fatalf("%d of %d finished tasks are written", written, want)
	}
	if limit := 10 + int(10*(s.now-began).Seconds()) + 4; s.totalChanges-before > limit {
		t.Fatalf("%d changes in %v, the rate allows %d", s.totalChanges-before, s.now-began, limit)
	}
	for _, n := range s.txnSizes {
		if n > 4 {
			t.Fatalf("a transaction of %d changes", n)
		}
	}
	for k, v := range s.keys {
		if len(v) > 8192 {
			t.Fatalf("%s holds %d bytes", k, len(v))
		}
	}

	nextHolder := NewShard(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("lost") })
	var got []RecoveredJob
	nextHolder.Recover(func(jobs []RecoveredJob) { got = jobs })
	if len(got) != 1 || got[0].SubmittedAtMs != 7 {
		t.Fatalf("recovered %d jobs", len(got))
	}
	for i, done := range got[0].Done {
		if done != (i%3 == 0) {
			t.Fatalf("task %d is recovered as done=%v", i, done)
		}
	}
	ended := false
	nextHolder.EndJob(job, "", protocol.StatusDone, func() { ended = true })
	for range 50 {
		s.now += 100 * time.Millisecond
		nextHolder.FlushFinishedTasks()
		store.Poll()
	}
	if !ended || len(s.keys) != 1 || s.keys[JobKey("wk-1")] == nil {
		t.Fatalf("after the end %d keys are left", len(s.keys))
	}
}

// A queue that is full refuses at once instead of growing.
func TestFullQueueRefusesRequests(t *testing.T) {
	_, store := newFakeStateService(t)
	refused := 0
	for range 2000 {
		store.Txn(Foreground, protocol.Transaction{Then: []protocol.Change{{Delete: "k"}}}, func(r TxnResult) {
			if r.Outcome == Refused {
				refused++
			}
		})
	}
	if len(store.queues[Foreground]) > maxQueueLength || refused < 1000 {
		t.Fatalf("%d requests wait, %d were refused", len(store.queues[Foreground]), refused)
	}
}

// The finished tasks of many jobs share few records: one for each would take
// more writes than the service allows, and what users wait for would be late.
func TestFinishedTasksOfManyJobsShareRecords(t *testing.T) {
	s, store := newFakeStateService(t)
	shard := NewShard(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("lost") })
	jobs := make([]*protocol.Job, 300)
	for i := range jobs {
		jobs[i] = &protocol.Job{ID: fmt.Sprintf("wk-%d", i), Tasks: 700}
		s.keys[descriptionPrefix+"n/"+jobs[i].ID] = s.codec.Encode(DescriptionRecord{Job: *jobs[i]})
	}
	written := 0
	for round := range 7 {
		for _, j := range jobs {
			shard.FinishTask(j, round*100, func() { written++ })
		}
		for range 40 {
			s.now += 100 * time.Millisecond
			shard.FlushFinishedTasks()
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
		if strings.HasPrefix(k, finishedPrefix) {
			records++
		}
	}
	if records > 12 || s.totalChanges > 7*12 {
		t.Fatalf("%d records, %d writes", records, s.totalChanges)
	}

	// A job that is over takes its part out with the next write, and pages
	// without any go.
	for _, j := range jobs[1:] {
		shard.EndJob(j, "", protocol.StatusDone, func() {})
	}
	shard.FinishTask(jobs[0], 1, func() {})
	for range 1000 {
		s.now += 100 * time.Millisecond
		shard.FlushFinishedTasks()
		shard.FlushJobs()
		store.Poll()
	}
	left := 0
	for k := range s.keys {
		if strings.HasPrefix(k, finishedPrefix) {
			left++
		}
	}
	if left != 1 || len(shard.finished.pages) != 1 {
		t.Fatalf("%d records are left, %d pages", left, len(shard.finished.pages))
	}
	nextHolder := NewShard(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("lost") })
	nextHolder.Recover(func(got []RecoveredJob) {
		if len(got) != 1 || !got[0].Done[1] || !got[0].Done[600] || got[0].Done[2] {
			t.Fatal("the finished tasks are not recovered")
		}
	})
}

// What users wait for goes out before what gathers; reads wait for no write;
// what nobody waits for any more is not sent; and a request refused for the
// rate is the next to go.
func TestRequestOrder(t *testing.T) {
	s, store := newFakeStateService(t)
	var got []string
	put := func(class Class, key string, until time.Duration) {
		store.txnWithDeadline(class, until, protocol.Transaction{Then: []protocol.Change{{Delete: key}}}, func(r TxnResult) {
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
	store.Get(Read, "k", func(GetResult) { got = append(got, "read") })
	for range 20 {
		s.now += 100 * time.Millisecond
		store.Poll()
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
		store.Poll()
	}
	if fmt.Sprint(got) != "[againtrue]" {
		t.Fatalf("got %v", got)
	}
}

// What users wait for is not held up by a lost answer for longer than answers
// take of late; a service that has become slow is given its time.
func TestForegroundTimeoutFollowsLatency(t *testing.T) {
	s, store := newFakeStateService(t)
	store.limits.Timeout = 1500 * time.Millisecond
	write := func(n int) {
		for range n {
			s.now += time.Second
			store.Txn(Foreground, protocol.Transaction{Then: []protocol.Change{{Delete: "k"}}}, func(TxnResult) {})
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
