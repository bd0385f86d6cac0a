// Package meshpb contains the messages that controllers exchange, generated from mesh.proto by
// protoc-gen-go. Field numbers and types must not change, since controllers of two versions
// exchange these messages during an upgrade.
//
// After a change to mesh.proto, run in internal/protocol:
//
//	protoc --go_out=paths=source_relative:. meshpb/mesh.proto
package meshpb
