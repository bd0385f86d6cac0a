package api

import (
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	jobQueryTimeout = 500 * time.Millisecond
	maxJobQueries   = 2000
)

// jobQueries sends queries about jobs to the members that own them and tracks those that are
// pending.
type jobQueries struct {
	clock   storage.Clock
	members Members
	pending map[uint64]*jobQuery // by the query's ID
	lastID  uint64
}

// jobQuery is a pending query to the member that owns a job.
type jobQuery struct {
	member   string
	sentAt   time.Duration
	onResult func(*meshpb.JobQueryResult) // receives nil if the member does not answer
}

// send queries a member for the status of a job, or asks it to cancel the job. onResult receives
// nil if the member does not answer.
func (q *jobQueries) send(member, job string, cancel bool, onResult func(*meshpb.JobQueryResult)) {
	if !q.members.Connected(member) || len(q.pending) >= maxJobQueries {
		onResult(nil)
		return
	}
	q.lastID++
	q.pending[q.lastID] = &jobQuery{member: member, sentAt: q.clock.Now(), onResult: onResult}
	q.members.SendJobQuery(member, &meshpb.JobQuery{Id: q.lastID, Job: job, Cancel: cancel})
}

// handleResult handles a query's result; one that is not from the queried member is ignored.
func (q *jobQueries) handleResult(from string, result *meshpb.JobQueryResult) {
	if query := q.pending[result.Id]; query != nil && query.member == from {
		delete(q.pending, result.Id)
		query.onResult(result)
	}
}

func (q *jobQueries) failQueriesTo(member string) {
	q.failMatching(func(query *jobQuery) bool { return query.member == member })
}

func (q *jobQueries) failExpired(now time.Duration) {
	q.failMatching(func(query *jobQuery) bool { return now-query.sentAt > jobQueryTimeout })
}

// failMatching ends the matching queries without a result.
func (q *jobQueries) failMatching(matches func(*jobQuery) bool) {
	for id, query := range q.pending {
		if matches(query) {
			delete(q.pending, id)
			query.onResult(nil)
		}
	}
}

// queryOwner queries the holder of a shard for the status of a job, or asks it to cancel the job.
// onResult receives nil if the holder is unknown or does not answer.
func (api *API) queryOwner(job, shard string, cancel bool, onResult func(*meshpb.JobQueryResult)) {
	member, held := api.config.Authority.ShardHolder(shard)
	if !held {
		onResult(nil)
		return
	}
	api.queries.send(member, job, cancel, onResult)
}

// HandleJobQueryResult handles another member's answer to a query.
func (api *API) HandleJobQueryResult(from string, result *meshpb.JobQueryResult) {
	api.queries.handleResult(from, result)
}

// HandleJobQuery answers another member's query about a job that this process may own. It may
// call answer after it has returned.
func (api *API) HandleJobQuery(query *meshpb.JobQuery, answer func(*meshpb.JobQueryResult)) {
	if final, ok := api.config.Statuses.final[query.Job]; ok {
		answer(&meshpb.JobQueryResult{HttpStatus: http.StatusOK, JobStatus: final.status, Done: uint32(final.doneTasks())})
		return
	}
	job := api.config.Owner.Job(query.Job)
	switch {
	case job == nil || !api.config.Authority.MayAct(api.now()):
		answer(unavailableResult())
	case query.Cancel:
		api.cancelForMember(job, answer)
	case job.Ending():
		answer(unavailableResult())
	default:
		answer(&meshpb.JobQueryResult{HttpStatus: http.StatusOK, JobStatus: job.WireStatus(), Done: uint32(job.Finished()), Running: uint32(job.Running())})
	}
}

func (api *API) cancelForMember(job *shard.Job, answer func(*meshpb.JobQueryResult)) {
	api.config.Owner.Cancel(job, func(status string, err error) {
		if err != nil {
			answer(unavailableResult())
			return
		}
		answer(&meshpb.JobQueryResult{HttpStatus: http.StatusOK, JobStatus: status, Done: uint32(job.Finished())})
	})
}

// unavailableResult returns the result of a query that this process cannot answer at present.
func unavailableResult() *meshpb.JobQueryResult {
	return &meshpb.JobQueryResult{HttpStatus: http.StatusServiceUnavailable}
}

// hasFinalStatus reports whether the result of a query says that the job has ended.
func hasFinalStatus(result *meshpb.JobQueryResult) bool {
	return result.JobStatus == protocol.StatusDone || result.JobStatus == protocol.StatusCancelled
}
