// Package api answers the users: submissions, status queries and cancellations, and the
// same questions of other members about jobs that this process owns. It owns what is
// known for certain of jobs that have ended, the queries to other members that are under
// way, and when a request has waited for too long. A submission is idempotent by its
// job's ID; no answer is older than what was told before it was asked for. It does no
// I/O, has no clock of its own, and changes no job but through Owner. All calls come on
// one goroutine, and reply is called once.
package api

import (
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// StatusTimeout is when a status query is answered at the latest. Users give up after
// 2 s.
const StatusTimeout = 1500 * time.Millisecond

const (
	submitTimeout       = 3500 * time.Millisecond // for submissions and cancellations; users give up after 5 s
	notReadyGracePeriod = 3 * time.Second         // a process that may not act counts as ready for so long
)

// Owner has the unfinished jobs of the shards that this process holds; it is a
// shard.Owner.
type Owner interface {
	// Job returns an unfinished job of a held shard, or nil.
	Job(id string) *shard.Job
	// OwnShard returns this member's own shard if it is held and recovered, or nil.
	OwnShard() *shard.Shard
	// MemoryFull tells whether one more job would take more memory than new jobs may.
	MemoryFull(spec *protocol.Job) bool
	// CreateJob writes a new job to this member's own shard.
	CreateJob(spec *protocol.Job, submittedMs int64, deadline time.Duration, done func(storage.CreateResult))
	// Cancel ends a job; done gets its final status, or why that cannot be said here.
	Cancel(job *shard.Job, done func(status string, err error))
}

// Authority is what the election says; it is an election.Election.
type Authority interface {
	// MayAct tells whether this process may act for its shards now.
	MayAct(now time.Duration) bool
	// MayActUntil is up to when it surely may.
	MayActUntil() time.Duration
	// ShardHolder returns the member that is thought to hold a shard, if any is.
	ShardHolder(shard string) (member string, ok bool)
	// AllReadServices tells whether all controllers can read services.
	AllMembersReadServices(now time.Duration) bool
}

// Records are the jobs' records in the state service; it is a storage.Store.
type Records interface {
	// LookupJob reads a record afresh, unless the read has not begun by the deadline.
	LookupJob(id string, known storage.VersionedJobRecord, deadline time.Duration, done func(record storage.VersionedJobRecord, found, ok bool))
	// Fits tells whether a job's description stays within the limit of a value.
	Fits(job *protocol.Job) bool
	// Failing tells whether the state service has just refused or not answered.
	Failing() bool
}

// Members are the streams to the other members.
type Members interface {
	// Connected tells whether there is a stream to a member.
	Connected(member string) bool
	// SendJobQuery sends a query to a connected member.
	SendJobQuery(member string, query *meshpb.JobQuery)
	Reachability() Reachability
}

// Reachability is how this process sees the others.
type Reachability struct {
	Isolated                 bool // there are other members, and none is in reach
	OtherReachesStateService bool // some member in reach has the state service
}

// Catalogue is what a submission is checked against.
type Catalog interface {
	// Team returns a team's settings, or nil.
	Team(name string) *settings.Team
	// MachineTypes are the cloud's types by name; there are none before they are read.
	MachineTypes() map[string]*protocol.MachineType
}

// Config is what the users' API needs.
type Config struct {
	Clock storage.Clock
	Wall  func() time.Time // the time of day, for when a job was submitted
	Codec *protocol.Codec

	Owner     Owner
	Authority Authority
	Records   Records
	Members   Members
	Catalog   Catalog
	Statuses  *StatusCache
}

// API answers submissions, status queries and cancellations, those of users and
// those that other members pass on.
type API struct {
	config        Config
	responder     responder
	queries       jobQueries
	timers        []requestTimer
	notReadySince time.Duration // 0: this process may act
}

// requestTimer answers a request that nothing else has answered in time.
type requestTimer struct {
	expiresAt time.Duration
	onExpire  func()
}

// New makes the users' API of a process.
func New(config Config) *API {
	api := &API{config: config, responder: responder{config.Codec}}
	api.queries = jobQueries{clock: config.Clock, members: config.Members, pending: make(map[uint64]*jobQuery)}
	return api
}

func (api *API) now() time.Duration { return api.config.Clock.Now() }

// accepting tells whether this process may act for its own shard.
func (api *API) mayActForOwnShard(now time.Duration) bool {
	return api.config.Owner.OwnShard() != nil && api.config.Authority.MayAct(now)
}

// Tick ends what has waited for too long. It is called about ten times a second.
func (api *API) Tick(now time.Duration) {
	if api.mayActForOwnShard(now) {
		api.notReadySince = 0
	} else if api.notReadySince == 0 {
		api.notReadySince = now
	}
	api.queries.failExpired(now)
	kept := api.timers[:0]
	var due []func()
	for _, timer := range api.timers {
		if timer.expiresAt <= now {
			due = append(due, timer.onExpire)
		} else {
			kept = append(kept, timer)
		}
	}
	api.timers = kept
	for _, expire := range due {
		expire()
	}
}

// HandleMemberDisconnected ends the queries to a member whose stream has ended.
func (api *API) HandleMemberDisconnected(member string) { api.queries.failQueriesTo(member) }

// withTimeout makes reply answer by itself when nothing else has in time.
func (api *API) withTimeout(limit time.Duration, reply func(Response)) func(Response) {
	answered := false
	once := func(r Response) {
		if !answered {
			answered = true
			reply(r)
		}
	}
	api.timers = append(api.timers, requestTimer{api.now() + limit, func() {
		if !answered {
			once(api.responder.reject(rejectedTimeout))
		}
	}})
	return once
}

// Ready answers the load balancer. A process that the state service refuses still counts
// as ready while no other member is better off, but not if it cannot ask any: then it is
// most likely alone with its workers and users.
func (api *API) Ready(reply func(Response)) {
	now := api.now()
	if api.mayActForOwnShard(now) {
		reply(Response{Status: http.StatusOK})
		return
	}
	others := api.config.Members.Reachability()
	bestOff := !others.OtherReachesStateService && !others.Isolated
	if api.config.Owner.OwnShard() != nil && (bestOff || now-api.notReadySince < notReadyGracePeriod) {
		reply(Response{Status: http.StatusOK})
		return
	}
	reply(api.responder.reject(rejectedNotReady))
}
