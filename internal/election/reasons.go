package election

import "github.com/rs/zerolog"

// AcquisitionReason is why this process could claim the leader key.
type AcquisitionReason uint8

// The reasons for acquiring leadership.
const (
	LeaderKeyFree        AcquisitionReason = iota + 1 // the leader key had no holder
	LeaderKeyAlreadyHeld                              // this or an earlier process of the member held it
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

// LossReason is why this process no longer leads.
type LossReason uint8

// The reasons for losing leadership.
const (
	LeaseSessionExpired LossReason = iota + 1 // a renewal showed that the lease has ended
	LeaseSessionUnknown                       // a claim was rejected because the lease has ended
	LeaderKeyChanged                          // the leader key was deleted or has a newer version
	MachinesUnreachable                       // no machine reaches this member, so it resigned
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

// level returns the log level for the reason. The error level asks the operator on
// call to check the network between this member and the machines.
func (r LossReason) level() zerolog.Level {
	if r == MachinesUnreachable {
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}

// ReleaseReason is why this process released a shard that it still held.
type ReleaseReason uint8

// The reasons for releasing a shard.
const (
	ReleasedToOwnMember   ReleaseReason = iota + 1 // requested by the member it is named after
	ReleasedWithoutLeader                          // no leader confirms the shards of this process
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

// level returns the log level for the reason. The error level asks the operator on
// call to check the network between the controllers.
func (r ReleaseReason) level() zerolog.Level {
	if r == ReleasedWithoutLeader {
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}
