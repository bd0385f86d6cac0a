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

// jobQueries are the questions to other members about the jobs that they own.
type jobQueries struct {
	clock   storage.Clock
	members Members
	pending map[uint64]*jobQuery
	lastID  uint64
}

// jobQuery is a question to the member that owns a job.
type jobQuery struct {
	member   string
	sentAt   time.Duration
	onResult func(*meshpb.JobQueryResult) // nil: there is none
}

// send asks a member about a job, or to cancel it; onResult gets nil if it does not
// answer.
func (q *jobQueries) send(member, job string, cancel bool, onResult func(*meshpb.JobQueryResult)) {
	if !q.members.Connected(member) || len(q.pending) >= maxJobQueries {
		onResult(nil)
		return
	}
	q.lastID++
	q.pending[q.lastID] = &jobQuery{member: member, sentAt: q.clock.Now(), onResult: onResult}
	q.members.SendJobQuery(member, &meshpb.JobQuery{Id: q.lastID, Job: job, Cancel: cancel})
}

// answered takes the result of a query from the member that it was put to.
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

// end ends the queries that get no result any more.
func (q *jobQueries) failMatching(over func(*jobQuery) bool) {
	for id, query := range q.pending {
		if over(query) {
			delete(q.pending, id)
			query.onResult(nil)
		}
	}
}

// queryOwner asks the member that holds a shard about a job, or to cancel it; onResult
// gets nil if it does not answer.
func (api *API) queryOwner(job, shard string, cancel bool, onResult func(*meshpb.JobQueryResult)) {
	member, held := api.config.Authority.ShardHolder(shard)
	if !held {
		onResult(nil)
		return
	}
	api.queries.send(member, job, cancel, onResult)
}

// HandleJobQueryResult takes another member's answer to a query.
func (api *API) HandleJobQueryResult(from string, result *meshpb.JobQueryResult) {
	api.queries.handleResult(from, result)
}

// HandleJobQuery answers another member from what this one owns, now or later.
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

// unavailable is the result of a query that can't be answered here now.
func unavailableResult() *meshpb.JobQueryResult {
	return &meshpb.JobQueryResult{HttpStatus: http.StatusServiceUnavailable}
}

// ended tells whether an owner says that a job has ended.
func hasFinalStatus(result *meshpb.JobQueryResult) bool {
	return result.JobStatus == protocol.StatusDone || result.JobStatus == protocol.StatusCancelled
}
