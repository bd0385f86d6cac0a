// Package protocol defines the messages that a controller exchanges with users, machines, the
// cloud and the state service, and validates those it receives. These messages are CBOR: the
// struct tags hold the field names of the documented protocol, while the Go names use the usual
// terms of cluster scheduling. Controllers exchange protobuf messages among themselves (package
// meshpb).
//
// A message that passed Validate is guaranteed to be complete and within its bounds, and a body
// from outside cannot use more memory than the codec's limits allow. The package performs no
// I/O, keeps no state, and checks nothing but the form of a message.
package protocol
