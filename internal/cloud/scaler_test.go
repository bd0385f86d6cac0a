package cloud

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// scaleRecorder is an observer that records the outcomes as texts.
type scaleRecorder struct{ events []string }

func (l *scaleRecorder) record(format string, args ...any) {
	l.events = append(l.events, fmt.Sprintf(format, args...))
}

func (l *scaleRecorder) MachinesCreated(kind Kind, names []string, _ time.Duration) {
	l.record("created %s %s", kind.Type, strings.Join(names, " "))
}

func (l *scaleRecorder) KindRejected(kind Kind, reason RejectReason, _ time.Duration) {
	l.record("rejected %s: %s", kind.Type, reason)
}
func (l *scaleRecorder) ReleaseSent(names []string)      { l.record("sent %d", len(names)) }
func (l *scaleRecorder) ReleaseConfirmed(names []string) { l.record("confirmed %d", len(names)) }
func (l *scaleRecorder) ReleaseFailed(names []string)    { l.record("failed %d", len(names)) }

// newScalerFixture returns a scaler and its observer.
func newScalerFixture(t *testing.T) (*fixture, *Scaler, *scaleRecorder) {
	f, events := newFixture(t, 1000), &scaleRecorder{}
	return f, f.inventory.NewScaler(7, events), events
}

func wantEvents(t *testing.T, events *scaleRecorder, want ...string) {
	t.Helper()
	if !slices.Equal(events.events, want) {
		t.Fatalf("the observer received %q, want %q", events.events, want)
	}
}

func (s *Scaler) pendingMachines() int {
	sum := 0
	for _, n := range s.PendingScaleOuts() {
		sum += n
	}
	return sum
}

// For each response of the cloud, a request is either settled, with its outcome reported to the
// observer or further calls suspended, or sent again with the same ID.
func TestOutcomesOfAScaleOut(t *testing.T) {
	created := protocol.MachineNames{Machines: []string{"a", "b"}}
	for _, test := range []struct {
		name    string
		status  int
		body    any
		retried bool // after RetryDelay
		blocked bool
		events  []string
	}{
		{"all created", 200, created, false, false, []string{"created m8 a b"}},
		{"some created", 200, protocol.MachineNames{Machines: []string{"a"}}, false, false, []string{"created m8 a", "rejected m8: no capacity"}},
		{"malformed", 400, nil, false, false, []string{"rejected m8: malformed request"}},
		{"no capacity", 503, protocol.ErrorBody{Error: "no capacity"}, false, false, []string{"rejected m8: no capacity"}},
		{"unavailable", 503, protocol.ErrorBody{Error: "later"}, false, true, nil},
		{"rate limited", 429, nil, true, false, nil},
		{"outcome unknown", 0, nil, true, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, scaler, events := newScalerFixture(t)
			scaler.QueueScaleOut(Kind{"m8", "z1", true}, 2)
			scaler.SendScaleOuts(f.api.now)
			scaler.SendScaleOuts(f.api.now) // one call at a time
			f.wantCalls(f.api.calls, "POST /hosts")
			f.answer(test.status, test.body)
			wantEvents(t, events, test.events...)
			if got := scaler.Blocked(f.api.now); got != test.blocked {
				t.Errorf("blocked %v, want %v", got, test.blocked)
			}
			f.api.now += RetryDelay
			f.api.calls = nil
			scaler.SendScaleOuts(f.api.now)
			if got := len(f.api.calls) == 1; got != test.retried {
				t.Errorf("sent again %v, want %v", got, test.retried)
			}
			if got := scaler.pendingMachines() == 2; got != test.retried {
				t.Errorf("%d machines are pending, want 2 only if the request is retried", scaler.pendingMachines())
			}
		})
	}
}

// Machines that were rented are requested once more: the answer to a request is lost, the cloud is
// unavailable to its retry, and the request is dropped although the cloud has carried it out.
func TestUnavailableCloudDoesNotSettleAnUnansweredScaleOut(t *testing.T) {
	f, scaler, events := newScalerFixture(t)
	scaler.QueueScaleOut(Kind{"m8", "z1", true}, 2)
	for _, status := range []int{0, 503, 503} {
		scaler.SendScaleOuts(f.api.now)
		f.answer(status, protocol.ErrorBody{Error: "trouble"})
		f.api.now += RetryDelay
	}
	if got := scaler.pendingMachines(); got != 2 {
		t.Fatalf("%d machines are pending after the rejections, want 2", got)
	}
	scaler.SendScaleOuts(f.api.now)
	f.answer(200, protocol.MachineNames{Machines: []string{"a", "b"}})
	wantEvents(t, events, "created m8 a b")
	if got := scaler.pendingMachines(); got != 0 {
		t.Fatalf("%d machines are pending after the answer, want 0", got)
	}
}

func TestUnknownOutcomeIsDroppedAfterMaxAttempts(t *testing.T) {
	f, scaler, _ := newScalerFixture(t)
	scaler.QueueScaleOut(Kind{"m8", "z1", false}, 1)
	for range maxScaleOutAttempts {
		scaler.SendScaleOuts(f.api.now)
		f.answer(0, nil)
		f.api.now += RetryDelay
	}
	if scaler.pendingMachines() != 0 {
		t.Fatalf("the request is still pending after %d attempts", maxScaleOutAttempts)
	}
}

func TestManyMachinesTakeSeveralRequests(t *testing.T) {
	f, scaler, events := newScalerFixture(t)
	scaler.QueueScaleOut(Kind{"m8", "z1", false}, MaxMachinesPerScaleOut+1)
	f.api.now += time.Second
	scaler.SendScaleOuts(f.api.now)
	f.wantCalls(f.api.calls, "POST /hosts", "POST /hosts")
	f.api.calls = nil
	names := make([]string, 2*MaxMachinesPerScaleIn+1)
	scaler.ScaleIn(names, f.api.now)
	f.wantCalls(f.api.calls, "POST /hosts/release", "POST /hosts/release")
	wantEvents(t, events, "sent 100", "sent 100")
}

func TestOnlyASuccessConfirmsARelease(t *testing.T) {
	f, scaler, events := newScalerFixture(t)
	scaler.ScaleIn([]string{"a"}, f.api.now)
	f.answer(503, nil)
	scaler.ScaleIn([]string{"a"}, f.api.now) // blocked: makes no call
	f.api.now += RetryDelay
	scaler.ScaleIn([]string{"a"}, f.api.now)
	f.answer(200, nil)
	wantEvents(t, events, "sent 1", "failed 1", "sent 1", "confirmed 1")
}

func TestResponsesAfterTheTermAreDropped(t *testing.T) {
	f, scaler, events := newScalerFixture(t)
	scaler.QueueScaleOut(Kind{"m8", "z1", false}, 1)
	scaler.SendScaleOuts(f.api.now)
	scaler.Stop()
	f.answer(200, protocol.MachineNames{Machines: []string{"a"}})
	wantEvents(t, events)
}

// The request IDs of two terms differ; otherwise the cloud would treat a request as a retry of one
// from another term.
func TestRequestIDsOfTwoTermsDiffer(t *testing.T) {
	f := newFixture(t, 1000)
	var ids []string
	f.inventory.config.API = callerFunc(func(body []byte) {
		var request protocol.ScaleOutRequest
		if err := f.codec.Decode(body, &request); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, request.RequestID)
	})
	for term := uint64(1); term <= 2; term++ {
		scaler := f.inventory.NewScaler(term, &scaleRecorder{})
		scaler.QueueScaleOut(Kind{"m8", "z1", false}, 1)
		f.api.now += time.Second
		scaler.SendScaleOuts(f.api.now)
	}
	if want := []string{"r-1-1", "r-2-1"}; !slices.Equal(ids, want) {
		t.Fatalf("IDs %q, want %q", ids, want)
	}
}

// callerFunc is called with the body of each call. The calls get no response.
type callerFunc func(body []byte)

func (f callerFunc) Call(_, _ string, body []byte, _ time.Duration, _ func(storage.Response)) {
	f(body)
}
