// Package protocol holds the messages that cobaltvale exchanges with users,
// workers, the cloud and the state service, and the checks on them. Outside
// interfaces speak CBOR; the controllers speak protobuf (package meshpb).
package protocol
