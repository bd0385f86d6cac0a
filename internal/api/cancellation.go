package api

import (
	"net/http"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Cancel handles a user's request to cancel a job. Another member may own the job.
func (api *API) Cancel(id string, reply func(Response)) {
	if !protocol.ValidJobID(id) {
		reply(api.responder.reject(rejectedUnknownJob))
		return
	}
	reply = api.withTimeout(submitTimeout, reply)
	if final, ok := api.config.Statuses.final[id]; ok {
		reply(api.responder.finalJobStatus(id, final))
		return
	}
	if job := api.config.Owner.Job(id); job != nil {
		api.cancelOwned(job, reply)
		return
	}
	api.lookupUnfinished(id, submitTimeout, rejectedUnknownJob, reply, func(record storage.VersionedJobRecord) {
		api.cancelUnfinished(id, record, reply)
	})
}

// cancelUnfinished cancels a job whose record says that it is unfinished.
func (api *API) cancelUnfinished(id string, record storage.VersionedJobRecord, reply func(Response)) {
	if job := api.config.Owner.Job(id); job != nil {
		api.cancelOwned(job, reply)
		return
	}
	api.queryOwner(id, record.Shard, true, func(result *meshpb.JobQueryResult) {
		if result == nil || result.HttpStatus != http.StatusOK || !hasFinalStatus(result) {
			reply(api.responder.reject(rejectedOwnerNoAnswer))
			return
		}
		api.config.Statuses.AddFinal(id, result.JobStatus, record.Tasks)
		reply(api.responder.jobStatus(http.StatusOK, id, result.JobStatus, int(result.Done), 0))
	})
}

// cancelOwned cancels a job that this process owns.
func (api *API) cancelOwned(job *shard.Job, reply func(Response)) {
	api.config.Owner.Cancel(job, func(status string, err error) {
		if err != nil {
			reply(api.responder.reject(rejectedOwnerChanges))
			return
		}
		reply(api.responder.finalJobStatus(job.ID(), finalStatus{status, job.Spec().Tasks}))
	})
}
