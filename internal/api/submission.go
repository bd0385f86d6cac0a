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
		reply(api.responses.refuse(malformed(err)))
		return
	}
	job, err := submission.Validate()
	if err != nil {
		reply(api.responses.refuse(malformed(err)))
		return
	}
	reply = api.withTimeout(submitTimeout, reply)
	if api.answerFromMemory(job.ID, reply) {
		return
	}
	// A job that can't be accepted may be the retry of one that was when it could be.
	switch refused := api.checkRunnable(job); {
	case refused != nil:
		api.lookUp(job.ID, *refused, reply)
	case api.config.Records.Failing():
		reply(api.responses.refuse(refusedStateUnavailable))
	case !api.accepting(api.now()):
		api.lookUp(job.ID, refusedNotAccepting, reply)
	case api.config.Owner.MemoryFull(job):
		api.lookUp(job.ID, refusedMemoryFull, reply)
	default:
		api.create(job, reply)
	}
}

// create writes a new job, unless another member has done so.
func (api *API) create(job *protocol.Job, reply func(Response)) {
	api.config.Owner.CreateJob(job, api.config.Wall().UnixMilli(), api.now()+submitTimeout, func(r storage.CreateResult) {
		switch r {
		case storage.Created:
			reply(api.responses.status(http.StatusCreated, job.ID, protocol.StatusPending, 0, 0))
		case storage.AlreadyExists:
			api.lookUp(job.ID, refusedStateUnread, reply)
		default:
			reply(api.responses.refuse(refusedStateUnavailable))
		}
	})
}

// checkRunnable returns why a job can never run, or not yet, or nil. It leaves of the
// types that the job names those that there are.
func (api *API) checkRunnable(job *protocol.Job) *refusal {
	team := api.config.Catalogue.Team(job.Team)
	if team == nil {
		return &refusedUnknownTeam
	}
	types := api.config.Catalogue.MachineTypes()
	if len(types) == 0 {
		return &refusedCatalogueUnknown
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
		return &refusedNoFittingType
	}
	if beyondLimit(team, job, 1) {
		return &refusedTaskBeyondLimit
	}
	if job.Service && beyondLimit(team, job, job.Tasks) {
		return &refusedServiceBeyondLimit
	}
	job.Types = known
	if !api.config.Records.Fits(job) {
		return &refusedDescriptionTooLarge
	}
	if job.Service && !api.config.Authority.AllMembersReadServices(api.now()) {
		return &refusedServicesUnsupported
	}
	return nil
}

// beyondLimit tells whether some tasks of a job together need more than a team may use.
func beyondLimit(team *settings.Team, job *protocol.Job, tasks int) bool {
	n := float64(tasks)
	return (team.CPUsMax > 0 && n*job.CPUs > team.CPUsMax) || (team.GPUsMax > 0 && n*job.GPUs > team.GPUsMax)
}
