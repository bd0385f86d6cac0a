package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// submit accepts a job. A known job's retry is answered before anything is
// held against it.
func (api *userAPI) submit(body []byte, reply func(Response)) {
	c := api.controller
	var s protocol.Submission
	if err := c.codec.Decode(body, &s); err != nil {
		reply(c.errorResponse(400, err.Error(), 0))
		return
	}
	job, err := s.Validate()
	if err != nil {
		reply(c.errorResponse(400, err.Error(), 0))
		return
	}
	reply = api.withTimeout(submitTimeout, reply)
	if api.answerFromMemory(job.ID, 200, reply) {
		return
	}
	if refused, ok := api.checkRunnable(job); !ok {
		// It may be the retry of a job that was accepted when it could run.
		api.lookUp(job.ID, func() Response { return refused }, reply)
		return
	}
	if c.owner.OwnShard() == nil || !c.election.MayAct(c.now()) || c.store.Failing() {
		if c.store.Failing() {
			reply(c.errorResponse(503, "state service is away", 1))
			return
		}
		api.lookUp(job.ID, func() Response { return c.errorResponse(503, "not ready to accept", 1) }, reply)
		return
	}
	if c.owner.MemoryFull(job) {
		api.lookUp(job.ID, func() Response { return c.errorResponse(503, "too much unfinished work", 10) }, reply)
		return
	}
	c.owner.CreateJob(job, c.env.Wall().UnixMilli(), c.now()+submitTimeout, func(r storage.CreateResult) {
		switch r {
		case storage.Created:
			reply(c.statusResponse(201, job.ID, protocol.StatusPending, 0, 0))
		case storage.AlreadyExists:
			api.lookUp(job.ID, func() Response { return c.errorResponse(503, "state is being read", 1) }, reply)
		default:
			reply(c.errorResponse(503, "state service is away", 1))
		}
	})
}

// checkRunnable says whether a job can ever run.
func (api *userAPI) checkRunnable(job *protocol.Job) (Response, bool) {
	c := api.controller
	t := c.team(job.Team)
	if t == nil {
		return c.errorResponse(422, "unknown crew", 0), false
	}
	if len(c.cloud.Catalog()) == 0 {
		return c.errorResponse(503, "machine types are not known yet", 1), false
	}
	fits := false
	var known []string
	for _, mt := range c.cloud.Catalog() {
		fits = fits || job.Fits(mt)
		if !job.AnyType && job.AllowsType(mt.Name) {
			known = append(known, mt.Name)
		}
	}
	if !fits {
		return c.errorResponse(422, "a page fits no allowed machine type", 0), false
	}
	if (t.CPUsMax > 0 && job.CPUs > t.CPUsMax) || (t.GPUsMax > 0 && job.GPUs > t.GPUsMax) {
		return c.errorResponse(422, "a page needs more than the crew's limit", 0), false
	}
	if n := float64(job.Tasks); job.Service && ((t.CPUsMax > 0 && n*job.CPUs > t.CPUsMax) || (t.GPUsMax > 0 && n*job.GPUs > t.GPUsMax)) {
		return c.errorResponse(422, "all pages of a service together need more than the crew's limit", 0), false
	}
	job.Types = known
	if !c.store.Fits(job) {
		return c.errorResponse(422, "its description does not fit the state service's limit of a value", 0), false
	}
	if job.Service && !c.election.AllReadServices(c.now()) {
		return c.errorResponse(503, "some controller can't run services yet", 1), false
	}
	return Response{}, true
}

// answerFromMemory answers from what this node holds for certain.
func (api *userAPI) answerFromMemory(id string, code int, reply func(Response)) bool {
	c := api.controller
	if final, ok := api.finalStates[id]; ok {
		reply(c.finalStatusResponse(code, id, final))
		return true
	}
	j := c.owner.Job(id)
	if j == nil || j.Ending() || !c.election.MayAct(c.now()) {
		// While the end is being written, other nodes may read it already and
		// tell it; only a fresh read is sure not to be older than that.
		return false
	}
	r := c.statusResponse(code, id, j.WireStatus(), j.Finished(), j.Running())
	r.ValidUntil = c.election.MayActUntil()
	reply(r)
	return true
}
