package election

import "github.com/rs/zerolog"

// AcquisitionReason is why the leader key was free to this process.
type AcquisitionReason uint8

// The reasons.
const (
	LeaderKeyFree        AcquisitionReason = iota + 1 // nobody held the leader key
	LeaderKeyAlreadyHeld                              // this member held it, in this process or an earlier one
)

func (r AcquisitionReason) String() string {
	switch r {
	case LeaderKeyFree:
		return "nobody held the leader key"
	case LeaderKeyAlreadyHeld:
		return "this member held the leader key already"
	}
	return "unknown"
}

// LossReason is why this process leads no more.
type LossReason uint8

// The reasons.
const (
	LeaseSessionExpired LossReason = iota + 1 // the lease session has ended
	LeaseSessionUnknown                       // the state service knows no such lease
	LeaderKeyChanged                          // the leader key is another's, or gone
	MachinesUnreachable                       // no worker reaches this member: it has resigned
)

func (r LossReason) String() string {
	switch r {
	case LeaseSessionExpired:
		return "the lease session expired"
	case LeaseSessionUnknown:
		return "the state service knows no such lease"
	case LeaderKeyChanged:
		return "the leader key has changed"
	case MachinesUnreachable:
		return "no worker reaches this member"
	}
	return "unknown"
}

// level is how urgent the reason is to whoever is on call: the network between
// this member and its workers has to be looked at.
func (r LossReason) level() zerolog.Level {
	if r == MachinesUnreachable {
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}

// ReleaseReason is why this process has given a shard up of its own accord.
type ReleaseReason uint8

// The reasons.
const (
	ReleasedToOwnMember   ReleaseReason = iota + 1 // the shard's own member asked for it
	ReleasedWithoutLeader                          // no leader confirms the shards held here
)

func (r ReleaseReason) String() string {
	switch r {
	case ReleasedToOwnMember:
		return "the shard's own member asked for it"
	case ReleasedWithoutLeader:
		return "cut off from the leader"
	}
	return "unknown"
}

// level is how urgent the reason is to whoever is on call: the network between
// the controllers has to be looked at.
func (r ReleaseReason) level() zerolog.Level {
	if r == ReleasedWithoutLeader {
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}
