package cloud

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// fakeAPI is a cloud whose responses are delivered by the test. It is also the clock.
type fakeAPI struct {
	now     time.Duration
	calls   []string
	waiting []func(storage.Response)
}

func (f *fakeAPI) Now() time.Duration { return f.now }

func (f *fakeAPI) Call(method, path string, _ []byte, _ time.Duration, done func(storage.Response)) {
	f.calls = append(f.calls, method+" "+path)
	f.waiting = append(f.waiting, done)
}

// listRecorder is an observer that records the lists that it receives.
type listRecorder struct{ lists []string }

func (o *listRecorder) MachinesListed(machines []protocol.ListedMachine, _ time.Duration) {
	var names []string
	for _, m := range machines {
		names = append(names, m.ID)
	}
	o.lists = append(o.lists, strings.Join(names, " "))
}

type fixture struct {
	t         *testing.T
	api       *fakeAPI
	codec     *protocol.Codec
	inventory *Inventory
}

func newFixture(t *testing.T, callsPerSecond float64) *fixture {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	api := &fakeAPI{now: time.Minute}
	inventory := NewInventory(Config{API: api, Clock: api, Codec: codec, Peers: 2, MaxMachines: 1000,
		Settings: settings.Cloud{RPS: callsPerSecond, ListLagS: 12}})
	return &fixture{t, api, codec, inventory}
}

// tick advances the clock, calls Tick and returns the calls that were made.
func (f *fixture) tick(after time.Duration) []string {
	f.api.calls = nil
	f.api.now += after
	f.inventory.Tick(f.api.now)
	return f.api.calls
}

// answer delivers the response to the oldest unanswered call.
func (f *fixture) answer(status int, body any) {
	f.t.Helper()
	if len(f.api.waiting) == 0 {
		f.t.Fatal("there is no unanswered call, want one")
	}
	done := f.api.waiting[0]
	f.api.waiting = f.api.waiting[1:]
	done(storage.Response{Status: status, Body: f.codec.Encode(body)})
}

func (f *fixture) wantCalls(got []string, want ...string) {
	f.t.Helper()
	if !slices.Equal(got, want) {
		f.t.Fatalf("calls %q, want %q", got, want)
	}
}

func machinePage(more bool, machines ...protocol.ListedMachine) protocol.MachineList {
	return protocol.MachineList{Machines: machines, More: more}
}

func runningMachine(name string) protocol.ListedMachine {
	return protocol.ListedMachine{ID: name, Status: StatusRunning}
}

func TestCatalogIsReplacedWholeAndPolledAgain(t *testing.T) {
	f := newFixture(t, 1000)
	f.wantCalls(f.tick(0), "GET /catalog")
	f.wantCalls(f.tick(catalogInterval)) // one call at a time
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "a"}, {Name: "b"}}})
	first := f.inventory.Catalog()
	if f.inventory.Type("a") == nil || f.inventory.Type("c") != nil || len(first) != 2 {
		t.Fatalf("catalog %v, want the types a and b", first)
	}
	f.wantCalls(f.tick(catalogInterval - time.Second))
	f.wantCalls(f.tick(time.Second), "GET /catalog")
	f.answer(503, protocol.ErrorBody{Error: "trouble"})
	f.wantCalls(f.tick(RetryDelay), "GET /catalog")
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "c"}}})
	if len(first) != 2 || f.inventory.Type("a") != nil || f.inventory.Type("c") == nil {
		t.Fatalf("catalog %v, the first one read is %v", f.inventory.Catalog(), first)
	}
}

func TestOnlyTheLeaderReadsTheMachineList(t *testing.T) {
	f := newFixture(t, 1000)
	f.wantCalls(f.tick(0), "GET /catalog")
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "a"}}})
	f.wantCalls(f.tick(time.Second))
	leader := &listRecorder{}
	f.inventory.StartLeading(leader, f.api.now)
	f.wantCalls(f.tick(0), "GET /catalog", "GET /hosts?limit=500")
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "a"}}})
	f.answer(200, machinePage(true, runningMachine("vm-1")))
	if _, ok := f.inventory.Listed("vm-1"); ok || f.inventory.ListedAt() != 0 {
		t.Fatal("an incompletely read list is in use")
	}
	startedAt := f.api.now
	f.wantCalls(f.tick(time.Second), "GET /hosts?limit=500&from=vm-1")
	f.answer(200, machinePage(false, protocol.ListedMachine{ID: "vm-2", Status: StatusFailed}))
	if got := fmt.Sprint(leader.lists); got != "[vm-1 vm-2]" {
		t.Fatalf("the observer received %s, want [vm-1 vm-2]", got)
	}
	if f.inventory.ListedAt() != startedAt {
		t.Fatalf("the list is of %v, want the start of its read, %v", f.inventory.ListedAt(), startedAt)
	}
	if entry, ok := f.inventory.Listed("vm-2"); !ok || entry.Status != StatusFailed {
		t.Fatalf("vm-2 is listed as %+v, want the status failed", entry)
	}
	f.inventory.StopLeading()
	f.wantCalls(f.tick(leaderCatalogInterval), "GET /catalog") // not the machine list
}

func TestRunningForCountsFromTheFirstListShowingIt(t *testing.T) {
	f := newFixture(t, 1000)
	leader := &listRecorder{}
	f.inventory.StartLeading(leader, f.api.now)
	f.tick(0)
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "a"}}})
	f.answer(200, machinePage(false, runningMachine("vm-1"), protocol.ListedMachine{ID: "vm-2", Status: "starting"}))
	since := f.api.now
	f.wantCalls(f.tick(4*time.Second), "GET /hosts?limit=500")
	f.answer(200, machinePage(false, runningMachine("vm-1"), runningMachine("vm-2")))
	for name, want := range map[string]time.Duration{"vm-1": f.api.now - since, "vm-2": 0, "vm-3": 0} {
		if got := f.inventory.RunningFor(name, f.api.now); got != want {
			t.Errorf("%s is running for %v, want %v", name, got, want)
		}
	}
}

func TestRejectedPagesAreRetriedBeforeTheListRestarts(t *testing.T) {
	f := newFixture(t, 1000)
	f.inventory.StartLeading(&listRecorder{}, f.api.now)
	f.tick(0)
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "a"}}})
	f.answer(200, machinePage(true, runningMachine("vm-1")))
	for range maxPageFailures {
		f.wantCalls(f.tick(RetryDelay), "GET /hosts?limit=500&from=vm-1")
		f.answer(429, protocol.ErrorBody{Error: "too many requests"})
	}
	f.wantCalls(f.tick(RetryDelay), "GET /hosts?limit=500")
}

func TestPageForAnEarlierLeaderIsNotGivenToTheNext(t *testing.T) {
	f := newFixture(t, 1000)
	first, second := &listRecorder{}, &listRecorder{}
	f.inventory.StartLeading(first, f.api.now)
	f.tick(0)
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "a"}}})
	f.inventory.StopLeading()
	f.inventory.StartLeading(second, f.api.now)
	f.wantCalls(f.tick(time.Second), "GET /catalog", "GET /hosts?limit=500")
	f.answer(200, machinePage(false, runningMachine("vm-1"))) // response to the first leader's call
	if len(first.lists)+len(second.lists) != 0 {
		t.Fatalf("the leaders received the lists %v and %v, want none", first.lists, second.lists)
	}
	f.answer(200, protocol.Catalog{Types: []protocol.MachineType{{Name: "a"}}})
	f.answer(200, machinePage(false, runningMachine("vm-2")))
	if got := fmt.Sprint(second.lists); len(first.lists) != 0 || got != "[vm-2]" {
		t.Fatalf("the leaders received the lists %v and %s, want none and [vm-2]", first.lists, got)
	}
}

func TestCallsStayWithinTheShareOfTheRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		leading bool
		want    int // calls in 100 s
	}{
		{"leader", true, 300},
		{"follower", false, 50}, // two followers divide the rest
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := newCallLimiter(4, 2)
			limiter.refilledAt = time.Minute
			calls := 0
			for now := time.Minute; now < time.Minute+100*time.Second; now += 10 * time.Millisecond {
				if limiter.allow(now, c.leading) {
					calls++
				}
			}
			if calls < c.want-1 || calls > c.want+1 {
				t.Fatalf("%d calls, want %d", calls, c.want)
			}
		})
	}
}
