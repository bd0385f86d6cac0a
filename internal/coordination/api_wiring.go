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

// newUserAPI returns the users' API.
func (c *Controller) newUserAPI() *api.API {
	return api.New(api.Config{
		Clock:     c.env.Clock,
		Wall:      c.env.Wall,
		Codec:     c.codec,
		Owner:     c.owner,
		Authority: apiAuthority{c},
		Records:   c.store,
		Members:   apiMembers{c},
		Catalog:   apiCatalog{c},
		Statuses:  c.statuses,
	})
}

// apiAuthority implements api.Authority. It looks the election up at each call, because
// the election is created after the users' API.
type apiAuthority struct{ controller *Controller }

func (a apiAuthority) MayAct(now time.Duration) bool { return a.controller.election.MayAct(now) }

func (a apiAuthority) MayActUntil() time.Duration { return a.controller.election.MayActUntil() }

func (a apiAuthority) ShardHolder(shard string) (member string, ok bool) {
	return a.controller.election.ShardHolder(shard)
}

func (a apiAuthority) AllMembersReadServices(now time.Duration) bool {
	return a.controller.election.AllMembersReadServices(now)
}

// apiMembers implements api.Members with the other members.
type apiMembers struct{ controller *Controller }

func (m apiMembers) Connected(member string) bool {
	p := m.controller.peers[member]
	return p != nil && p.link != nil
}

func (m apiMembers) SendJobQuery(member string, query *meshpb.JobQuery) {
	m.controller.peers[member].send(&meshpb.Frame{Body: &meshpb.Frame_JobQuery{JobQuery: query}})
}

func (m apiMembers) Reachability() api.Reachability {
	reachability := api.Reachability{Isolated: len(m.controller.peers) > 0}
	for _, p := range m.controller.peers {
		reachability.OtherReachesStateService = reachability.OtherReachesStateService || (p.link != nil && p.stateServiceReachable)
		reachability.Isolated = reachability.Isolated && p.link == nil
	}
	return reachability
}

// apiCatalog implements api.Catalog: the teams and machine types that submissions are
// checked against.
type apiCatalog struct{ controller *Controller }

func (c apiCatalog) Team(name string) *settings.Team { return c.controller.team(name) }

func (c apiCatalog) MachineTypes() map[string]*protocol.MachineType {
	return c.controller.cloud.Catalog()
}

// handleJobQuery answers a member's query, unless the stream on which the query arrived
// has ended meanwhile.
func (c *Controller) handleJobQuery(from *peer, query *meshpb.JobQuery) {
	link := from.link
	c.userAPI.HandleJobQuery(query, func(result *meshpb.JobQueryResult) {
		if from.link == link { // on another stream the same id may belong to another query
			result.Id = query.Id
			from.send(&meshpb.Frame{Body: &meshpb.Frame_JobQueryResult{JobQueryResult: result}})
		}
	})
}

// unavailableResponse builds a 503 response that asks the client to retry after a second.
func (c *Controller) unavailableResponse(reason string) Response {
	return c.errorResponse(http.StatusServiceUnavailable, reason, 1)
}

// errorResponse builds a response that rejects a request.
func (c *Controller) errorResponse(status int, reason string, retryAfterS int) Response {
	return Response{Status: status, Body: c.codec.Encode(protocol.ErrorBody{Error: reason}), RetryAfterS: retryAfterS}
}

// HandleHTTP handles a request. It calls reply once, before it returns or later.
func (c *Controller) HandleHTTP(req *Request, reply func(Response)) {
	path, _, _ := strings.Cut(req.Path, "?")
	requireMethod := func(method string) bool {
		if req.Method != method {
			reply(c.errorResponse(405, "wrong method", 0))
			return false
		}
		return true
	}
	rest, isJob := strings.CutPrefix(path, "/submissions/")
	switch {
	case path == "/ready":
		if requireMethod("GET") {
			c.userAPI.Ready(reply)
		}
	case path == heartbeatPath:
		if requireMethod("POST") {
			c.handleHeartbeat(req, reply)
		}
	case path == "/submissions":
		if requireMethod("POST") {
			c.userAPI.Submit(req.Body, reply)
		}
	case isJob && strings.HasSuffix(rest, "/abort") && !strings.Contains(strings.TrimSuffix(rest, "/abort"), "/"):
		if requireMethod("POST") {
			c.userAPI.Cancel(strings.TrimSuffix(rest, "/abort"), reply)
		}
	case isJob && rest != "" && !strings.Contains(rest, "/"):
		if requireMethod("GET") {
			c.userAPI.Status(rest, reply)
		}
	default:
		reply(c.errorResponse(404, "unknown path", 0))
	}
}
