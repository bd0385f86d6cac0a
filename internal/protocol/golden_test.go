package protocol

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for an intended change of the wire format")

// Each frame between controllers, with all of its fields set, must be encoded in the bytes
// of testdata/golden/mesh.json: fields may be renamed, but must keep their numbers and types.
func TestMeshEncodingMatchesGolden(t *testing.T) {
	got := make(map[string]string)
	body := (&meshpb.Frame{}).ProtoReflect().Descriptor().Oneofs().Get(0).Fields()
	for i := range body.Len() {
		field := body.Get(i)
		frame := (&meshpb.Frame{}).ProtoReflect()
		fillMessage(frame.Mutable(field).Message())
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(frame.Interface())
		if err != nil {
			t.Fatal(err)
		}
		got[fmt.Sprintf("frame %d", field.Number())] = hex.EncodeToString(raw)
	}
	compareGolden(t, "mesh.json", got)
}

// fillMessage sets each field to a value derived from the field's number.
func fillMessage(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsList() && field.Kind() == protoreflect.MessageKind:
			fillMessage(m.Mutable(field).List().AppendMutable().Message())
		case field.IsList():
			m.Mutable(field).List().Append(scalar(field))
		case field.Kind() == protoreflect.MessageKind:
			fillMessage(m.Mutable(field).Message())
		default:
			m.Set(field, scalar(field))
		}
	}
}

func scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	n := 1000 + uint64(field.Number())
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(n)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) + 0.5)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint(n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(fmt.Sprint(n)))
	}
	panic(fmt.Sprintf("unsupported field kind %s", field.Kind()))
}

// Every message to and from users, machines, the cloud and the state service must be encoded
// in the bytes of testdata/golden/cbor.json.
func TestCBOREncodingMatchesGolden(t *testing.T) {
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	messages := map[string]any{
		"submission": &Submission{}, "job": &Job{}, "job status": &JobStatus{}, "refusal": &ErrorBody{}, "redirect": &Redirect{},
		"task in a worker's message": &WireTaskStatus{}, "worker's message": &WireHeartbeat{}, "command": &Command{}, "answer to a worker": &HeartbeatResponse{},
		"machine type": &MachineType{}, "catalogue": &Catalog{}, "machines asked for": &ScaleOutRequest{}, "machine names": &MachineNames{},
		"listed machine": &ListedMachine{}, "machine list": &MachineList{}, "condition": &Condition{}, "change": &Change{},
		"transaction": &Transaction{}, "transaction's result": &TransactionResponse{}, "pair": &KeyValue{}, "pairs": &KeyValuePage{}, "event": &Event{},
		"events": &WatchResponse{}, "lease request": &LeaseRequest{}, "lease": &LeaseResponse{},
	}
	got := make(map[string]string, len(messages))
	for name, message := range messages {
		fillValue(reflect.ValueOf(message).Elem(), 1)
		got[name] = hex.EncodeToString(codec.Encode(message))
	}
	compareGolden(t, "cbor.json", got)
}

// fillValue sets v, and the values that it contains, to values derived from n and from their
// positions in v.
func fillValue(v reflect.Value, n int) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fillValue(v.Field(i), 10*n+i)
		}
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[cbor.RawMessage]() {
			v.SetBytes([]byte{0x63, 'r', 'a', 'w'})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillValue(v.Index(0), n)
		fillValue(v.Index(1), n+1)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(n % 200))
	case reflect.Float64:
		v.SetFloat(float64(n) + 0.25)
	default:
		panic("unsupported field kind " + v.Kind().String())
	}
}

func compareGolden(t *testing.T, name string, got map[string]string) {
	t.Helper()
	file := filepath.Join("testdata", "golden", name)
	if *update {
		b, err := json.MarshalIndent(got, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]string
	if err := json.Unmarshal(b, &want); err != nil {
		t.Fatal(err)
	}
	if len(want) == 0 {
		t.Fatalf("%s is empty", file)
	}
	for _, key := range slices.Sorted(maps.Keys(want)) {
		if got[key] != want[key] {
			t.Errorf("%s: got\n%s, want\n%s", key, got[key], want[key])
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d messages, want %d", len(got), len(want))
	}
}
