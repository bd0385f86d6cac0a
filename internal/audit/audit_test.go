package audit

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// memorySink is a sink in memory. If unblock is set, writes block until it is closed.
type memorySink struct {
	bytes.Buffer
	unblock    chan struct{}
	failWrites bool
}

func (m *memorySink) Write(b []byte) (int, error) {
	if m.unblock != nil {
		<-m.unblock
	}
	if m.failWrites {
		return 0, errors.New("no space")
	}
	return m.Buffer.Write(b)
}

func (*memorySink) Close() error { return nil }

func admittedRecord(job string, task uint32, cpusAfter int64) Record {
	size := quota.AmountOf(2, 0)
	return Record{Kind: Admitted, Shard: "a", FencingToken: 3, Team: "red", Revision: 5, Job: job, Task: task, Replica: 1, Amount: size, TimeMs: 1000 + int64(task),
		SpentBefore: quota.AmountOf(float64(cpusAfter)-2, 0), SpentAfter: quota.AmountOf(float64(cpusAfter), 0), Allocation: quota.AmountOf(8, 0), Limit: quota.LimitOf(8, 0), Guarantee: quota.AmountOf(4, 0)}
}

func writeStream(t *testing.T, records ...Record) []byte {
	t.Helper()
	sink := &memorySink{}
	w, err := NewWriter(sink, Header{Member: "a", Process: "1", StartedMs: 1000}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		w.Append(r)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return sink.Bytes()
}

func newStream(t *testing.T, records ...Record) *Stream {
	t.Helper()
	s, err := Read("a.audit", writeStream(t, records...))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestStreamIsReadAsWritten(t *testing.T) {
	var records []Record
	for i := range uint32(3 * recordsPerSegment) {
		records = append(records, admittedRecord("wk-1", i, 2))
	}
	s := newStream(t, records...)
	if len(s.Records) != len(records) || !s.HasLastSegment || s.Dropped != 0 || s.Header.Member != "a" {
		t.Fatalf("%d records, last segment %v, dropped %d, header %+v; want 3 full segments of records, a last segment, none dropped, member a",
			len(s.Records), s.HasLastSegment, s.Dropped, s.Header)
	}
	for i := range s.Records {
		records[i].Seq = uint64(i + 1)
		if s.Records[i] != records[i] {
			t.Fatalf("record %d is %+v, want %+v", i, s.Records[i], records[i])
		}
	}
}

// Any change, truncation, omission or addition is detected, with file and offset.
func TestDamagedStreamsAreRejected(t *testing.T) {
	good := writeStream(t, admittedRecord("wk-1", 0, 2), admittedRecord("wk-1", 1, 4))
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 0x10
		if _, err := Read("x.audit", bad); err == nil {
			t.Fatalf("a stream with a change of byte %d was read without an error", i)
		}
	}
	for _, test := range []struct {
		name string
		data []byte
		text string
	}{
		{"empty", nil, "not an audit stream"},
		{"another format", []byte("hello, world, this is something else"), "not an audit stream"},
		{"no segment", good[:len(fileMagic)], "truncated"},
		{"truncated in a segment", good[:len(good)-1], "truncated"},
		{"data after the last segment", append(bytes.Clone(good), good[len(fileMagic):]...), "more follows"},
		{"a missing segment", append([]byte(fileMagic), good[len(fileMagic)+segmentLength(good, len(fileMagic)):]...), "missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read("x.audit", test.data)
			var readError *ReadError
			if !errors.As(err, &readError) || readError.Name != "x.audit" || !strings.Contains(err.Error(), test.text) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, test.text)
			}
		})
	}
}

// segmentLength returns the length of the segment that starts at an offset.
func segmentLength(b []byte, offset int) int {
	return lengthBytes + hashBytes + (int(b[offset])<<24 | int(b[offset+1])<<16 | int(b[offset+2])<<8 | int(b[offset+3]))
}

// If the sink is slower than records arrive, Append does not wait, and the stream states how many
// records were dropped.
func TestSlowSinkDropsAreCounted(t *testing.T) {
	sink := &memorySink{}
	w, err := NewWriter(sink, Header{Member: "a"}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	sink.unblock = make(chan struct{})
	for i := range uint32(4 * maxQueuedRecords) {
		w.Append(admittedRecord("wk-1", i, 2))
	}
	if w.Dropped() == 0 {
		t.Fatal("no record was dropped although the sink was blocked")
	}
	close(sink.unblock)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	s, err := Read("a.audit", sink.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	requireFinding(t, Verify([]*Stream{s}, time.Second), "records were dropped", "")
}

func TestSinkFailureIsReportedOnce(t *testing.T) {
	sink := &memorySink{}
	failed := make(chan error, 1)
	w, err := NewWriter(sink, Header{Member: "a"}, func(err error) { failed <- err })
	if err != nil {
		t.Fatal(err)
	}
	sink.failWrites = true
	w.Append(admittedRecord("wk-1", 0, 2))
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !strings.Contains(err.Error(), "no space") {
		t.Fatal(err)
	}
}

// requireFinding checks that a report has a finding with a text (and of a kind, unless it is
// empty), or no finding if the text is empty.
func requireFinding(t *testing.T, r *Report, text string, kind FindingKind) {
	t.Helper()
	for _, f := range r.Findings {
		if text != "" && strings.Contains(f.Text, text) && (kind == "" || f.Kind == kind) {
			return
		}
	}
	if text != "" || len(r.Findings) > 0 {
		t.Errorf("got findings %+v, want one of kind %q with %q", r.Findings, kind, text)
	}
}

func TestVerifyFindsViolations(t *testing.T) {
	released := func(r Record) Record {
		r.Kind, r.SpentBefore, r.SpentAfter = Released, r.SpentAfter, r.SpentBefore
		return r
	}
	atTime := func(r Record, revision uint64, ms int64) Record {
		r.Revision, r.TimeMs = revision, ms
		return r
	}
	ofHolder := func(r Record, shard string, fencingToken uint64) Record {
		r.Shard, r.FencingToken = shard, fencingToken
		return r
	}
	first, second := admittedRecord("wk-1", 0, 2), admittedRecord("wk-1", 1, 4)
	full := []Record{first, second, admittedRecord("wk-1", 2, 6), admittedRecord("wk-1", 3, 8)}
	blocked := Record{Kind: Blocked, Shard: "b", FencingToken: 4, Team: "red", Revision: 5, TimeMs: 1100, Amount: quota.AmountOf(2, 0), Limit: quota.LimitOf(8, 0), Guarantee: quota.AmountOf(4, 0)}
	firstReleased := func(ms int64) Record { return atTime(released(first), 5, ms) }
	recovered := Record{Kind: JobRecovered, Shard: "a", FencingToken: 9, Team: "red", Revision: 9, TimeMs: 2000, Job: "wk-1", Limit: quota.LimitOf(8, 0)}
	found := atTime(ofHolder(first, "a", 9), 9, 2100)
	found.Kind, found.SpentBefore, found.SpentAfter = ReplicaFound, quota.Amount{}, quota.Amount{}
	reconciled := Record{Kind: ShardReconciled, Shard: "a", FencingToken: 9, Team: "red", Revision: 9, TimeMs: 2200, Limit: quota.LimitOf(8, 0)}
	for _, test := range []struct {
		name    string
		streams [][]Record
		text    string
		kind    FindingKind
	}{
		{"within the limit", [][]Record{full}, "", ""},
		{"over the limit", [][]Record{full, {ofHolder(admittedRecord("wk-2", 0, 2), "b", 4)}}, "is used in all", Overshoot},
		{"beyond the allocation", [][]Record{{first, admittedRecord("wk-1", 1, 9)}}, "of an allocation", Overshoot},
		{"admitted twice", [][]Record{{first}, {ofHolder(first, "b", 4)}}, "is admitted at b while", Overshoot},
		{"transferred by a new revision, although clocks differ", [][]Record{append(full[:4:4], atTime(released(full[3]), 5, 9000)), {atTime(ofHolder(admittedRecord("wk-2", 0, 2), "b", 4), 6, 500)}}, "", ""},
		{"released without an admission", [][]Record{{released(first)}}, "which nobody admitted", Gap},
		{"found without an admission", [][]Record{{recovered, found}}, "which nobody admitted", Gap},
		{"taken over", [][]Record{full[:1], {recovered, found, reconciled}}, "", ""},
		{"amount spent differs from the one before", [][]Record{{first, admittedRecord("wk-1", 1, 6)}}, "begins with", Gap},
		{"blocked within the guarantee for too long", [][]Record{{first, firstReleased(4000)}, {blocked}}, "of its guarantee", GuaranteeUnmet},
		{"blocked within the guarantee for a short time", [][]Record{{first, firstReleased(1500)}, {blocked}}, "", ""},
		{"blocked beyond the guarantee", [][]Record{append(full[:3:3], atTime(released(full[2]), 5, 9000)), {blocked}}, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var streams []*Stream
			for _, records := range test.streams {
				streams = append(streams, newStream(t, records...))
			}
			requireFinding(t, Verify(streams, 2*time.Second), test.text, test.kind)
		})
	}
	s := newStream(t, full...)
	s.Records = append(s.Records[:1:1], s.Records[2:]...)
	requireFinding(t, Verify([]*Stream{s}, time.Second), "record 3 follows where 2 is due", Gap)
	s = newStream(t, full...)
	s.HasLastSegment = false
	r := Verify([]*Stream{s}, time.Second)
	requireFinding(t, r, "no last segment", Gap)
	if got := fmt.Sprint(r.Teams[0].Peak, r.Teams[0].Admissions); got != "{8000 0} 4" {
		t.Errorf("highest use and admissions are %s, want {8000 0} 4", got)
	}
}
