package storage

import "errors"

// ErrNoAnswer says that the state service gave no usable answer to a read: none came
// in time, the service refused it, or it was not sent. The same read may be sent again.
var ErrNoAnswer = errors.New("the state service gave no usable answer")

// ErrRevisionTooOld says that the state service no longer has the changes since a
// watch's revision: all keys must be listed again.
var ErrRevisionTooOld = errors.New("the revision to watch from is too old")
