package coordination

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	maxMachinesPerRequest = 50  // machines in one scale-out request
	maxMachinesPerScaleIn = 100 // names in one scale-in request
	maxScaleInsInFlight   = 2
	// maxScaleOutAttempts is how often a request is sent whose outcome is unknown.
	maxScaleOutAttempts = 20
	// capacityBackoff is for how long a kind is not requested after the cloud had
	// none.
	capacityBackoff = 12 * time.Second
	// malformedBackoff is the same after the cloud called a request malformed.
	malformedBackoff = 10 * capacityBackoff
)

// noCapacity is the error by which the cloud says that it has no machines of a kind.
const noCapacity = "no capacity"

// scaleOutRequest is a request for machines of one kind. It is repeated under its
// ID until it is answered; the cloud creates no more machines for a repetition.
type scaleOutRequest struct {
	protocol.ScaleOutRequest
	kind        machineKind
	attempts    int
	inFlight    bool
	nextAttempt time.Duration
}

// cloudRequests carries the autoscaler's decisions out. It owns the requests in
// flight and the pauses that the cloud's answers ask for, makes no call beyond
// the leader's share of the cloud's rate, and decides on no machine itself.
type cloudRequests struct {
	api            storage.Caller
	codec          *protocol.Codec
	log            *zerolog.Logger
	clock          storage.Clock
	allowCall      func(now time.Duration) bool
	leading        func() bool // answers that arrive after the leader's term are dropped
	fencingToken   uint64
	machines       *machineTable
	kinds          *kindSelector
	markTerminated func(*machine)

	lastRequest      int // number of the last scale-out request
	scaleOuts        []*scaleOutRequest
	scaleInsInFlight int
	blockedUntil     time.Duration // no calls before
}

// blocked tells whether the cloud takes no calls at present.
func (r *cloudRequests) blocked(now time.Duration) bool { return now < r.blockedUntil }

// anyScaleOut tells whether machines were ever requested.
func (r *cloudRequests) anyScaleOut() bool { return r.lastRequest > 0 }

// scaleOut requests machines.
func (r *cloudRequests) scaleOut(machines map[machineKind]int, now time.Duration) {
	for kind, n := range machines {
		for n > 0 {
			count := min(n, maxMachinesPerRequest)
			r.scaleOuts = append(r.scaleOuts, r.newScaleOut(kind, count))
			n -= count
		}
	}
	r.sendScaleOuts(now)
}

func (r *cloudRequests) newScaleOut(kind machineKind, count int) *scaleOutRequest {
	r.lastRequest++
	return &scaleOutRequest{kind: kind, ScaleOutRequest: protocol.ScaleOutRequest{
		RequestID: fmt.Sprintf("r-%d-%d", r.fencingToken, r.lastRequest),
		Type:      kind.typeName,
		Zone:      kind.zone,
		Spot:      kind.spot,
		Count:     count,
	}}
}

// sendScaleOuts sends the scale-out requests that are due.
func (r *cloudRequests) sendScaleOuts(now time.Duration) {
	for _, request := range r.scaleOuts {
		if request.inFlight || now < request.nextAttempt || r.blocked(now) || !r.allowCall(now) {
			continue
		}
		request.inFlight = true
		request.attempts++
		r.api.Call("POST", "/hosts", r.codec.Encode(request.ScaleOutRequest), cloud.CallTimeout, func(response storage.Response) {
			if r.leading() {
				r.onScaleOut(request, response)
			}
		})
	}
}

// onScaleOut takes the answer to a scale-out request.
func (r *cloudRequests) onScaleOut(request *scaleOutRequest, response storage.Response) {
	now := r.clock.Now()
	request.inFlight = false
	switch response.Status {
	case 200:
		r.onCreated(request, response.Body, now)
	case 400:
		r.kinds.refuse(request.kind, now+malformedBackoff)
		r.log.Error().Str("machine_type", request.kind.typeName).Str("zone", request.kind.zone).Msg("scale-out request rejected")
	case 503:
		r.onUnavailable(request, response.Body, now)
	case 429:
		request.nextAttempt = now + cloud.RetryDelay
		return
	default:
		// It may have been carried out: a repetition under its ID tells.
		request.nextAttempt = now + cloud.RetryDelay
		if request.attempts < maxScaleOutAttempts {
			return
		}
	}
	r.remove(request)
}

// onCreated makes the machines known that the cloud has created. Fewer than were
// requested mean that there are no more.
func (r *cloudRequests) onCreated(request *scaleOutRequest, body []byte, now time.Duration) {
	var created protocol.MachineNames
	if r.codec.Decode(body, &created) != nil {
		return
	}
	for _, name := range created.Machines {
		m := r.machines.add(name)
		if m == nil {
			continue
		}
		if !m.heartbeatSeen {
			m.machineKind = request.kind
		}
		if m.createdAt == 0 {
			m.createdAt = now
		}
	}
	if len(created.Machines) < request.Count {
		r.kinds.refuse(request.kind, now+capacityBackoff)
	}
}

// onUnavailable tells apart that the cloud has no machines of the kind and that it
// takes no calls.
func (r *cloudRequests) onUnavailable(request *scaleOutRequest, body []byte, now time.Duration) {
	var answer protocol.ErrorBody
	if r.codec.Decode(body, &answer) == nil && answer.Error == noCapacity {
		r.kinds.refuse(request.kind, now+capacityBackoff)
		return
	}
	r.blockedUntil = now + cloud.RetryDelay
}

func (r *cloudRequests) remove(request *scaleOutRequest) {
	for i, other := range r.scaleOuts {
		if other == request {
			r.scaleOuts = append(r.scaleOuts[:i], r.scaleOuts[i+1:]...)
			return
		}
	}
}

// scaleIn releases machines by their names, as many as calls are allowed for; the
// others are named again in the next pass.
func (r *cloudRequests) scaleIn(names []string, now time.Duration) {
	for len(names) > 0 && r.scaleInsInFlight < maxScaleInsInFlight && !r.blocked(now) && r.allowCall(now) {
		n := min(len(names), maxMachinesPerScaleIn)
		r.sendScaleIn(names[:n])
		names = names[n:]
	}
}

func (r *cloudRequests) sendScaleIn(names []string) {
	r.scaleInsInFlight++
	for _, name := range names {
		r.machines.get(name).terminateInFlight = true
	}
	r.api.Call("POST", "/hosts/release", r.codec.Encode(protocol.MachineNames{Machines: names}), cloud.CallTimeout, func(response storage.Response) {
		if r.leading() {
			r.onScaleIn(names, response.Status == 200)
		}
	})
}

// onScaleIn takes the answer to a scale-in request. Only a success proves that the
// machines have ended.
func (r *cloudRequests) onScaleIn(names []string, released bool) {
	r.scaleInsInFlight--
	for _, name := range names {
		m := r.machines.get(name)
		if m == nil {
			continue
		}
		if released {
			r.markTerminated(m)
			continue
		}
		m.terminateInFlight = false
	}
	if !released {
		r.blockedUntil = r.clock.Now() + cloud.RetryDelay
	}
}
