package coordination

import (
	"net/http"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/api"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// newUserAPI makes the users' API.
func (c *Controller) newUserAPI() *api.API {
	return api.New(api.Config{
		Clock:     c.env.Clock,
		Wall:      c.env.Wall,
		Codec:     c.codec,
		Owner:     c.owner,
		Authority: apiAuthority{c},
		Records:   c.store,
		Members:   apiMembers{c},
		Catalogue: apiCatalogue{c},
		Statuses:  c.statuses,
	})
}

// apiAuthority is the election as the users' API sees it, which is made after that.
type apiAuthority struct{ controller *Controller }

func (a apiAuthority) MayAct(now time.Duration) bool { return a.controller.election.MayAct(now) }

func (a apiAuthority) MayActUntil() time.Duration { return a.controller.election.MayActUntil() }

func (a apiAuthority) ShardHolder(shard string) (member string, ok bool) {
	return a.controller.election.ShardHolder(shard)
}

func (a apiAuthority) AllMembersReadServices(now time.Duration) bool {
	return a.controller.election.AllMembersReadServices(now)
}

// apiMembers are the other members as the users' API sees them.
type apiMembers struct{ controller *Controller }

func (m apiMembers) Connected(member string) bool {
	p := m.controller.peers[member]
	return p != nil && p.link != nil
}

func (m apiMembers) SendJobQuery(member string, query *meshpb.JobQuery) {
	m.controller.peers[member].send(&meshpb.Frame{Body: &meshpb.Frame_JobQuery{JobQuery: query}})
}

func (m apiMembers) Reachability() api.Reachability {
	seen := api.Reachability{Alone: len(m.controller.peers) > 0}
	for _, p := range m.controller.peers {
		seen.OtherServed = seen.OtherServed || (p.link != nil && p.stateServiceReachable)
		seen.Alone = seen.Alone && p.link == nil
	}
	return seen
}

// apiCatalogue is what submissions are checked against.
type apiCatalogue struct{ controller *Controller }

func (s apiCatalogue) Team(name string) *settings.Team { return s.controller.team(name) }

func (s apiCatalogue) MachineTypes() map[string]*protocol.MachineType {
	return s.controller.cloud.Catalog()
}

// handleJobQuery has a member's question answered, unless its stream has ended meanwhile.
func (c *Controller) handleJobQuery(from *peer, query *meshpb.JobQuery) {
	link := from.link
	c.userAPI.HandleJobQuery(query, func(result *meshpb.JobQueryResult) {
		if from.link == link { // on another stream the number may be another question's
			result.Id = query.Id
			from.send(&meshpb.Frame{Body: &meshpb.Frame_JobQueryResult{JobQueryResult: result}})
		}
	})
}

// unavailable refuses a request for now.
func (c *Controller) unavailableResponse(why string) Response {
	return c.errorResponse(http.StatusServiceUnavailable, why, 1)
}

// errorResponse refuses a request.
func (c *Controller) errorResponse(status int, why string, retryAfterS int) Response {
	return Response{Status: status, Body: c.codec.Encode(protocol.ErrorBody{Error: why}), RetryAfterS: retryAfterS}
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
			c.userAPI.Ready(reply)
		}
	case path == heartbeatPath:
		if need("POST") {
			c.handleHeartbeat(req, reply)
		}
	case path == "/submissions":
		if need("POST") {
			c.userAPI.Submit(req.Body, reply)
		}
	case isJob && strings.HasSuffix(rest, "/abort") && !strings.Contains(strings.TrimSuffix(rest, "/abort"), "/"):
		if need("POST") {
			c.userAPI.Cancel(strings.TrimSuffix(rest, "/abort"), reply)
		}
	case isJob && rest != "" && !strings.Contains(rest, "/"):
		if need("GET") {
			c.userAPI.Status(rest, reply)
		}
	default:
		reply(c.errorResponse(404, "unknown path", 0))
	}
}
