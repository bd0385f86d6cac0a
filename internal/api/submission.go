package api

import (
	"net/http"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Submit handles the submission of a job. Submissions are idempotent: a valid submission of a
// known job is answered with the job's status, even if a new job would be rejected at present,
// unless the state service is unavailable.
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
	// A submission that cannot be accepted now may be a retry of one that was accepted earlier.
	switch cause := api.checkRunnable(job); {
	case cause != nil:
		api.answerFromFreshLookup(job.ID, *cause, reply)
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

// createJob writes a new job. If its record exists already, the answer is the job's status.
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

// checkRunnable returns the reason why a job can never run or cannot be accepted yet, or nil if
// there is none. It removes from job.Types the machine types that the cloud does not offer.
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
	var offered []string
	for _, machineType := range types {
		fits = fits || job.Fits(machineType)
		if !job.AnyType && job.AllowsType(machineType.Name) {
			offered = append(offered, machineType.Name)
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
	job.Types = offered
	if !api.config.Records.Fits(job) {
		return &rejectedSpecTooLarge
	}
	if job.Service && !api.config.Authority.AllMembersReadServices(api.now()) {
		return &rejectedServicesUnsupported
	}
	return nil
}

// exceedsTeamLimit reports whether this number of a job's tasks together needs more than a team's
// limit.
func exceedsTeamLimit(team *settings.Team, job *protocol.Job, tasks int) bool {
	n := float64(tasks)
	return (team.CPUsMax > 0 && n*job.CPUs > team.CPUsMax) || (team.GPUsMax > 0 && n*job.GPUs > team.GPUsMax)
}
