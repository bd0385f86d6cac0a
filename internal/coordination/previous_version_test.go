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

// In these tests a member of production's version is a controller of this version with some
// differences: its key names no record format, it ignores settings.state.next, and it sends
// and reads frames by the schema in testdata/production. In all else it behaves as this
// version does. The two real programs run together in the upgrade runs, see docs/results.md.

// meshSchema is the mesh protocol of the previous version, read once.
type meshSchema struct {
	once  sync.Once
	frame protoreflect.MessageDescriptor
	err   error
}

var previousSchema meshSchema

// descriptor returns the schema's description of a frame.
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
		t.Fatalf("can't read the schema of the previous version: %v", s.err)
	}
	return s.frame
}

// filter returns a frame without the fields that the schema does not have, as the previous
// version sends or reads it.
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
