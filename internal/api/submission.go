package api

import (
	"net/http"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Submit accepts a job. A known job's retry is answered before anything is held against
// it: submissions are idempotent.
func (api *API) Submit(body []byte, reply func(Response)) {
	var submission protocol.Submission
	if err := api.config.Codec.Decode(body, &submission); err != nil {
		reply(api.responder.reject(malformedRequest(err)))
		return
	}
	job, err := submission.Validate()
	if err != nil {
		reply(api.responder.reject(malformedRequest(err)))
		return
	}
	reply = api.withTimeout(submitTimeout, reply)
	if api.answerFromMemory(job.ID, reply) {
		return
	}
	// A job that can't be accepted may be the retry of one that was when it could be.
	switch refused := api.checkRunnable(job); {
	case refused != nil:
		api.answerFromFreshLookup(job.ID, *refused, reply)
	case api.config.Records.Failing():
		reply(api.responder.reject(rejectedStateUnavailable))
	case !api.mayActForOwnShard(api.now()):
		api.answerFromFreshLookup(job.ID, rejectedNotAccepting, reply)
	case api.config.Owner.MemoryFull(job):
		api.answerFromFreshLookup(job.ID, rejectedMemoryFull, reply)
	default:
		api.createJob(job, reply)
	}
}

// create writes a new job, unless another member has done so.
func (api *API) createJob(job *protocol.Job, reply func(Response)) {
	api.config.Owner.CreateJob(job, api.config.Wall().UnixMilli(), api.now()+submitTimeout, func(r storage.CreateResult) {
		switch r {
		case storage.Created:
			reply(api.responder.jobStatus(http.StatusCreated, job.ID, protocol.StatusPending, 0, 0))
		case storage.AlreadyExists:
			api.answerFromFreshLookup(job.ID, rejectedStateUnread, reply)
		default:
			reply(api.responder.reject(rejectedStateUnavailable))
		}
	})
}

// checkRunnable returns why a job can never run, or not yet, or nil. It leaves of the
// types that the job names those that there are.
func (api *API) checkRunnable(job *protocol.Job) *rejection {
	team := api.config.Catalog.Team(job.Team)
	if team == nil {
		return &rejectedUnknownTeam
	}
	types := api.config.Catalog.MachineTypes()
	if len(types) == 0 {
		return &rejectedCatalogUnknown
	}
	fits := false
	var known []string
	for _, machineType := range types {
		fits = fits || job.Fits(machineType)
		if !job.AnyType && job.AllowsType(machineType.Name) {
			known = append(known, machineType.Name)
		}
	}
	if !fits {
		return &rejectedNoFittingType
	}
	if exceedsTeamLimit(team, job, 1) {
		return &rejectedTaskBeyondLimit
	}
	if job.Service && exceedsTeamLimit(team, job, job.Tasks) {
		return &rejectedServiceBeyondLimit
	}
	job.Types = known
	if !api.config.Records.Fits(job) {
		return &rejectedSpecTooLarge
	}
	if job.Service && !api.config.Authority.AllMembersReadServices(api.now()) {
		return &rejectedServicesUnsupported
	}
	return nil
}

// exceedsTeamLimit tells whether some tasks of a job together need more than a team may use.
func exceedsTeamLimit(team *settings.Team, job *protocol.Job, tasks int) bool {
	n := float64(tasks)
	return (team.CPUsMax > 0 && n*job.CPUs > team.CPUsMax) || (team.GPUsMax > 0 && n*job.GPUs > team.GPUsMax)
}
