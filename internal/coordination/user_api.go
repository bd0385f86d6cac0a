package coordination

import (
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	submitTimeout = 3500 * time.Millisecond // users give up after 5 s
	statusTimeout = 1500 * time.Millisecond // and status queries after 2 s
	notReadyDelay = 3 * time.Second
)

// jobOwner has the unfinished jobs of the shards that this process holds; it is a
// shard.Owner.
type jobOwner interface {
	// Job returns an unfinished job of a held shard, or nil.
	Job(id string) *shard.Job
	// OwnShard returns this member's own shard if it is held and recovered, or nil.
	OwnShard() *shard.Shard
	// MemoryFull tells whether one more job would take more memory than new jobs may.
	MemoryFull(spec *protocol.Job) bool
	CreateJob(spec *protocol.Job, submittedMs int64, deadline time.Duration, done func(storage.CreateResult))
	// Cancel ends a job; done gets its final status, or why that cannot be said here.
	Cancel(job *shard.Job, done func(status string, err error))
}

// userAuthority is what the election says; it is an election.Election.
type userAuthority interface {
	// MayAct tells whether this process may act for its shards now.
	MayAct(now time.Duration) bool
	MayActUntil() time.Duration
	// ShardHolder returns the member that is thought to hold a shard, if any is.
	ShardHolder(shard string) (member string, ok bool)
	// AllReadServices tells whether all controllers can read services.
	AllReadServices(now time.Duration) bool
}

// jobRecords are the jobs' records in the state service; it is a storage.Store.
type jobRecords interface {
	// LookupJob reads a record afresh, unless the read has not begun by the deadline.
	LookupJob(id string, known storage.KnownRecord, deadline time.Duration, done func(record storage.KnownRecord, found, ok bool))
	// Fits tells whether a job's description stays within the limit of a value.
	Fits(job *protocol.Job) bool
	// Failing tells whether the state service has just refused or not answered.
	Failing() bool
}

// memberLinks are the streams to the other members.
type memberLinks interface {
	Connected(member string) bool
	SendJobQuery(member string, query *meshpb.JobQuery)
	Reachability() reachability
}

// reachability is how this process sees the others.
type reachability struct {
	alone       bool // there are other members, and none is in reach
	otherServed bool // some member in reach has the state service
}

// catalogue is what a submission is checked against.
type catalogue interface {
	// Team returns a team's settings, or nil.
	Team(name string) *settings.Team
	// MachineTypes are the cloud's types by name; there are none before they are read.
	MachineTypes() map[string]*protocol.MachineType
}

// userAPIConfig is what the users' API needs.
type userAPIConfig struct {
	Clock storage.Clock
	Wall  func() time.Time // the time of day, for when a job was submitted
	Codec *protocol.Codec

	Owner     jobOwner
	Authority userAuthority
	Records   jobRecords
	Members   memberLinks
	Catalogue catalogue
	Statuses  *statusCache
}

// userAPI answers submissions, status queries and cancellations, those of users and
// those that other members pass on.
type userAPI struct {
	config        userAPIConfig
	responses     responder
	queries       jobQueries
	timers        []requestTimer
	notReadySince time.Duration // 0: this process may act
}

// requestTimer answers a request that nothing else has answered in time.
type requestTimer struct {
	at     time.Duration
	expire func()
}

func newUserAPI(config userAPIConfig) *userAPI {
	api := &userAPI{config: config, responses: responder{config.Codec}}
	api.queries = jobQueries{clock: config.Clock, members: config.Members, pending: make(map[uint64]*jobQuery)}
	return api
}

func (api *userAPI) now() time.Duration { return api.config.Clock.Now() }

// accepting tells whether this process may act for its own shard.
func (api *userAPI) accepting(now time.Duration) bool {
	return api.config.Owner.OwnShard() != nil && api.config.Authority.MayAct(now)
}

// Tick ends what has waited for too long. It is called about ten times a second.
func (api *userAPI) Tick(now time.Duration) {
	if api.accepting(now) {
		api.notReadySince = 0
	} else if api.notReadySince == 0 {
		api.notReadySince = now
	}
	api.queries.expire(now)
	kept := api.timers[:0]
	var due []func()
	for _, timer := range api.timers {
		if timer.at <= now {
			due = append(due, timer.expire)
		} else {
			kept = append(kept, timer)
		}
	}
	api.timers = kept
	for _, expire := range due {
		expire()
	}
}

// MemberDown ends the queries to a member whose stream has ended.
func (api *userAPI) MemberDown(member string) { api.queries.memberDown(member) }

// withTimeout makes reply answer by itself when nothing else has in time.
func (api *userAPI) withTimeout(limit time.Duration, reply func(Response)) func(Response) {
	answered := false
	once := func(r Response) {
		if !answered {
			answered = true
			reply(r)
		}
	}
	api.timers = append(api.timers, requestTimer{api.now() + limit, func() {
		if !answered {
			once(api.responses.refuse(refusedTimeout))
		}
	}})
	return once
}

// Ready answers the load balancer. A process that the state service refuses still counts
// as ready while no other member is better off, but not if it cannot ask any: then it is
// most likely alone with its workers and users.
func (api *userAPI) Ready(reply func(Response)) {
	now := api.now()
	if api.accepting(now) {
		reply(Response{Status: http.StatusOK})
		return
	}
	others := api.config.Members.Reachability()
	bestOff := !others.otherServed && !others.alone
	if api.config.Owner.OwnShard() != nil && (bestOff || now-api.notReadySince < notReadyDelay) {
		reply(Response{Status: http.StatusOK})
		return
	}
	reply(api.responses.refuse(refusedNotReady))
}
