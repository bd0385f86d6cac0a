package storage

import "errors"

// ErrNoAnswer reports that the state service gave no usable answer to a read: no answer came in
// time, the service rejected the read, or it was not sent. The read may be repeated.
var ErrNoAnswer = errors.New("the state service gave no usable answer")

// ErrRevisionTooOld reports that the state service no longer has the changes since the revision
// of a watch. The caller has to list all keys again.
var ErrRevisionTooOld = errors.New("the revision to watch from is too old")

// ErrUnreadableRecords reports that a read skipped records of an unknown format, so that what it
// lacks may exist.
var ErrUnreadableRecords = errors.New("records of an unknown format")
