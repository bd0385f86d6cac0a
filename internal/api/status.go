package api

import (
	"net/http"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Status answers a user's question about a job.
func (api *API) Status(id string, reply func(Response)) {
	if !protocol.ValidJobID(id) {
		reply(api.responder.reject(rejectedUnknownJob))
		return
	}
	reply = api.withTimeout(StatusTimeout, reply)
	if api.answerFromMemory(id, reply) {
		return
	}
	if record, ok := api.config.Statuses.records[id]; ok {
		api.answerFromOwner(id, record.Shard, reply, func() {
			// The owner does not answer. Only the record says whether it goes on.
			api.answerFromRecord(id, rejectedUnknownJob, reply, func(storage.VersionedJobRecord) {
				reply(api.responder.pendingJobStatus(id))
			})
		})
		return
	}
	api.answerFromFreshLookup(id, rejectedUnknownJob, reply)
}

// answerFromMemory answers from what this process holds for certain.
func (api *API) answerFromMemory(id string, reply func(Response)) bool {
	if final, ok := api.config.Statuses.final[id]; ok {
		reply(api.responder.finalJobStatus(id, final))
		return true
	}
	job := api.config.Owner.Job(id)
	if job == nil || job.Ending() || !api.config.Authority.MayAct(api.now()) {
		// While the end is being written, other members may read it already and
		// tell it; only a fresh read is sure not to be older than that.
		return false
	}
	r := api.responder.jobStatus(http.StatusOK, id, job.WireStatus(), job.Finished(), job.Running())
	r.ValidUntil = api.config.Authority.MayActUntil()
	reply(r)
	return true
}

// answerFromFreshLookup reads a job's record afresh, and asks its owner if it goes on. Nothing less than
// a fresh read may say that a job is unknown, and nothing less than that or its owner
// that it goes on.
func (api *API) answerFromFreshLookup(id string, absent rejection, reply func(Response)) {
	api.answerFromRecord(id, absent, reply, func(record storage.VersionedJobRecord) {
		api.answerFromOwner(id, record.Shard, reply, func() {
			// The owner does not answer. The job may have come to its end
			// since the record was read.
			api.answerFromRecord(id, absent, reply, func(storage.VersionedJobRecord) {
				reply(api.responder.pendingJobStatus(id))
			})
		})
	})
}

// answerFromRecord answers from a job's record unless the job goes on.
func (api *API) answerFromRecord(id string, absent rejection, reply func(Response), goesOn func(storage.VersionedJobRecord)) {
	deadline := api.now() + StatusTimeout
	api.config.Records.LookupJob(id, api.config.Statuses.records[id], deadline, func(record storage.VersionedJobRecord, found, ok bool) {
		switch {
		case !ok:
			reply(api.responder.reject(rejectedStateUnavailable))
		case !found:
			reply(api.responder.reject(absent))
		case record.Status != "":
			api.config.Statuses.AddFinal(id, record.Status, record.Tasks)
			reply(api.responder.finalJobStatus(id, finalStatus{record.Status, record.Tasks}))
		default:
			api.config.Statuses.addRecord(id, record)
			if !api.answerFromMemory(id, reply) {
				goesOn(record)
			}
		}
	})
}

// answerFromOwner answers with what a job's owner says, or calls silent.
func (api *API) answerFromOwner(id, shard string, reply func(Response), silent func()) {
	asked := api.now()
	api.queryOwner(id, shard, false, func(result *meshpb.JobQueryResult) {
		if result == nil || result.HttpStatus != http.StatusOK {
			silent()
			return
		}
		if hasFinalStatus(result) {
			api.config.Statuses.AddFinal(id, result.JobStatus, int(result.Done))
		}
		r := api.responder.jobStatus(http.StatusOK, id, result.JobStatus, int(result.Done), int(result.Running))
		r.ValidUntil = asked + StatusTimeout // what another member has said is older by then
		reply(r)
	})
}
