// Package protocol owns the messages that a controller exchanges with users, workers,
// the cloud and the state service, and the checks on those that come in. Outside
// interfaces speak CBOR, with the field names of the protocol's documentation in the
// struct tags; the Go names are the field's terms. Controllers among themselves speak
// protobuf (package meshpb).
//
// It promises that a message which passed Validate is complete and within its bounds,
// and that a body from outside can't make the process grow beyond the codec's limits.
// It never does I/O, keeps no state, and decides nothing beyond the form of a message.
package protocol
