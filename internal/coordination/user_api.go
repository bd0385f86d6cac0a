package coordination

import (
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	submitTimeout   = 3500 * time.Millisecond // users give up after 5 s
	statusTimeout   = 1500 * time.Millisecond // and polls after 2 s
	jobQueryTimeout = 500 * time.Millisecond
	maxFinalStates  = 20000
	maxKnownRecords = 20000
	maxJobQueries   = 2000
	notReadyDelay   = 3 * time.Second
)

// finalState is a job's final state, which never changes.
type finalState struct {
	status string
	tasks  int
}

// userAPI answers submissions, polls and cancellations.
type userAPI struct {
	controller  *Controller
	finalStates map[string]finalState
	finalOrder  []string // of finals, the oldest first
	// records remembers what was read of jobs that go on: to which shard each
	// belongs, which never changes, and the version by which a change would show.
	knownRecords  map[string]storage.KnownRecord
	jobQueries    map[uint64]*jobQuery
	lastQueryID   uint64
	timers        []requestTimer
	notReadySince time.Duration // since when this node could not act
}

// jobQuery is a question to the member that owns a job.
type jobQuery struct {
	to       *peer
	sentAt   time.Duration
	onResult func(a *meshpb.JobQueryResult)
}

type requestTimer struct {
	at     time.Duration
	expire func()
}

func (api *userAPI) init(c *Controller) {
	api.controller = c
	api.finalStates = make(map[string]finalState)
	api.knownRecords = make(map[string]storage.KnownRecord)
	api.jobQueries = make(map[uint64]*jobQuery)
}

func (api *userAPI) rememberFinal(id, status string, tasks int) {
	delete(api.knownRecords, id)
	if _, ok := api.finalStates[id]; ok {
		return
	}
	if len(api.finalOrder) >= maxFinalStates {
		delete(api.finalStates, api.finalOrder[0])
		api.finalOrder = api.finalOrder[1:]
	}
	api.finalStates[id] = finalState{status, tasks}
	api.finalOrder = append(api.finalOrder, id)
}

func (api *userAPI) tick(now time.Duration) {
	if api.controller.owner.OwnShard() != nil && api.controller.election.MayAct(now) {
		api.notReadySince = 0
	} else if api.notReadySince == 0 {
		api.notReadySince = now
	}
	for id, query := range api.jobQueries {
		if now-query.sentAt > jobQueryTimeout {
			delete(api.jobQueries, id)
			query.onResult(nil)
		}
	}
	kept := api.timers[:0]
	var due []func()
	for _, t := range api.timers {
		if t.at <= now {
			due = append(due, t.expire)
		} else {
			kept = append(kept, t)
		}
	}
	api.timers = kept
	for _, fn := range due {
		fn()
	}
}

// withTimeout makes reply answer by itself when nothing else has in time.
func (api *userAPI) withTimeout(limit time.Duration, reply func(Response)) func(Response) {
	over := false
	once := func(r Response) {
		if !over {
			over = true
			reply(r)
		}
	}
	api.timers = append(api.timers, requestTimer{api.controller.now() + limit, func() {
		if !over {
			once(api.controller.errorResponse(503, "no answer in time", 1))
		}
	}})
	return once
}

func (c *Controller) errorResponse(status int, why string, retryS int) Response {
	return Response{Status: status, Body: c.codec.Encode(protocol.ErrorBody{Error: why}), RetryAfterS: retryS}
}

func (c *Controller) statusResponse(code int, id, status string, done, running int) Response {
	return Response{Status: code, Body: c.codec.Encode(protocol.JobStatus{ID: id, Status: status, Done: &done, Running: &running})}
}

func (c *Controller) finalStatusResponse(code int, id string, final finalState) Response {
	done := 0
	if final.status == protocol.StatusDone {
		done = final.tasks
	}
	return c.statusResponse(code, id, final.status, done, 0)
}

// HandleHTTP takes a request and calls reply once, now or later.
func (c *Controller) HandleHTTP(req *Request, reply func(Response)) {
	path, _, _ := strings.Cut(req.Path, "?")
	need := func(method string) bool {
		if req.Method != method {
			reply(c.errorResponse(405, "wrong method", 0))
			return false
		}
		return true
	}
	rest, isJob := strings.CutPrefix(path, "/submissions/")
	switch {
	case path == "/ready":
		if need("GET") {
			c.userAPI.ready(reply)
		}
	case path == heartbeatPath:
		if need("POST") {
			c.handleHeartbeat(req, reply)
		}
	case path == "/submissions":
		if need("POST") {
			c.userAPI.submit(req.Body, reply)
		}
	case isJob && strings.HasSuffix(rest, "/abort") && !strings.Contains(strings.TrimSuffix(rest, "/abort"), "/"):
		if need("POST") {
			c.userAPI.cancel(strings.TrimSuffix(rest, "/abort"), reply)
		}
	case isJob && rest != "" && !strings.Contains(rest, "/"):
		if need("GET") {
			c.userAPI.status(rest, reply)
		}
	default:
		reply(c.errorResponse(404, "unknown path", 0))
	}
}

// ready answers the load balancer. A node that the state service refuses
// still counts as ready while no other member is better off, but not if it
// cannot ask any: then it is most likely alone with its workers and users.
func (api *userAPI) ready(reply func(Response)) {
	c, now := api.controller, api.controller.now()
	shard := c.owner.OwnShard()
	if shard != nil && c.election.MayAct(now) {
		reply(Response{Status: 200})
		return
	}
	better, alone := false, len(c.peers) > 0
	for _, p := range c.peers {
		better = better || (p.link != nil && p.stateServiceReachable)
		alone = alone && p.link == nil
	}
	if shard != nil && ((!better && !alone) || now-api.notReadySince < notReadyDelay) {
		reply(Response{Status: 200})
		return
	}
	reply(c.errorResponse(503, "not ready", 1))
}

// lookUp reads a job's record afresh, and asks its owner if it goes on.
// Nothing less than a fresh read may say that a job is unknown, and nothing
// less than that or its owner that it goes on.
func (api *userAPI) lookUp(id string, absent func() Response, reply func(Response)) {
	const code = 200 // of all but refusals
	api.readRecord(id, code, absent, reply, func(record storage.KnownRecord) {
		api.statusFromOwner(id, code, record.Shard, reply, func() {
			// The owner does not answer. The job may have come to its end
			// since the record was read.
			api.readRecord(id, code, absent, reply, func(storage.KnownRecord) {
				reply(api.controller.statusResponse(code, id, protocol.StatusPending, 0, 0))
			})
		})
	})
}

// readRecord answers from a job's record unless the job goes on.
func (api *userAPI) readRecord(id string, code int, absent func() Response, reply func(Response), goesOn func(storage.KnownRecord)) {
	c := api.controller
	c.store.LookupJob(id, api.knownRecords[id], c.now()+statusTimeout, func(record storage.KnownRecord, found, ok bool) {
		switch {
		case !ok:
			reply(c.errorResponse(503, "state service is away", 1))
		case !found:
			reply(absent())
		case record.Status != "":
			api.rememberFinal(id, record.Status, record.Tasks)
			reply(c.finalStatusResponse(code, id, finalState{record.Status, record.Tasks}))
		default:
			if len(api.knownRecords) >= maxKnownRecords {
				clear(api.knownRecords)
			}
			api.knownRecords[id] = record
			if !api.answerFromMemory(id, code, reply) {
				goesOn(record)
			}
		}
	})
}

// statusFromOwner answers with what a job's owner says, or calls silent.
func (api *userAPI) statusFromOwner(id string, code int, ledger string, reply func(Response), silent func()) {
	asked := api.controller.now()
	api.queryOwner(id, ledger, false, func(result *meshpb.JobQueryResult) {
		if result == nil || result.HttpStatus != 200 {
			silent()
			return
		}
		if result.JobStatus == protocol.StatusDone || result.JobStatus == protocol.StatusCancelled {
			api.rememberFinal(id, result.JobStatus, int(result.Done))
		}
		r := api.controller.statusResponse(code, id, result.JobStatus, int(result.Done), int(result.Running))
		r.ValidUntil = asked + statusTimeout // what another member has said is older by then
		reply(r)
	})
}

// status answers a user's question about a job.
func (api *userAPI) status(id string, reply func(Response)) {
	if !protocol.ValidJobID(id) {
		reply(api.controller.errorResponse(404, "no such job", 0))
		return
	}
	reply = api.withTimeout(statusTimeout, reply)
	if api.answerFromMemory(id, 200, reply) {
		return
	}
	absent := func() Response { return api.controller.errorResponse(404, "no such job", 0) }
	if record, ok := api.knownRecords[id]; ok {
		api.statusFromOwner(id, 200, record.Shard, reply, func() {
			// The owner does not answer. Only the record says whether it goes on.
			api.readRecord(id, 200, absent, reply, func(storage.KnownRecord) {
				reply(api.controller.statusResponse(200, id, protocol.StatusPending, 0, 0))
			})
		})
		return
	}
	api.lookUp(id, absent, reply)
}

// cancel cancels a job, here or at its owner.
func (api *userAPI) cancel(id string, reply func(Response)) {
	c := api.controller
	if !protocol.ValidJobID(id) {
		reply(c.errorResponse(404, "no such job", 0))
		return
	}
	reply = api.withTimeout(submitTimeout, reply)
	if final, ok := api.finalStates[id]; ok {
		reply(c.finalStatusResponse(200, id, final))
		return
	}
	if j := c.owner.Job(id); j != nil {
		api.cancelOwned(j, reply)
		return
	}
	c.store.LookupJob(id, api.knownRecords[id], c.now()+submitTimeout, func(record storage.KnownRecord, found, ok bool) {
		switch {
		case !ok:
			reply(c.errorResponse(503, "state service is away", 1))
		case !found:
			reply(c.errorResponse(404, "no such job", 0))
		case record.Status != "":
			api.rememberFinal(id, record.Status, record.Tasks)
			reply(c.finalStatusResponse(200, id, finalState{record.Status, record.Tasks}))
		default:
			if j := c.owner.Job(id); j != nil {
				api.cancelOwned(j, reply)
				return
			}
			api.queryOwner(id, record.Shard, true, func(result *meshpb.JobQueryResult) {
				if result == nil || result.HttpStatus != 200 || (result.JobStatus != protocol.StatusDone && result.JobStatus != protocol.StatusCancelled) {
					reply(c.errorResponse(503, "the job's owner does not answer", 1))
					return
				}
				api.rememberFinal(id, result.JobStatus, record.Tasks)
				reply(c.statusResponse(200, id, result.JobStatus, int(result.Done), 0))
			})
		}
	})
}

func (api *userAPI) cancelOwned(j *shard.Job, reply func(Response)) {
	api.controller.owner.Cancel(j, func(status string, err error) {
		if err != nil {
			reply(api.controller.errorResponse(503, "the job's owner changes", 1))
			return
		}
		reply(api.controller.finalStatusResponse(200, j.ID(), finalState{status, j.Spec().Tasks}))
	})
}

// queryOwner asks the member that holds a shard; done gets nil if it does not
// answer.
func (api *userAPI) queryOwner(id, ledger string, abort bool, done func(*meshpb.JobQueryResult)) {
	var p *peer
	if holder, held := api.controller.election.ShardHolder(ledger); held {
		p = api.controller.peers[holder]
	}
	if p == nil || p.link == nil || len(api.jobQueries) >= maxJobQueries {
		done(nil)
		return
	}
	api.lastQueryID++
	api.jobQueries[api.lastQueryID] = &jobQuery{to: p, sentAt: api.controller.now(), onResult: done}
	p.send(&meshpb.Frame{Body: &meshpb.Frame_JobQuery{JobQuery: &meshpb.JobQuery{Id: api.lastQueryID, Job: id, Cancel: abort}}})
}

// onJobQuery answers another member from what this one owns.
func (api *userAPI) onJobQuery(p *peer, f *meshpb.JobQuery) {
	link := p.link
	answer := func(result *meshpb.JobQueryResult) {
		if p.link == link { // on another stream the number may be another question's
			result.Id = f.Id
			p.send(&meshpb.Frame{Body: &meshpb.Frame_JobQueryResult{JobQueryResult: result}})
		}
	}
	if final, ok := api.finalStates[f.Job]; ok {
		done := 0
		if final.status == protocol.StatusDone {
			done = final.tasks
		}
		answer(&meshpb.JobQueryResult{HttpStatus: 200, JobStatus: final.status, Done: uint32(done)})
		return
	}
	j := api.controller.owner.Job(f.Job)
	if j == nil || !api.controller.election.MayAct(api.controller.now()) {
		answer(&meshpb.JobQueryResult{HttpStatus: 503})
		return
	}
	if !f.Cancel && j.Ending() {
		answer(&meshpb.JobQueryResult{HttpStatus: 503})
		return
	}
	if !f.Cancel {
		answer(&meshpb.JobQueryResult{HttpStatus: 200, JobStatus: j.WireStatus(), Done: uint32(j.Finished()), Running: uint32(j.Running())})
		return
	}
	api.controller.owner.Cancel(j, func(status string, err error) {
		if err != nil {
			answer(&meshpb.JobQueryResult{HttpStatus: 503})
			return
		}
		answer(&meshpb.JobQueryResult{HttpStatus: 200, JobStatus: status, Done: uint32(j.Finished())})
	})
}

func (api *userAPI) onJobQueryResult(p *peer, f *meshpb.JobQueryResult) {
	if query := api.jobQueries[f.Id]; query != nil && query.to == p {
		delete(api.jobQueries, f.Id)
		query.onResult(f)
	}
}

func (api *userAPI) peerDown(p *peer) {
	for id, query := range api.jobQueries {
		if query.to == p {
			delete(api.jobQueries, id)
			query.onResult(nil)
		}
	}
}
