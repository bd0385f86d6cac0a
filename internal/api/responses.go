package api

import (
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Response is the response to a request.
type Response struct {
	Status      int // HTTP status code
	Body        []byte
	RetryAfterS int // Retry-After header in seconds; 0: none
	// ValidUntil is the time on Config.Clock until which the response may be sent: after
	// that, this controller may no longer be entitled to give it. 0: no limit.
	ValidUntil time.Duration
}

// responder builds the responses to users and machines.
type responder struct{ codec *protocol.Codec }

// reject returns the response that rejects a request.
func (r responder) reject(cause rejection) Response {
	return Response{Status: cause.httpStatus, Body: r.codec.Encode(protocol.ErrorBody{Error: cause.reason}), RetryAfterS: cause.retryAfterS}
}

// jobStatus returns a response with a job's status.
func (r responder) jobStatus(code int, id, status string, done, running int) Response {
	return Response{Status: code, Body: r.codec.Encode(protocol.JobStatus{ID: id, Status: status, Done: &done, Running: &running})}
}

// finalJobStatus returns a response with a job's final status.
func (r responder) finalJobStatus(id string, final finalStatus) Response {
	return r.jobStatus(http.StatusOK, id, final.status, final.doneTasks(), 0)
}

// pendingJobStatus returns a response for an unfinished job whose owner does not answer.
func (r responder) pendingJobStatus(id string) Response {
	return r.jobStatus(http.StatusOK, id, protocol.StatusPending, 0, 0)
}

// rejection describes why a request is rejected.
type rejection struct {
	httpStatus  int // HTTP status code
	reason      string
	retryAfterS int // Retry-After header in seconds; 0: none
}

// The rejections. Users rely on the texts, so they must not change.
var (
	rejectedNotReady            = rejection{http.StatusServiceUnavailable, "not ready", 1}
	rejectedTimeout             = rejection{http.StatusServiceUnavailable, "no answer in time", 1}
	rejectedStateUnavailable    = rejection{http.StatusServiceUnavailable, "state service is away", 1}
	rejectedStateUnread         = rejection{http.StatusServiceUnavailable, "state is being read", 1}
	rejectedNotAccepting        = rejection{http.StatusServiceUnavailable, "not ready to accept", 1}
	rejectedMemoryFull          = rejection{http.StatusServiceUnavailable, "too much unfinished work", 10}
	rejectedOwnerNoAnswer       = rejection{http.StatusServiceUnavailable, "the job's owner does not answer", 1}
	rejectedOwnerChanges        = rejection{http.StatusServiceUnavailable, "the job's owner changes", 1}
	rejectedCatalogUnknown      = rejection{http.StatusServiceUnavailable, "machine types are not known yet", 1}
	rejectedServicesUnsupported = rejection{http.StatusServiceUnavailable, "some controller can't run services yet", 1}
	rejectedUnknownJob          = rejection{http.StatusNotFound, "no such job", 0}
	rejectedUnknownTeam         = rejection{http.StatusUnprocessableEntity, "unknown crew", 0}
	rejectedNoFittingType       = rejection{http.StatusUnprocessableEntity, "a page fits no allowed machine type", 0}
	rejectedTaskBeyondLimit     = rejection{http.StatusUnprocessableEntity, "a page needs more than the crew's limit", 0}
	rejectedServiceBeyondLimit  = rejection{http.StatusUnprocessableEntity, "all pages of a service together need more than the crew's limit", 0}
	rejectedSpecTooLarge        = rejection{http.StatusUnprocessableEntity, "its description does not fit the state service's limit of a value", 0}
)

// malformedRequest returns the rejection of a request that cannot be decoded or is invalid.
func malformedRequest(err error) rejection { return rejection{http.StatusBadRequest, err.Error(), 0} }
