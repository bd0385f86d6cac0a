package cloud

import (
	"fmt"
	"iter"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	// MaxMachinesPerScaleOut is the maximum number of machines that one request creates.
	MaxMachinesPerScaleOut = 50
	// CapacityBackoff is how long a kind is not requested after the cloud had no more machines
	// of it.
	CapacityBackoff = 12 * time.Second

	// malformedBackoff is how long a kind is not requested after the cloud rejected a request
	// for it as malformed.
	malformedBackoff = 10 * CapacityBackoff
	// MaxMachinesPerScaleIn is the maximum number of machines that one request releases.
	MaxMachinesPerScaleIn = 100
	maxScaleInsInFlight   = 2
	// maxScaleOutAttempts is how many times a request is sent while its outcome is unknown. After
	// that the machine list shows what it created.
	maxScaleOutAttempts = 20

	statusMalformed   = 400 // HTTP status codes
	statusRateLimited = 429
	statusUnavailable = 503
)

// noCapacity is the error text with which the cloud reports that it has no machines of a kind.
const noCapacity = "no capacity"

// Kind is a kind of machine that can be requested: a machine type in a zone, as a spot machine or
// not.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// RejectReason is the reason why the cloud creates no machines of a kind.
type RejectReason uint8

// The reasons for rejecting a request.
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

// ScaleObserver receives the outcomes of a Scaler's requests.
type ScaleObserver interface {
	// MachinesCreated is called with the names of new machines of a kind.
	MachinesCreated(kind Kind, names []string, now time.Duration)
	// KindRejected is called when no machines of a kind should be requested until a time.
	KindRejected(kind Kind, reason RejectReason, until time.Duration)
	// ReleaseSent is called when the release of machines is requested.
	ReleaseSent(names []string)
	// ReleaseConfirmed is called when the cloud has confirmed a release: this is proof that the
	// machines are terminated.
	ReleaseConfirmed(names []string)
	// ReleaseFailed is called when the outcome of a requested release is unknown.
	ReleaseFailed(names []string)
}

// Scaler requests and releases machines for a leader during its term. It owns the requests in
// flight and the backoff after rejected calls, and makes no call beyond the inventory's share of
// the call rate. Which machines to request and release is decided by its caller.
type Scaler struct {
	inventory    *Inventory
	observer     ScaleObserver
	fencingToken uint64
	stopped      bool

	lastScaleOutNumber int // of the last request in this term; 0: none
	scaleOuts          []*scaleOut
	scaleInsInFlight   int
	blockedUntil       time.Duration // no calls are made before, on the inventory's clock
}

// scaleOut is a request for machines of one kind. It is retried with the same ID until it is
// answered; the cloud creates no further machines for a retry.
type scaleOut struct {
	protocol.ScaleOutRequest
	attempts      int
	unanswered    bool // an attempt got no usable answer, so the cloud may have created machines
	inFlight      bool
	nextAttemptAt time.Duration
}

func (s *scaleOut) kind() Kind { return Kind{s.Type, s.Zone, s.Spot} }

// NewScaler returns a scaler for a leader's term. The fencing token distinguishes its requests
// from those of other terms.
func (i *Inventory) NewScaler(fencingToken uint64, observer ScaleObserver) *Scaler {
	return &Scaler{inventory: i, observer: observer, fencingToken: fencingToken}
}

// Stop ends the leader's term: responses that arrive later are dropped.
func (s *Scaler) Stop() { s.stopped = true }

// Blocked reports whether calls are suspended after the cloud was unavailable or a release failed.
func (s *Scaler) Blocked(now time.Duration) bool { return now < s.blockedUntil }

// HasScaledOut reports whether any machines were requested in this term.
func (s *Scaler) HasScaledOut() bool { return s.lastScaleOutNumber > 0 }

// PendingScaleOuts yields the kind and the number of machines of each request that is queued or has
// no final response.
func (s *Scaler) PendingScaleOuts() iter.Seq2[Kind, int] {
	return func(yield func(Kind, int) bool) {
		for _, request := range s.scaleOuts {
			if !yield(request.kind(), request.Count) {
				return
			}
		}
	}
}

// QueueScaleOut queues requests for n machines of a kind, to be sent by SendScaleOuts.
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

// SendScaleOuts sends the queued requests and retries that are due.
func (s *Scaler) SendScaleOuts(now time.Duration) {
	for _, request := range s.scaleOuts {
		if request.inFlight || now < request.nextAttemptAt || s.Blocked(now) || !s.inventory.AllowCall(now) {
			continue
		}
		request.inFlight = true
		request.attempts++
		s.call("/hosts", request.ScaleOutRequest, func(response storage.Response) { s.handleScaleOutResponse(request, response) })
	}
}

// call makes a call whose response is dropped after the leader's term.
func (s *Scaler) call(path string, body any, done func(storage.Response)) {
	config := &s.inventory.config
	config.API.Call("POST", path, config.Codec.Encode(body), CallTimeout, func(response storage.Response) {
		if !s.stopped {
			done(response)
		}
	})
}

func (s *Scaler) handleScaleOutResponse(request *scaleOut, response storage.Response) {
	now := s.inventory.config.Clock.Now()
	request.inFlight = false
	settled := true
	switch response.Status {
	case statusOK:
		settled = s.handleCreated(request, response.Body, now)
		request.unanswered = request.unanswered || !settled
	case statusMalformed:
		s.observer.KindRejected(request.kind(), MalformedRequest, now+malformedBackoff)
	case statusUnavailable:
		settled = s.handleUnavailable(request, response.Body, now)
	case statusRateLimited:
		request.nextAttemptAt = now + RetryDelay
		return
	default:
		settled = false
		request.unanswered = request.unanswered || !response.NotSent
	}
	if settled || request.attempts >= maxScaleOutAttempts {
		s.removeScaleOut(request)
		return
	}
	// The request may have been carried out; a retry with the same ID shows the outcome.
	request.nextAttemptAt = now + RetryDelay
}

// handleCreated handles the names of new machines, and reports whether it can read them. Fewer than
// requested mean that the cloud has no more machines of the kind.
func (s *Scaler) handleCreated(request *scaleOut, body []byte, now time.Duration) (settled bool) {
	var created protocol.MachineNames
	if s.inventory.config.Codec.Decode(body, &created) != nil {
		return false
	}
	s.observer.MachinesCreated(request.kind(), created.Machines, now)
	if len(created.Machines) < request.Count {
		s.observer.KindRejected(request.kind(), NoCapacity, now+CapacityBackoff)
	}
	return true
}

// handleUnavailable distinguishes between a cloud that has no machines of a kind and one that
// accepts no calls at present. It reports whether the request has its final response: a cloud that
// accepts no calls says nothing about an earlier attempt that got no answer, while one that has no
// machines would have repeated the answer to an attempt that it had carried out.
func (s *Scaler) handleUnavailable(request *scaleOut, body []byte, now time.Duration) (settled bool) {
	var response protocol.ErrorBody
	if s.inventory.config.Codec.Decode(body, &response) == nil && response.Error == noCapacity {
		s.observer.KindRejected(request.kind(), NoCapacity, now+CapacityBackoff)
		return true
	}
	s.blockedUntil = now + RetryDelay
	return !request.unanswered
}

func (s *Scaler) removeScaleOut(request *scaleOut) {
	for i, other := range s.scaleOuts {
		if other == request {
			s.scaleOuts = append(s.scaleOuts[:i], s.scaleOuts[i+1:]...)
			return
		}
	}
}

// ScaleIn releases the named machines as far as the limits on calls allow. The caller must pass
// the others again later.
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
	s.call("/hosts/release", protocol.MachineNames{Machines: names}, func(response storage.Response) { s.handleScaleInResponse(names, response) })
}

func (s *Scaler) handleScaleInResponse(names []string, response storage.Response) {
	s.scaleInsInFlight--
	if response.Status == statusOK {
		s.observer.ReleaseConfirmed(names)
		return
	}
	s.observer.ReleaseFailed(names)
	s.blockedUntil = s.inventory.config.Clock.Now() + RetryDelay
}
