package coordination

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/eventcount"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// authority reports whether and until when a leader may act, and lets it resign. Times are on
// this process's monotonic clock.
type authority interface {
	MayAct(now time.Duration) bool
	MayActUntil() time.Duration
	Resign(reason election.LossReason)
}

// leaderStore is the part of the state service that a leader uses.
type leaderStore interface {
	machineRecordStore
	UnfinishedJobs(shard string, done func(jobs []storage.RecoveredJob, revision uint64, err error))
}

// leaderEnvironment holds all that a leader uses of its controller. A leader accesses neither
// the controller nor the shards that this process owns in any other way.
type leaderEnvironment struct {
	settings            *settings.Settings
	tuning              *settings.Tuning
	memberCount         int           // of the deployment
	machineLeaseTimeout time.Duration // from a heartbeat's arrival to the guaranteed end of the machine's lease
	silenceLimit        time.Duration // silence after which a machine gets no more offers; see leader.schedulable

	clock     storage.Clock
	wallClock func() time.Time
	codec     *protocol.Codec
	log       *zerolog.Logger
	store     leaderStore
	cloud     *cloud.Inventory
	authority authority
	events    *eventcount.Counter // by responseEvent
	stops     *eventcount.Counter // by stopReason

	// cachedImages returns the images cached on a machine, as an earlier leader last reported
	// them to this process.
	cachedImages func(machine string) []*meshpb.CachedImage
	// errorResponse builds a response that rejects a heartbeat.
	errorResponse func(status int, text string, retryAfterS int) Response
}

// leaderEnvironment returns the environment of a leader on this process.
func (c *Controller) leaderEnvironment() leaderEnvironment {
	return leaderEnvironment{
		settings:            &c.cfg.Settings,
		tuning:              &c.tuning,
		memberCount:         1 + len(c.peers),
		machineLeaseTimeout: c.machineLeaseTimeout(),
		silenceLimit:        c.silenceLimit(),
		clock:               c.env.Clock,
		wallClock:           c.env.Wall,
		codec:               c.codec,
		log:                 &c.log,
		store:               c.store,
		cloud:               c.cloud,
		authority:           c.election,
		events:              &c.responseEvents,
		stops:               &c.stopCommands,
		cachedImages:        c.owner.CachedImages,
		errorResponse:       c.errorResponse,
	}
}

// maxRecordBytes is the limit of one record's size at the state service.
func (e *leaderEnvironment) maxRecordBytes() int {
	return int(e.settings.State.Effective().ValueKB * 1024)
}

// now returns the time on this process's monotonic clock.
func (l *leader) now() time.Duration { return l.env.clock.Now() }

// wallMs returns the Unix time in milliseconds.
func (l *leader) wallMs() int64 { return l.env.wallClock().UnixMilli() }

// countResponse counts a response event. The counts are logged together.
func (l *leader) countResponse(e responseEvent) { l.env.events.Add(int(e)) }
