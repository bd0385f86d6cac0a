// Package api implements the users' API: submissions, status queries and cancellations. It also
// answers the queries that other members forward for jobs that this process owns. It owns the
// cache of final job statuses, the pending queries to other members, and the timeouts of
// requests.
//
// A submission is idempotent by its job's ID. Answers never go back in time: the answer to a
// request reflects no older state than any answer given before the request arrived. The package
// performs no I/O, has no clock of its own, and changes jobs only through Owner. All calls are
// made on one goroutine, and each reply function is called exactly once.
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

// StatusTimeout is the time after which a status query is answered with an error. Users give up
// after 2 s.
const StatusTimeout = 1500 * time.Millisecond

const (
	submitTimeout       = 3500 * time.Millisecond // of submissions and cancellations; users give up after 5 s
	notReadyGracePeriod = 3 * time.Second         // for which a process that may not act still reports ready
)

// Owner manages the unfinished jobs of the shards that this process holds. It is implemented by
// shard.Owner.
type Owner interface {
	// Job returns an unfinished job of a held shard, or nil.
	Job(id string) *shard.Job
	// OwnShard returns this member's own shard, or nil unless it is held and recovered.
	OwnShard() *shard.Shard
	// MemoryFull reports whether one more job would exceed the memory limit of new jobs.
	MemoryFull(spec *protocol.Job) bool
	// CreateJob writes a new job to this member's own shard.
	CreateJob(spec *protocol.Job, submittedMs int64, deadline time.Duration, done func(storage.CreateResult))
	// Cancel ends a job. done receives the final status, or an error if this process cannot
	// determine it.
	Cancel(job *shard.Job, done func(status string, err error))
}

// Authority reports who may act for which shards. It is implemented by election.Election.
type Authority interface {
	// MayAct reports whether this process may act for its shards now.
	MayAct(now time.Duration) bool
	// MayActUntil returns the time before which this process is guaranteed to be entitled to
	// act, on Config.Clock.
	MayActUntil() time.Duration
	// ShardHolder returns the member last observed to hold a shard, if there is one.
	ShardHolder(shard string) (member string, ok bool)
	// AllMembersReadServices reports whether all controllers can read the records of services.
	AllMembersReadServices(now time.Duration) bool
}

// Records provides the job records in the state service. It is implemented by storage.Store.
type Records interface {
	// LookupJob reads a job's current record: the read begins after this call, and is not sent
	// if it has not begun by the deadline. known is the record that an earlier read returned,
	// or the zero value.
	LookupJob(id string, known storage.VersionedJobRecord, deadline time.Duration, done func(storage.JobLookupResult))
	// Fits reports whether a job's specification is within the size limit of a value.
	Fits(job *protocol.Job) bool
	// Failing reports whether the last request to the state service was rejected as unavailable
	// or got no answer.
	Failing() bool
}

// Members provides the connections to the other members.
type Members interface {
	// Connected reports whether this process is connected to a member.
	Connected(member string) bool
	// SendJobQuery sends a query to a connected member.
	SendJobQuery(member string, query *meshpb.JobQuery)
	Reachability() Reachability
}

// Reachability summarizes the state of the other members as seen by this process.
type Reachability struct {
	Isolated                 bool // other members are configured, and none is connected
	OtherReachesStateService bool // a connected member has a valid lease at the state service
}

// Catalog provides the teams and machine types against which submissions are checked.
type Catalog interface {
	// Team returns a team's settings, or nil.
	Team(name string) *settings.Team
	// MachineTypes returns the cloud's machine types by name; it is empty until they have been
	// read.
	MachineTypes() map[string]*protocol.MachineType
}

// Config contains the dependencies of an API.
type Config struct {
	Clock storage.Clock
	Wall  func() time.Time // wall clock, for the submission time of jobs
	Codec *protocol.Codec

	Owner     Owner
	Authority Authority
	Records   Records
	Members   Members
	Catalog   Catalog
	Statuses  *StatusCache
}

// API answers submissions, status queries and cancellations, both from users and as forwarded by
// other members.
type API struct {
	config        Config
	responder     responder
	queries       jobQueries
	timers        []requestTimer
	notReadySince time.Duration // on Config.Clock; 0: this process may act
}

// requestTimer rejects a request that has not been answered in time.
type requestTimer struct {
	expiresAt time.Duration
	onExpire  func()
}

// New returns the users' API of a process.
func New(config Config) *API {
	api := &API{config: config, responder: responder{config.Codec}}
	api.queries = jobQueries{clock: config.Clock, members: config.Members, pending: make(map[uint64]*jobQuery)}
	return api
}

func (api *API) now() time.Duration { return api.config.Clock.Now() }

// mayActForOwnShard reports whether this process holds its own shard and may act for it.
func (api *API) mayActForOwnShard(now time.Duration) bool {
	return api.config.Owner.OwnShard() != nil && api.config.Authority.MayAct(now)
}

// Tick ends requests and queries that have timed out. It is called about ten times a second.
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
	for _, onExpire := range due {
		onExpire()
	}
}

// HandleMemberDisconnected fails the pending queries to a member whose connection has ended.
func (api *API) HandleMemberDisconnected(member string) { api.queries.failQueriesTo(member) }

// withTimeout returns a function that calls reply once; further calls are ignored. If it is not
// called within the timeout, the request is rejected.
func (api *API) withTimeout(timeout time.Duration, reply func(Response)) func(Response) {
	answered := false
	once := func(r Response) {
		if !answered {
			answered = true
			reply(r)
		}
	}
	api.timers = append(api.timers, requestTimer{api.now() + timeout, func() {
		if !answered {
			once(api.responder.reject(rejectedTimeout))
		}
	}})
	return once
}

// Ready answers the health check of the load balancer. A process that may not act because it
// cannot use the state service still reports ready for notReadyGracePeriod, and after that while
// no connected member can use the service either. A process that is connected to no member
// reports not ready after notReadyGracePeriod, since it is then most likely partitioned from the
// others, together with its machines and users.
func (api *API) Ready(reply func(Response)) {
	now := api.now()
	if api.mayActForOwnShard(now) {
		reply(Response{Status: http.StatusOK})
		return
	}
	others := api.config.Members.Reachability()
	outageIsShared := !others.OtherReachesStateService && !others.Isolated
	if api.config.Owner.OwnShard() != nil && (outageIsShared || now-api.notReadySince < notReadyGracePeriod) {
		reply(Response{Status: http.StatusOK})
		return
	}
	reply(api.responder.reject(rejectedNotReady))
}
