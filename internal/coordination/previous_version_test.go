package coordination

import (
	"os"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// A member that runs production's version is played by this one with what it knows
// less: its key names no version of records, it ignores settings.state.next, and it
// sends and reads frames by the schema in testdata/production. What else it does is
// what this version does; the two programs themselves meet on the days of upgrades,
// see docs/results.md.

// meshSchema is the mesh protocol of the version before.
type meshSchema struct {
	once  sync.Once
	frame protoreflect.MessageDescriptor
	err   error
}

var previousSchema meshSchema

// descriptor is what a frame is in it.
func (s *meshSchema) descriptor(t testing.TB) protoreflect.MessageDescriptor {
	t.Helper()
	s.once.Do(func() {
		var b []byte
		if b, s.err = os.ReadFile("testdata/production/mesh.binpb"); s.err != nil {
			return
		}
		var set descriptorpb.FileDescriptorSet
		if s.err = proto.Unmarshal(b, &set); s.err != nil {
			return
		}
		files, err := protodesc.NewFiles(&set)
		if s.err = err; err != nil {
			return
		}
		d, err := files.FindDescriptorByName("cobaltvale.mesh.Frame")
		if s.err = err; err == nil {
			s.frame, _ = d.(protoreflect.MessageDescriptor)
		}
	})
	if s.err != nil || s.frame == nil {
		t.Fatalf("the schema of the version before: %v", s.err)
	}
	return s.frame
}

// filter is what is left of a frame where that version sends or reads it.
func (s *meshSchema) filter(t testing.TB, f *meshpb.Frame) *meshpb.Frame {
	t.Helper()
	raw, err := proto.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	old := dynamicpb.NewMessage(s.descriptor(t))
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, old); err != nil {
		t.Fatal(err)
	}
	if raw, err = proto.Marshal(old); err != nil {
		t.Fatal(err)
	}
	out := &meshpb.Frame{}
	if err := proto.Unmarshal(raw, out); err != nil {
		t.Fatal(err)
	}
	return out
}
