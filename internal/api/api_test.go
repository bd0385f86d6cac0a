package api

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// stubs implements all dependencies of an API with results set by the test. It owns no jobs.
type stubs struct {
	clock           time.Duration
	ownShard        *shard.Shard
	mayAct          bool
	memoryFull      bool
	failing         bool
	createResult    storage.CreateResult
	creations       int
	record          storage.VersionedJobRecord
	found, lookupOK bool
	lookups         int
	holder          string
	connected       bool
	queries         []*meshpb.JobQuery
	reachability    Reachability
}

func (s *stubs) Now() time.Duration                        { return s.clock }
func (s *stubs) Job(string) *shard.Job                     { return nil }
func (s *stubs) OwnShard() *shard.Shard                    { return s.ownShard }
func (s *stubs) MemoryFull(*protocol.Job) bool             { return s.memoryFull }
func (s *stubs) Cancel(*shard.Job, func(string, error))    {}
func (s *stubs) MayAct(time.Duration) bool                 { return s.mayAct }
func (s *stubs) MayActUntil() time.Duration                { return s.clock + time.Second }
func (s *stubs) AllMembersReadServices(time.Duration) bool { return true }
func (s *stubs) Fits(*protocol.Job) bool                   { return true }
func (s *stubs) Failing() bool                             { return s.failing }
func (s *stubs) Connected(string) bool                     { return s.connected }
func (s *stubs) Reachability() Reachability                { return s.reachability }
func (s *stubs) ShardHolder(string) (string, bool)         { return s.holder, s.holder != "" }

func (s *stubs) CreateJob(_ *protocol.Job, _ int64, _ time.Duration, done func(storage.CreateResult)) {
	s.creations++
	done(s.createResult)
}

func (s *stubs) LookupJob(_ string, _ storage.VersionedJobRecord, _ time.Duration, done func(storage.JobLookupResult)) {
	s.lookups++
	result := storage.JobLookupResult{Record: s.record, Found: s.found}
	if !s.lookupOK {
		result = storage.JobLookupResult{Err: storage.ErrNoAnswer}
	}
	done(result)
}

func (s *stubs) SendJobQuery(_ string, query *meshpb.JobQuery) {
	s.queries = append(s.queries, query)
}

func (s *stubs) Team(name string) *settings.Team {
	if name != "red" {
		return nil
	}
	return &settings.Team{Name: name, CPUsMax: 8}
}

func (s *stubs) MachineTypes() map[string]*protocol.MachineType {
	return map[string]*protocol.MachineType{"m8": {Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z1"}}}
}

func newTestAPI(t *testing.T, s *stubs) *API {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	return New(Config{Clock: s, Wall: func() time.Time { return time.Unix(1e9, 0) }, Codec: codec,
		Owner: s, Authority: s, Records: s, Members: s, Catalog: s, Statuses: NewStatusCache()})
}

// submission returns an encoded submission of team red: one task with this number of CPUs.
func submission(t *testing.T, api *API, cpus float64) []byte {
	t.Helper()
	return api.config.Codec.Encode(map[string]any{"nameId": "wk-1", "desk": "d", "crew": "red", "form": "batch", "urgency": "standard", "pages": 1,
		"vcpus": cpus, "cards": 0.0, "ramGb": 4.0, "plate": "img", "imageGb": 1.0, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": 30.0, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil})
}

// responseRecorder counts the responses and stores the last one.
type responseRecorder struct {
	count int
	last  Response
}

func (r *responseRecorder) reply(response Response) {
	r.count++
	r.last = response
}

func TestSubmissionResponses(t *testing.T) {
	ready := stubs{ownShard: &shard.Shard{}, mayAct: true, lookupOK: true}
	ended := storage.VersionedJobRecord{JobRecord: storage.JobRecord{Status: protocol.StatusDone, Tasks: 1, Shard: "a"}}
	for _, test := range []struct {
		name      string
		change    func(s *stubs)
		cpus      float64
		status    int
		creations int
	}{
		{"new", func(*stubs) {}, 2, 201, 1},
		{"already ended", func(s *stubs) { s.createResult, s.found, s.record = storage.AlreadyExists, true, ended }, 2, 200, 1},
		{"too large", func(*stubs) {}, 16, 422, 0},
		{"too large, but accepted earlier", func(s *stubs) { s.found, s.record = true, ended }, 16, 200, 0},
		{"state service failing", func(s *stubs) { s.failing = true }, 2, 503, 0},
		{"no authority", func(s *stubs) { s.mayAct = false }, 2, 503, 0},
		{"no authority, but accepted earlier", func(s *stubs) { s.mayAct, s.found, s.record = false, true, ended }, 2, 200, 0},
		{"no memory left", func(s *stubs) { s.memoryFull = true }, 2, 503, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := ready
			s.createResult = storage.Created
			test.change(&s)
			api := newTestAPI(t, &s)
			var got responseRecorder
			api.Submit(submission(t, api, test.cpus), got.reply)
			if got.count != 1 || got.last.Status != test.status || s.creations != test.creations {
				t.Fatalf("%d responses, the last with status %d, %d creations; want one response with %d and %d creations", got.count, got.last.Status, s.creations, test.status, test.creations)
			}
			if test.status != 200 {
				return
			}
			before := s.lookups
			api.Status("wk-1", got.reply)
			if got.last.Status != 200 || s.lookups != before {
				t.Fatalf("status query for a job whose end is cached: status %d after %d more reads, want 200 without a read", got.last.Status, s.lookups-before)
			}
		})
	}
}

func TestStatusQueryAsksTheOwnerOfAnUnfinishedJob(t *testing.T) {
	unfinished := storage.VersionedJobRecord{JobRecord: storage.JobRecord{Shard: "b"}}
	for _, test := range []struct {
		name   string
		change func(s *stubs)
		answer func(s *stubs, api *API)
		status string
		reads  int
	}{
		{"owner answers", func(*stubs) {}, func(s *stubs, api *API) {
			api.HandleJobQueryResult("b", &meshpb.JobQueryResult{Id: s.queries[0].Id, HttpStatus: 200, JobStatus: protocol.StatusRunning, Running: 1})
		}, protocol.StatusRunning, 1},
		{"another member answers, owner disconnects", func(*stubs) {}, func(s *stubs, api *API) {
			api.HandleJobQueryResult("c", &meshpb.JobQueryResult{Id: s.queries[0].Id, HttpStatus: 200, JobStatus: protocol.StatusRunning})
			api.HandleMemberDisconnected("b")
		}, protocol.StatusPending, 2},
		{"owner does not answer", func(*stubs) {}, func(s *stubs, api *API) {
			s.clock += jobQueryTimeout + 1
			api.Tick(s.clock)
		}, protocol.StatusPending, 2},
		{"owner is not connected", func(s *stubs) { s.connected = false }, func(*stubs, *API) {}, protocol.StatusPending, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := stubs{lookupOK: true, found: true, record: unfinished, holder: "b", connected: true}
			test.change(&s)
			api := newTestAPI(t, &s)
			var got responseRecorder
			api.Status("wk-1", got.reply)
			test.answer(&s, api)
			s.clock += StatusTimeout + 1
			api.Tick(s.clock) // the timeout must not reply again
			var status protocol.JobStatus
			if err := api.config.Codec.Decode(got.last.Body, &status); err != nil {
				t.Fatal(err)
			}
			if got.count != 1 || got.last.Status != 200 || status.Status != test.status || s.lookups != test.reads {
				t.Fatalf("%d responses, the last %d %q after %d reads; want one with %q after %d reads", got.count, got.last.Status, status.Status, s.lookups, test.status, test.reads)
			}
		})
	}
}

func TestReadiness(t *testing.T) {
	own := &shard.Shard{}
	for _, test := range []struct {
		name  string
		s     stubs
		after time.Duration // time for which it may not act
		ready bool
	}{
		{"may act", stubs{ownShard: own, mayAct: true}, 0, true},
		{"no shard", stubs{mayAct: true}, 0, false},
		{"state service unreachable for all", stubs{ownShard: own}, time.Minute, true},
		{"state service reachable for another member", stubs{ownShard: own, reachability: Reachability{OtherReachesStateService: true}}, time.Minute, false},
		{"within the grace period", stubs{ownShard: own, reachability: Reachability{OtherReachesStateService: true}}, notReadyGracePeriod - 1, true},
		{"connected to no member", stubs{ownShard: own, reachability: Reachability{Isolated: true}}, time.Minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := test.s
			s.clock = time.Hour
			api := newTestAPI(t, &s)
			api.Tick(s.clock)
			s.clock += test.after
			var got responseRecorder
			api.Ready(got.reply)
			if got.count != 1 || (got.last.Status == 200) != test.ready {
				t.Fatalf("%d responses, the last with status %d; want one, ready: %v", got.count, got.last.Status, test.ready)
			}
		})
	}
}

func TestStatusCacheEvictsOldestFinalStatus(t *testing.T) {
	cache := NewStatusCache()
	cache.addRecord("wk-0", storage.VersionedJobRecord{JobRecord: storage.JobRecord{Shard: "a"}})
	for i := range maxFinalStatuses + 1 {
		cache.AddFinal(string(rune('a'+i%26))+time.Duration(i).String(), protocol.StatusDone, 1)
	}
	if len(cache.final) != maxFinalStatuses || cache.Ended("a0s") || !cache.Ended("b1ns") {
		t.Fatalf("%d final statuses are cached; the oldest is cached: %v", len(cache.final), cache.Ended("a0s"))
	}
	cache.AddFinal("wk-0", protocol.StatusCancelled, 2)
	cache.AddFinal("wk-0", protocol.StatusDone, 2)
	if _, known := cache.records["wk-0"]; known || cache.final["wk-0"].status != protocol.StatusCancelled {
		t.Fatal("the record of an ended job is still cached, or its final status has changed")
	}
}
