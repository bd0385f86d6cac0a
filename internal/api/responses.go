package api

import (
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Response answers a request.
type Response struct {
	Status      int // of HTTP
	Body        []byte
	RetryAfterS int // in seconds; 0: none is told
	// ValidUntil is up to when the response may be sent, on Config.Clock: what
	// entitles this controller to it ends then. 0: at any time.
	ValidUntil time.Duration
}

// responder makes the responses to users and agents.
type responder struct{ codec *protocol.Codec }

// refuse is the response that says why a request is refused.
func (r responder) refuse(why refusal) Response {
	return Response{Status: why.status, Body: r.codec.Encode(protocol.ErrorBody{Error: why.reason}), RetryAfterS: why.retryAfterS}
}

// status tells the status of a job.
func (r responder) status(code int, id, status string, done, running int) Response {
	return Response{Status: code, Body: r.codec.Encode(protocol.JobStatus{ID: id, Status: status, Done: &done, Running: &running})}
}

// final tells the final status of a job.
func (r responder) final(id string, final finalStatus) Response {
	return r.status(http.StatusOK, id, final.status, final.done(), 0)
}

// pending tells that a job goes on, while nobody can say more.
func (r responder) pending(id string) Response {
	return r.status(http.StatusOK, id, protocol.StatusPending, 0, 0)
}

// refusal is why a request is not carried out.
type refusal struct {
	status      int // of HTTP
	reason      string
	retryAfterS int // 0: none is told
}

// The refusals, in the words that users know.
var (
	refusedNotReady            = refusal{http.StatusServiceUnavailable, "not ready", 1}
	refusedTimeout             = refusal{http.StatusServiceUnavailable, "no answer in time", 1}
	refusedStateUnavailable    = refusal{http.StatusServiceUnavailable, "state service is away", 1}
	refusedStateUnread         = refusal{http.StatusServiceUnavailable, "state is being read", 1}
	refusedNotAccepting        = refusal{http.StatusServiceUnavailable, "not ready to accept", 1}
	refusedMemoryFull          = refusal{http.StatusServiceUnavailable, "too much unfinished work", 10}
	refusedOwnerSilent         = refusal{http.StatusServiceUnavailable, "the job's owner does not answer", 1}
	refusedOwnerChanges        = refusal{http.StatusServiceUnavailable, "the job's owner changes", 1}
	refusedCatalogueUnknown    = refusal{http.StatusServiceUnavailable, "machine types are not known yet", 1}
	refusedServicesUnsupported = refusal{http.StatusServiceUnavailable, "some controller can't run services yet", 1}
	refusedUnknownJob          = refusal{http.StatusNotFound, "no such job", 0}
	refusedUnknownTeam         = refusal{http.StatusUnprocessableEntity, "unknown crew", 0}
	refusedNoFittingType       = refusal{http.StatusUnprocessableEntity, "a page fits no allowed machine type", 0}
	refusedTaskBeyondLimit     = refusal{http.StatusUnprocessableEntity, "a page needs more than the crew's limit", 0}
	refusedServiceBeyondLimit  = refusal{http.StatusUnprocessableEntity, "all pages of a service together need more than the crew's limit", 0}
	refusedDescriptionTooLarge = refusal{http.StatusUnprocessableEntity, "its description does not fit the state service's limit of a value", 0}
)

// malformed refuses a request that can't be read.
func malformed(err error) refusal { return refusal{http.StatusBadRequest, err.Error(), 0} }
