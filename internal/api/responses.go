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
func (r responder) reject(why rejection) Response {
	return Response{Status: why.httpStatus, Body: r.codec.Encode(protocol.ErrorBody{Error: why.reason}), RetryAfterS: why.retryAfterS}
}

// status tells the status of a job.
func (r responder) jobStatus(code int, id, status string, done, running int) Response {
	return Response{Status: code, Body: r.codec.Encode(protocol.JobStatus{ID: id, Status: status, Done: &done, Running: &running})}
}

// final tells the final status of a job.
func (r responder) finalJobStatus(id string, final finalStatus) Response {
	return r.jobStatus(http.StatusOK, id, final.status, final.doneTasks(), 0)
}

// pending tells that a job goes on, while nobody can say more.
func (r responder) pendingJobStatus(id string) Response {
	return r.jobStatus(http.StatusOK, id, protocol.StatusPending, 0, 0)
}

// refusal is why a request is not carried out.
type rejection struct {
	httpStatus  int // of HTTP
	reason      string
	retryAfterS int // 0: none is told
}

// The refusals, in the words that users know.
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

// malformed refuses a request that can't be read.
func malformedRequest(err error) rejection { return rejection{http.StatusBadRequest, err.Error(), 0} }
