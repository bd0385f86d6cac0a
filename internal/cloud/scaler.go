package cloud

import (
	"fmt"
	"iter"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	// MaxMachinesPerScaleOut is how many machines one request creates at the most.
	MaxMachinesPerScaleOut = 50
	// CapacityBackoff is for how long a kind is refused after the cloud had no more
	// machines of it.
	CapacityBackoff = 12 * time.Second

	// malformedBackoff is the same after the cloud called a request malformed.
	malformedBackoff = 10 * CapacityBackoff
	// MaxMachinesPerScaleIn is how many machines one request releases at the most.
	MaxMachinesPerScaleIn = 100
	maxScaleInsInFlight   = 2
	// maxScaleOutAttempts is how often a request is sent whose outcome is unknown.
	maxScaleOutAttempts = 20

	statusMalformed   = 400 // of an answer
	statusRateLimited = 429
	statusUnavailable = 503
)

// noCapacity is the error by which the cloud says that it has no machines of a kind.
const noCapacity = "no capacity"

// Kind is a kind of machine that can be created.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Refusal is why the cloud creates no machines of a kind.
type RejectReason uint8

// The reasons.
const (
	NoCapacity RejectReason = iota + 1
	MalformedRequest
)

func (r RejectReason) String() string {
	switch r {
	case NoCapacity:
		return "no capacity"
	case MalformedRequest:
		return "malformed request"
	}
	return "unknown"
}

// ScaleObserver takes what becomes of a Scaler's requests.
type ScaleObserver interface {
	// MachinesCreated names new machines of a kind.
	MachinesCreated(kind Kind, names []string, now time.Duration)
	// KindRejected tells that no machines of a kind should be requested up to a time.
	KindRejected(kind Kind, why RejectReason, until time.Duration)
	// ReleaseSent tells that the release of machines has been requested.
	ReleaseSent(names []string)
	// ReleaseConfirmed is proof that machines have ended.
	ReleaseConfirmed(names []string)
	// ReleaseFailed tells that nothing is known of machines whose release was
	// requested.
	ReleaseFailed(names []string)
}

// Scaler requests and releases machines for a leader, for as long as its term
// lasts. It owns the requests in flight and the pauses that the cloud's answers
// ask for, makes no call beyond the inventory's share of the rate, and decides on
// no machine itself.
type Scaler struct {
	inventory    *Inventory
	observer     ScaleObserver
	fencingToken uint64
	stopped      bool

	lastScaleOutNumber int // its number
	scaleOuts          []*scaleOut
	scaleInsInFlight   int
	blockedUntil       time.Duration // no calls before
}

// scaleOut is a request for machines of one kind. It is repeated under its ID until
// it is answered; the cloud creates no more machines for a repetition.
type scaleOut struct {
	protocol.ScaleOutRequest
	attempts      int
	inFlight      bool
	nextAttemptAt time.Duration
}

func (s *scaleOut) kind() Kind { return Kind{s.Type, s.Zone, s.Spot} }

// NewScaler returns a scaler for a leader's term. The fencing token tells its
// requests from those of other terms.
func (i *Inventory) NewScaler(fencingToken uint64, observer ScaleObserver) *Scaler {
	return &Scaler{inventory: i, observer: observer, fencingToken: fencingToken}
}

// Stop ends the leader's term: answers that arrive later are dropped.
func (s *Scaler) Stop() { s.stopped = true }

// Blocked tells whether the cloud takes no calls at present.
func (s *Scaler) Blocked(now time.Duration) bool { return now < s.blockedUntil }

// HasScaledOut tells whether machines were ever requested in this term.
func (s *Scaler) HasScaledOut() bool { return s.lastScaleOutNumber > 0 }

// Requested yields how many machines of each kind are requested and not answered,
// request by request.
func (s *Scaler) PendingScaleOuts() iter.Seq2[Kind, int] {
	return func(yield func(Kind, int) bool) {
		for _, request := range s.scaleOuts {
			if !yield(request.kind(), request.Count) {
				return
			}
		}
	}
}

// QueueScaleOut requests machines of a kind. They are sent by SendScaleOuts.
func (s *Scaler) QueueScaleOut(kind Kind, n int) {
	for n > 0 {
		count := min(n, MaxMachinesPerScaleOut)
		s.lastScaleOutNumber++
		s.scaleOuts = append(s.scaleOuts, &scaleOut{ScaleOutRequest: protocol.ScaleOutRequest{
			RequestID: fmt.Sprintf("r-%d-%d", s.fencingToken, s.lastScaleOutNumber),
			Type:      kind.Type,
			Zone:      kind.Zone,
			Spot:      kind.Spot,
			Count:     count,
		}})
		n -= count
	}
}

// SendScaleOuts sends the requests that are due.
func (s *Scaler) SendScaleOuts(now time.Duration) {
	for _, request := range s.scaleOuts {
		if request.inFlight || now < request.nextAttemptAt || s.Blocked(now) || !s.inventory.AllowCall(now) {
			continue
		}
		request.inFlight = true
		request.attempts++
		s.call("/hosts", request.ScaleOutRequest, func(answer storage.Response) { s.handleScaleOutResponse(request, answer) })
	}
}

// call makes a call whose answer counts only within the leader's term.
func (s *Scaler) call(path string, body any, done func(storage.Response)) {
	config := &s.inventory.config
	config.API.Call("POST", path, config.Codec.Encode(body), CallTimeout, func(answer storage.Response) {
		if !s.stopped {
			done(answer)
		}
	})
}

func (s *Scaler) handleScaleOutResponse(request *scaleOut, answer storage.Response) {
	now := s.inventory.config.Clock.Now()
	request.inFlight = false
	switch answer.Status {
	case statusOK:
		s.handleCreated(request, answer.Body, now)
	case statusMalformed:
		s.observer.KindRejected(request.kind(), MalformedRequest, now+malformedBackoff)
	case statusUnavailable:
		s.handleUnavailable(request, answer.Body, now)
	case statusRateLimited:
		request.nextAttemptAt = now + RetryDelay
		return
	default:
		// It may have been carried out: a repetition under its ID tells.
		request.nextAttemptAt = now + RetryDelay
		if request.attempts < maxScaleOutAttempts {
			return
		}
	}
	s.removeScaleOut(request)
}

// handleCreated takes the names of new machines. Fewer than were requested mean that
// there are no more.
func (s *Scaler) handleCreated(request *scaleOut, body []byte, now time.Duration) {
	var created protocol.MachineNames
	if s.inventory.config.Codec.Decode(body, &created) != nil {
		return
	}
	s.observer.MachinesCreated(request.kind(), created.Machines, now)
	if len(created.Machines) < request.Count {
		s.observer.KindRejected(request.kind(), NoCapacity, now+CapacityBackoff)
	}
}

// handleUnavailable tells apart that the cloud has no machines of a kind and that it
// takes no calls.
func (s *Scaler) handleUnavailable(request *scaleOut, body []byte, now time.Duration) {
	var answer protocol.ErrorBody
	if s.inventory.config.Codec.Decode(body, &answer) == nil && answer.Error == noCapacity {
		s.observer.KindRejected(request.kind(), NoCapacity, now+CapacityBackoff)
		return
	}
	s.blockedUntil = now + RetryDelay
}

func (s *Scaler) removeScaleOut(request *scaleOut) {
	for i, other := range s.scaleOuts {
		if other == request {
			s.scaleOuts = append(s.scaleOuts[:i], s.scaleOuts[i+1:]...)
			return
		}
	}
}

// ScaleIn releases machines by their names, as many as calls are allowed for: the
// others have to be named again later.
func (s *Scaler) ScaleIn(names []string, now time.Duration) {
	for len(names) > 0 && s.scaleInsInFlight < maxScaleInsInFlight && !s.Blocked(now) && s.inventory.AllowCall(now) {
		n := min(len(names), MaxMachinesPerScaleIn)
		s.sendScaleIn(names[:n])
		names = names[n:]
	}
}

func (s *Scaler) sendScaleIn(names []string) {
	s.scaleInsInFlight++
	s.observer.ReleaseSent(names)
	s.call("/hosts/release", protocol.MachineNames{Machines: names}, func(answer storage.Response) { s.handleScaleInResponse(names, answer) })
}

func (s *Scaler) handleScaleInResponse(names []string, answer storage.Response) {
	s.scaleInsInFlight--
	if answer.Status == statusOK {
		s.observer.ReleaseConfirmed(names)
		return
	}
	s.observer.ReleaseFailed(names)
	s.blockedUntil = s.inventory.config.Clock.Now() + RetryDelay
}
