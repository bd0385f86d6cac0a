package coordination

import (
	"encoding/json"
	"os"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
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
	found protoreflect.MessageDescriptor
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
			s.found, _ = d.(protoreflect.MessageDescriptor)
		}
	})
	if s.err != nil || s.found == nil {
		t.Fatalf("the schema of the version before: %v", s.err)
	}
	return s.found
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

// StateLimits are what the stand-in of the state service takes.
type StateLimits struct {
	ValueBytes, Operations int
	WriteRPS               float64
	WriteBudget            float64 // changes that the rate allows now
	BudgetAt               time.Duration
	rateLimited            int // requests, for the rate
}

// checkLimits is the status of a transaction that goes beyond the limits, or 0.
// Only the version before may write what is too large.
func (s *State) checkLimits(from string, t *protocol.Transaction) int {
	l := s.Limits
	if l == nil {
		return 0
	}
	l.WriteBudget = min(l.WriteRPS, l.WriteBudget+l.WriteRPS*(s.deployment.Now()-l.BudgetAt).Seconds())
	l.BudgetAt = s.deployment.Now()
	if l.WriteBudget < float64(len(t.Then)) {
		l.rateLimited++
		return 429
	}
	l.WriteBudget -= float64(len(t.Then))
	large := len(t.Then) > l.Operations
	for _, c := range t.Then {
		large = large || (c.Put != "" && s.jsonSize(c) > l.ValueBytes)
	}
	if !large {
		return 0
	}
	if !s.deployment.PreviousVersion[from] {
		s.deployment.T.Errorf("%s writes %d changes, some value of which is too large or they are too many", from, len(t.Then))
	}
	return 400
}

// jsonSize is what the value of a change counts as.
func (s *State) jsonSize(c protocol.Change) int {
	var v map[string]any // a codec takes maps only
	if err := s.deployment.Codec.Decode(s.deployment.Codec.Encode(map[string]any{"v": c.Value}), &v); err != nil {
		s.deployment.T.Fatal(err)
	}
	b, err := json.Marshal(textKeys(v["v"]))
	if err != nil {
		s.deployment.T.Fatal(err)
	}
	return len(b)
}

// textKeys makes a decoded value fit for JSON.
func textKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := make(map[string]any, len(v))
		for k, x := range v {
			name, _ := k.(string)
			out[name] = textKeys(x)
		}
		return out
	case []any:
		for i := range v {
			v[i] = textKeys(v[i])
		}
	}
	return v
}
