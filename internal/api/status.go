package api

import (
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Status answers a user's status query.
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
			// The owner does not answer, so only the record shows whether the job is
			// unfinished.
			api.answerFromRecord(id, rejectedUnknownJob, reply, func(storage.VersionedJobRecord) {
				reply(api.responder.pendingJobStatus(id))
			})
		})
		return
	}
	api.answerFromFreshLookup(id, rejectedUnknownJob, reply)
}

// answerFromMemory answers from the cache of final statuses or from a job that this process owns,
// and reports whether it did.
func (api *API) answerFromMemory(id string, reply func(Response)) bool {
	if final, ok := api.config.Statuses.final[id]; ok {
		reply(api.responder.finalJobStatus(id, final))
		return true
	}
	job := api.config.Owner.Job(id)
	if job == nil || job.Ending() || !api.config.Authority.MayAct(api.now()) {
		// While the job's end is being written, other members may already have read and
		// reported it. Only a read that starts now is guaranteed not to be older than that.
		return false
	}
	r := api.responder.jobStatus(http.StatusOK, id, job.WireStatus(), job.Finished(), job.Running())
	r.ValidUntil = api.config.Authority.MayActUntil()
	reply(r)
	return true
}

// answerFromFreshLookup reads a job's current record, and queries the job's owner if it is
// unfinished. Only a read that starts after the request may show that a job is unknown; only such
// a read or the owner may show that it is unfinished. absent is the answer for an unknown job.
func (api *API) answerFromFreshLookup(id string, absent rejection, reply func(Response)) {
	api.answerFromRecord(id, absent, reply, func(record storage.VersionedJobRecord) {
		api.answerFromOwner(id, record.Shard, reply, func() {
			// The owner does not answer. The job may have ended since the record was
			// read.
			api.answerFromRecord(id, absent, reply, func(storage.VersionedJobRecord) {
				reply(api.responder.pendingJobStatus(id))
			})
		})
	})
}

// answerFromRecord reads a job's current record and answers from it, or calls onUnfinished if the
// job is unfinished.
func (api *API) answerFromRecord(id string, absent rejection, reply func(Response), onUnfinished func(storage.VersionedJobRecord)) {
	api.lookupUnfinished(id, StatusTimeout, absent, reply, func(record storage.VersionedJobRecord) {
		api.config.Statuses.addRecord(id, record)
		if !api.answerFromMemory(id, reply) {
			onUnfinished(record)
		}
	})
}

// lookupUnfinished reads a job's current record and calls onUnfinished if the job is unfinished.
// Otherwise it answers: with the final status, with absent if there is no record, or with a rejection
// if the read fails. The read is not sent if it has not begun within maxWait.
func (api *API) lookupUnfinished(id string, maxWait time.Duration, absent rejection, reply func(Response), onUnfinished func(storage.VersionedJobRecord)) {
	api.config.Records.LookupJob(id, api.config.Statuses.records[id], api.now()+maxWait, func(r storage.JobLookupResult) {
		switch {
		case r.Err != nil:
			reply(api.responder.reject(rejectedStateUnavailable))
		case !r.Found:
			reply(api.responder.reject(absent))
		case r.Record.Status != "":
			api.config.Statuses.AddFinal(id, r.Record.Status, r.Record.Tasks)
			reply(api.responder.finalJobStatus(id, finalStatus{r.Record.Status, r.Record.Tasks}))
		default:
			onUnfinished(r.Record)
		}
	})
}

// answerFromOwner answers with the status that the job's owner returns, or calls onNoAnswer if it
// returns none.
func (api *API) answerFromOwner(id, shard string, reply func(Response), onNoAnswer func()) {
	sentAt := api.now()
	api.queryOwner(id, shard, false, func(result *meshpb.JobQueryResult) {
		if result == nil || result.HttpStatus != http.StatusOK {
			onNoAnswer()
			return
		}
		if hasFinalStatus(result) {
			api.config.Statuses.AddFinal(id, result.JobStatus, int(result.Done))
		}
		r := api.responder.jobStatus(http.StatusOK, id, result.JobStatus, int(result.Done), int(result.Running))
		r.ValidUntil = sentAt + StatusTimeout // bounds the age of the other member's answer
		reply(r)
	})
}
