package protocol

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// ptr returns a pointer to a value, for optional fields of messages.
func ptr[T any](value T) *T { return &value }

func validSubmission() *Submission {
	return &Submission{
		ID: ptr("wk-000412"), Class: ptr("train"), Team: ptr("vision"), Kind: ptr("batch"), Priority: ptr("urgent"),
		Tasks: ptr(uint64(16)), CPUs: ptr(8.0), GPUs: ptr(1.0), MemoryGB: ptr(64.0), Image: ptr("img-07"), ImageGB: ptr(6.2),
		Types: []string{"g8"}, SingleZone: ptr(true), SpreadZones: ptr(false), Spot: ptr(true),
		EstimateS: ptr(240.0), CheckpointIntervalS: ptr(30.0), CheckpointDurationS: ptr(4.0), DeadlineS: ptr(900.0),
	}
}

// A malformed submission is rejected with the path of the field, and with the error text that
// users rely on, which must not change.
func TestSubmissionErrorsNameTheField(t *testing.T) {
	if _, err := validSubmission().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*Submission)
		path   string
		text   string
	}{
		"no id":             {func(s *Submission) { s.ID = nil }, "nameId", "nameId is missing or not of the form wk-000412"},
		"another id":        {func(s *Submission) { s.ID = ptr("wk-12x") }, "nameId", "nameId is missing or not of the form wk-000412"},
		"unknown kind":      {func(s *Submission) { s.Kind = ptr("gang") }, "form", "form is missing or unknown"},
		"no priority":       {func(s *Submission) { s.Priority = nil }, "urgency", "urgency is missing"},
		"unknown priority":  {func(s *Submission) { s.Priority = ptr("now") }, "urgency", "urgency is unknown"},
		"no tasks":          {func(s *Submission) { s.Tasks = ptr(uint64(0)) }, "pages", "pages is missing or out of range"},
		"too many tasks":    {func(s *Submission) { s.Tasks = ptr(uint64(MaxTasks + 1)) }, "pages", "pages is missing or out of range"},
		"no single zone":    {func(s *Submission) { s.SingleZone = nil }, "together", "together, apart or loaners is missing"},
		"no spread":         {func(s *Submission) { s.SpreadZones = nil }, "apart", "together, apart or loaners is missing"},
		"no spot":           {func(s *Submission) { s.Spot = nil }, "loaners", "together, apart or loaners is missing"},
		"empty zone":        {func(s *Submission) { s.Zone = ptr("") }, "hall", "hall has a bad length"},
		"too many types":    {func(s *Submission) { s.Types = make([]string, 101) }, "breeds", "breeds is too long"},
		"nameless type":     {func(s *Submission) { s.Types = []string{""} }, "breeds", "breeds holds a bad name"},
		"deadline":          {func(s *Submission) { s.DeadlineS = ptr(-1.0) }, "pressByS", "pressByS is out of range"},
		"no team":           {func(s *Submission) { s.Team = nil }, "crew", "crew is missing"},
		"long image":        {func(s *Submission) { s.Image = ptr(strings.Repeat("i", 121)) }, "plate", "plate has a bad length"},
		"CPUs not a number": {func(s *Submission) { s.CPUs = ptr(math.NaN()) }, "vcpus", "vcpus is out of range"},
		"two fields": {func(s *Submission) { s.GPUs, s.MemoryGB = nil, ptr(2e12) }, "cards",
			"cards is missing\nramGb is out of range"},
		"service with an estimate": {func(s *Submission) { s.Kind = ptr("service") }, "expectedS", "expectedS of a service is not 0"},
	} {
		t.Run(name, func(t *testing.T) {
			s := validSubmission()
			c.change(s)
			job, err := s.Validate()
			wantFieldError(t, err, c.path, c.text)
			if job != nil {
				t.Errorf("got a job in addition to the error: %+v", job)
			}
		})
	}
}

func validHeartbeat() *WireHeartbeat {
	return &WireHeartbeat{
		Machine: ptr("vm-000231"), Type: ptr("g8"), Zone: ptr("a"),
		Epoch: ptr(uint64(1)), Seq: ptr(uint64(88)), FencingToken: ptr(uint64(41)),
		Tasks: []WireTaskStatus{
			{Task: "wk-000412/3", Replica: 7, State: "running"},
			{Task: "wk-000412/4", Replica: 7, State: "ended", ExitReason: "done"},
		},
	}
}

// A malformed heartbeat is rejected with the path of the field.
func TestHeartbeatErrorsNameTheField(t *testing.T) {
	if _, err := validHeartbeat().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*WireHeartbeat)
		path   string
		text   string
	}{
		"no machine":       {func(w *WireHeartbeat) { w.Machine = nil }, "roost", "roost is missing"},
		"nameless type":    {func(w *WireHeartbeat) { w.Type = ptr("") }, "breed", "breed has a bad length"},
		"no epoch":         {func(w *WireHeartbeat) { w.Epoch = nil }, "perch", "perch, tick or baton is missing"},
		"no seq":           {func(w *WireHeartbeat) { w.Seq = nil }, "tick", "perch, tick or baton is missing"},
		"no fencing token": {func(w *WireHeartbeat) { w.FencingToken = nil }, "baton", "perch, tick or baton is missing"},
		"termination":      {func(w *WireHeartbeat) { w.TerminationInS = ptr(math.Inf(1)) }, "recallInS", "recallInS is out of range"},
		"task name":        {func(w *WireHeartbeat) { w.Tasks[1].Task = "wk-000412" }, "pages[1].page", `pages holds a bad task "wk-000412"`},
		"task number":      {func(w *WireHeartbeat) { w.Tasks[0].Task = "wk-000412/100000" }, "pages[0].page", `pages holds a bad task "wk-000412/100000"`},
		"task state":       {func(w *WireHeartbeat) { w.Tasks[0].State = "idle" }, "pages[0].status", `pages holds a bad task "wk-000412/3"`},
		"exit reason":      {func(w *WireHeartbeat) { w.Tasks[1].ExitReason = "bored" }, "pages[1].cause", "an ended page has no known cause"},
	} {
		t.Run(name, func(t *testing.T) {
			w := validHeartbeat()
			c.change(w)
			heartbeat, err := w.Validate()
			wantFieldError(t, err, c.path, c.text)
			if heartbeat != nil {
				t.Errorf("got a heartbeat in addition to the error: %+v", heartbeat)
			}
		})
	}
}

func wantFieldError(t *testing.T, err error, path, text string) {
	t.Helper()
	var field *FieldError
	if !errors.As(err, &field) || field.Path != path || err.Error() != text {
		t.Errorf("got %q (field %+v), want %q of %s", err, field, text, path)
	}
}

// Each state, exit reason and priority is encoded as the word from which it is parsed.
func TestEnumsParseTheirWireWords(t *testing.T) {
	for state := TaskFetching; state <= TaskExited; state++ {
		if got, ok := parseTaskState(state.String()); !ok || got != state {
			t.Errorf("state %d: %q is parsed as %d, %v", uint8(state), state, uint8(got), ok)
		}
	}
	for reason := ExitReasonDone; reason <= ExitReasonNoSuchTask; reason++ {
		if got, ok := parseExitReason(reason.String()); !ok || got != reason {
			t.Errorf("reason %d: %q is parsed as %d, %v", uint8(reason), reason, uint8(got), ok)
		}
	}
	for priority := PriorityBestEffort; priority <= PriorityProduction; priority++ {
		if got, ok := parsePriority(priority.String()); !ok || got != priority {
			t.Errorf("priority %d: %q is parsed as %d, %v", uint8(priority), priority, uint8(got), ok)
		}
	}
	for _, text := range []string{TaskState(9).String(), ExitReason(9).String(), Priority(9).String()} {
		if !strings.HasSuffix(text, "(9)") {
			t.Errorf("a value unknown to this version is formatted as %q", text)
		}
	}
}

// A message that is not a map yields ErrNotMap; any other malformed message yields the decoder's
// error.
func TestDecodeRejectsNonMaps(t *testing.T) {
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	var body ErrorBody
	for _, raw := range [][]byte{nil, {0x80}, {0x01}, codec.Encode("text")} {
		if err := codec.Decode(raw, &body); !errors.Is(err, ErrNotMap) {
			t.Errorf("% x: got %v, want %v", raw, err, ErrNotMap)
		}
	}
	if err := codec.Decode([]byte{0xa1, 0x65}, &body); err == nil || errors.Is(err, ErrNotMap) {
		t.Errorf("truncated map: got %v", err)
	}
}
