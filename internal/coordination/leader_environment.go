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

// authority tells up to when a leader may act, and takes its leadership back.
type authority interface {
	MayAct(now time.Duration) bool
	MayActUntil() time.Duration
	Resign(reason election.LossReason)
}

// leaderStore is what a leader reads and writes at the state service.
type leaderStore interface {
	machineRecordStore
	UnfinishedJobs(shard string, done func(jobs []storage.RecoveredJob, revision uint64, err error))
}

// leaderEnvironment is what a leader has of its controller, and all of it: it
// reaches neither the controller nor the shards that this process owns.
type leaderEnvironment struct {
	settings     *settings.Settings
	tuning       *settings.Tuning
	memberCount  int           // of the deployment
	leaseTimeout time.Duration // of machines, after the arrival of a heartbeat
	silenceLimit time.Duration // after which a machine gets no more starts

	clock     storage.Clock
	wallClock func() time.Time
	codec     *protocol.Codec
	log       *zerolog.Logger
	store     leaderStore
	cloud     *cloud.Inventory
	authority authority
	events    *eventcount.Counter // by responseEvent

	// imagesOf is what this process, when another led, last heard of the images that
	// a machine has cached.
	imagesOf func(machine string) []*meshpb.CachedImage
	// errorResponse builds a response that refuses a heartbeat.
	errorResponse func(status int, text string, retryAfterS int) Response
}

// leaderEnvironment returns what a leader on this process has.
func (c *Controller) leaderEnvironment() leaderEnvironment {
	return leaderEnvironment{
		settings:      &c.cfg.Settings,
		tuning:        &c.tuning,
		memberCount:   1 + len(c.peers),
		leaseTimeout:  c.workerLeaseTimeout(),
		silenceLimit:  c.silenceLimit(),
		clock:         c.env.Clock,
		wallClock:     c.env.Wall,
		codec:         c.codec,
		log:           &c.log,
		store:         c.store,
		cloud:         c.cloud,
		authority:     c.election,
		events:        &c.responseEvents,
		imagesOf:      c.owner.CachedImages,
		errorResponse: c.errorResponse,
	}
}

// maxRecordBytes is what one record may take at the state service.
func (e *leaderEnvironment) maxRecordBytes() int {
	return int(e.settings.State.Effective().ValueKB * 1024)
}

// now is the time on the steady clock.
func (l *leader) now() time.Duration { return l.env.clock.Now() }

// wallMs is the Unix time in milliseconds.
func (l *leader) wallMs() int64 { return l.env.wallClock().UnixMilli() }

// countResponse counts an event, to be logged with others.
func (l *leader) countResponse(e responseEvent) { l.env.events.Add(int(e)) }
