package coordination

import (
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	submitTimeout = 3500 * time.Millisecond // users give up after 5 s
	statusTimeout = 1500 * time.Millisecond // and polls after 2 s
	askTimeout    = 500 * time.Millisecond
	finalsKept    = 20000
	recordsKept   = 20000
	maxAsks       = 2000
	unreadyAfter  = 3 * time.Second
)

// ending is a job's final state, which never changes.
type ending struct {
	status string
	tasks  int
}

// users answers submissions, polls and cancellations.
type users struct {
	c      *Core
	finals map[string]ending
	order  []string // of finals, the oldest first
	// records remembers what was read of jobs that go on: to which ledger each
	// belongs, which never changes, and the stamp by which a change would show.
	records map[string]storage.KnownRecord
	asks    map[uint64]*ask
	askSeq  uint64
	timers  []timer
	bad     time.Duration // since when this node could not act
}

// ask is a question to the member that owns a job.
type ask struct {
	to   *peer
	at   time.Duration
	done func(a *meshpb.JobQueryResult)
}

type timer struct {
	at time.Duration
	fn func()
}

func (u *users) init(c *Core) {
	u.c = c
	u.finals = make(map[string]ending)
	u.records = make(map[string]storage.KnownRecord)
	u.asks = make(map[uint64]*ask)
}

func (u *users) remember(id, status string, tasks int) {
	delete(u.records, id)
	if _, ok := u.finals[id]; ok {
		return
	}
	if len(u.order) >= finalsKept {
		delete(u.finals, u.order[0])
		u.order = u.order[1:]
	}
	u.finals[id] = ending{status, tasks}
	u.order = append(u.order, id)
}

func (u *users) tick(now time.Duration) {
	if l := u.c.owner.ledgers[u.c.cfg.Member]; l != nil && l.ready && u.c.session.mayAct(now) {
		u.bad = 0
	} else if u.bad == 0 {
		u.bad = now
	}
	for id, a := range u.asks {
		if now-a.at > askTimeout {
			delete(u.asks, id)
			a.done(nil)
		}
	}
	kept := u.timers[:0]
	var due []func()
	for _, t := range u.timers {
		if t.at <= now {
			due = append(due, t.fn)
		} else {
			kept = append(kept, t)
		}
	}
	u.timers = kept
	for _, fn := range due {
		fn()
	}
}

// within makes reply answer by itself when nothing else has in time.
func (u *users) within(limit time.Duration, reply func(Response)) func(Response) {
	over := false
	once := func(r Response) {
		if !over {
			over = true
			reply(r)
		}
	}
	u.timers = append(u.timers, timer{u.c.now() + limit, func() {
		if !over {
			once(u.c.refusal(503, "no answer in time", 1))
		}
	}})
	return once
}

func (c *Core) refusal(status int, why string, retryS int) Response {
	return Response{Status: status, Body: c.codec.Encode(protocol.ErrorBody{Error: why}), RetryAfterS: retryS}
}

func (c *Core) status(code int, id, status string, done, running int) Response {
	return Response{Status: code, Body: c.codec.Encode(protocol.JobStatus{ID: id, Status: status, Done: &done, Running: &running})}
}

func (c *Core) finalStatus(code int, id string, e ending) Response {
	done := 0
	if e.status == protocol.StatusDone {
		done = e.tasks
	}
	return c.status(code, id, e.status, done, 0)
}

// HandleHTTP takes a request and calls reply once, now or later.
func (c *Core) HandleHTTP(req *Request, reply func(Response)) {
	path, _, _ := strings.Cut(req.Path, "?")
	need := func(method string) bool {
		if req.Method != method {
			reply(c.refusal(405, "wrong method", 0))
			return false
		}
		return true
	}
	rest, isJob := strings.CutPrefix(path, "/submissions/")
	switch {
	case path == "/ready":
		if need("GET") {
			c.users.ready(reply)
		}
	case path == reportPath:
		if need("POST") {
			c.checkin(req, reply)
		}
	case path == "/submissions":
		if need("POST") {
			c.users.submit(req.Body, reply)
		}
	case isJob && strings.HasSuffix(rest, "/abort") && !strings.Contains(strings.TrimSuffix(rest, "/abort"), "/"):
		if need("POST") {
			c.users.abort(strings.TrimSuffix(rest, "/abort"), reply)
		}
	case isJob && rest != "" && !strings.Contains(rest, "/"):
		if need("GET") {
			c.users.poll(rest, reply)
		}
	default:
		reply(c.refusal(404, "unknown path", 0))
	}
}

// ready answers the load balancer. A node that the state service refuses
// still counts as ready while no other member is better off, but not if it
// cannot ask any: then it is most likely alone with its workers and users.
func (u *users) ready(reply func(Response)) {
	c, now := u.c, u.c.now()
	l := c.owner.ledgers[c.cfg.Member]
	if l != nil && l.ready && c.session.mayAct(now) {
		reply(Response{Status: 200})
		return
	}
	better, alone := false, len(c.peers) > 0
	for _, p := range c.peers {
		better = better || (p.link != nil && p.stateOK)
		alone = alone && p.link == nil
	}
	if l != nil && l.ready && ((!better && !alone) || now-u.bad < unreadyAfter) {
		reply(Response{Status: 200})
		return
	}
	reply(c.refusal(503, "not ready", 1))
}

func (j *ownedJob) wireStatus() string {
	if j.nRun > 0 {
		return protocol.StatusRunning
	}
	return protocol.StatusPending
}

// lookUp reads a job's record afresh, and asks its owner if it goes on.
// Nothing less than a fresh read may say that a job is unknown, and nothing
// less than that or its owner that it goes on.
func (u *users) lookUp(id string, code int, absent func() Response, reply func(Response)) {
	u.read(id, code, absent, reply, func(rec storage.KnownRecord) {
		u.ask(id, code, rec.Shard, reply, func() {
			// The owner does not answer. The job may have come to its end
			// since the record was read.
			u.read(id, code, absent, reply, func(storage.KnownRecord) {
				reply(u.c.status(code, id, protocol.StatusPending, 0, 0))
			})
		})
	})
}

// read answers from a job's record unless the job goes on.
func (u *users) read(id string, code int, absent func() Response, reply func(Response), goesOn func(storage.KnownRecord)) {
	c := u.c
	c.store.LookupJob(id, u.records[id], c.now()+statusTimeout, func(rec storage.KnownRecord, found, ok bool) {
		switch {
		case !ok:
			reply(c.refusal(503, "state service is away", 1))
		case !found:
			reply(absent())
		case rec.Status != "":
			u.remember(id, rec.Status, rec.Tasks)
			reply(c.finalStatus(code, id, ending{rec.Status, rec.Tasks}))
		default:
			if len(u.records) >= recordsKept {
				clear(u.records)
			}
			u.records[id] = rec
			if !u.known(id, code, reply) {
				goesOn(rec)
			}
		}
	})
}

// ask answers with what a job's owner says, or calls silent.
func (u *users) ask(id string, code int, ledger string, reply func(Response), silent func()) {
	asked := u.c.now()
	u.askOwner(id, ledger, false, func(a *meshpb.JobQueryResult) {
		if a == nil || a.HttpStatus != 200 {
			silent()
			return
		}
		if a.JobStatus == protocol.StatusDone || a.JobStatus == protocol.StatusCancelled {
			u.remember(id, a.JobStatus, int(a.Done))
		}
		r := u.c.status(code, id, a.JobStatus, int(a.Done), int(a.Running))
		r.Until = asked + statusTimeout // what another member has said is older by then
		reply(r)
	})
}

// poll answers a user's question about a job.
func (u *users) poll(id string, reply func(Response)) {
	if !protocol.ValidJobID(id) {
		reply(u.c.refusal(404, "no such job", 0))
		return
	}
	reply = u.within(statusTimeout, reply)
	if u.known(id, 200, reply) {
		return
	}
	absent := func() Response { return u.c.refusal(404, "no such job", 0) }
	if rec, ok := u.records[id]; ok {
		u.ask(id, 200, rec.Shard, reply, func() {
			// The owner does not answer. Only the record says whether it goes on.
			u.read(id, 200, absent, reply, func(storage.KnownRecord) {
				reply(u.c.status(200, id, protocol.StatusPending, 0, 0))
			})
		})
		return
	}
	u.lookUp(id, 200, absent, reply)
}

// abort cancels a job, here or at its owner.
func (u *users) abort(id string, reply func(Response)) {
	c := u.c
	if !protocol.ValidJobID(id) {
		reply(c.refusal(404, "no such job", 0))
		return
	}
	reply = u.within(submitTimeout, reply)
	if e, ok := u.finals[id]; ok {
		reply(c.finalStatus(200, id, e))
		return
	}
	if j := c.owner.jobs[id]; j != nil {
		u.withdraw(j, reply)
		return
	}
	c.store.LookupJob(id, u.records[id], c.now()+submitTimeout, func(rec storage.KnownRecord, found, ok bool) {
		switch {
		case !ok:
			reply(c.refusal(503, "state service is away", 1))
		case !found:
			reply(c.refusal(404, "no such job", 0))
		case rec.Status != "":
			u.remember(id, rec.Status, rec.Tasks)
			reply(c.finalStatus(200, id, ending{rec.Status, rec.Tasks}))
		default:
			if j := c.owner.jobs[id]; j != nil {
				u.withdraw(j, reply)
				return
			}
			u.askOwner(id, rec.Shard, true, func(a *meshpb.JobQueryResult) {
				if a == nil || a.HttpStatus != 200 || (a.JobStatus != protocol.StatusDone && a.JobStatus != protocol.StatusCancelled) {
					reply(c.refusal(503, "the job's owner does not answer", 1))
					return
				}
				u.remember(id, a.JobStatus, rec.Tasks)
				reply(c.status(200, id, a.JobStatus, int(a.Done), 0))
			})
		}
	})
}

func (u *users) withdraw(j *ownedJob, reply func(Response)) {
	u.c.owner.withdraw(j, func(status string) {
		if status == "" {
			reply(u.c.refusal(503, "the job's owner changes", 1))
			return
		}
		reply(u.c.finalStatus(200, j.id, ending{status, j.spec.Tasks}))
	})
}

// askOwner asks the member that holds a ledger; done gets nil if it does not
// answer.
func (u *users) askOwner(id, ledger string, abort bool, done func(*meshpb.JobQueryResult)) {
	k := u.c.session.ledgers[ledger]
	var p *peer
	if k != nil && k.present {
		p = u.c.peers[k.holder.Member]
	}
	if p == nil || p.link == nil || len(u.asks) >= maxAsks {
		done(nil)
		return
	}
	u.askSeq++
	u.asks[u.askSeq] = &ask{to: p, at: u.c.now(), done: done}
	p.send(&meshpb.Frame{Body: &meshpb.Frame_JobQuery{JobQuery: &meshpb.JobQuery{Id: u.askSeq, Job: id, Cancel: abort}}})
}

// onAsk answers another member from what this one owns.
func (u *users) onAsk(p *peer, f *meshpb.JobQuery) {
	link := p.link
	answer := func(a *meshpb.JobQueryResult) {
		if p.link == link { // on another stream the number may be another question's
			a.Id = f.Id
			p.send(&meshpb.Frame{Body: &meshpb.Frame_JobQueryResult{JobQueryResult: a}})
		}
	}
	if e, ok := u.finals[f.Job]; ok {
		done := 0
		if e.status == protocol.StatusDone {
			done = e.tasks
		}
		answer(&meshpb.JobQueryResult{HttpStatus: 200, JobStatus: e.status, Done: uint32(done)})
		return
	}
	j := u.c.owner.jobs[f.Job]
	if j == nil || !u.c.session.mayAct(u.c.now()) {
		answer(&meshpb.JobQueryResult{HttpStatus: 503})
		return
	}
	if !f.Cancel && j.ending != "" {
		answer(&meshpb.JobQueryResult{HttpStatus: 503})
		return
	}
	if !f.Cancel {
		answer(&meshpb.JobQueryResult{HttpStatus: 200, JobStatus: j.wireStatus(), Done: uint32(j.nDone), Running: uint32(j.nRun)})
		return
	}
	u.c.owner.withdraw(j, func(status string) {
		if status == "" {
			answer(&meshpb.JobQueryResult{HttpStatus: 503})
			return
		}
		answer(&meshpb.JobQueryResult{HttpStatus: 200, JobStatus: status, Done: uint32(j.nDone)})
	})
}

func (u *users) onAnswer(p *peer, f *meshpb.JobQueryResult) {
	if a := u.asks[f.Id]; a != nil && a.to == p {
		delete(u.asks, f.Id)
		a.done(f)
	}
}

func (u *users) peerDown(p *peer) {
	for id, a := range u.asks {
		if a.to == p {
			delete(u.asks, id)
			a.done(nil)
		}
	}
}
