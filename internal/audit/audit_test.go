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

// memory is a sink in memory. While it is held nothing is written.
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

func admittedRecord(job string, task uint32, after int64) Record {
	size := quota.AmountOf(2, 0)
	return Record{Kind: Admitted, Shard: "a", FencingToken: 3, Team: "red", Revision: 5, Job: job, Task: task, Replica: 1, Amount: size, TimeMs: 1000 + int64(task),
		SpentBefore: quota.AmountOf(float64(after)-2, 0), SpentAfter: quota.AmountOf(float64(after), 0), Allocation: quota.AmountOf(8, 0), Limit: quota.LimitOf(8, 0), Guarantee: quota.AmountOf(4, 0)}
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
		t.Fatalf("%d records, ended %v, dropped %d, header %+v", len(s.Records), s.HasLastSegment, s.Dropped, s.Header)
	}
	for i := range s.Records {
		records[i].Seq = uint64(i + 1)
		if s.Records[i] != records[i] {
			t.Fatalf("record %d is %+v, want %+v", i, s.Records[i], records[i])
		}
	}
}

// Whatever is changed, cut off, left out or added shows, with file and offset.
func TestDamagedStreamsAreRejected(t *testing.T) {
	good := writeStream(t, admittedRecord("wk-1", 0, 2), admittedRecord("wk-1", 1, 4))
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 0x10
		if _, err := Read("x.audit", bad); err == nil {
			t.Fatalf("byte %d was changed and nothing shows it", i)
		}
	}
	for _, c := range []struct {
		what string
		b    []byte
		says string
	}{
		{"empty", nil, "not an audit stream"},
		{"foreign", []byte("hello, world, this is something else"), "not an audit stream"},
		{"only the beginning", good[:len(fileMagic)], "truncated"},
		{"cut off in a segment", good[:len(good)-1], "truncated"},
		{"more after the end", append(bytes.Clone(good), good[len(fileMagic):]...), "more follows"},
		{"a segment left out", append([]byte(fileMagic), good[len(fileMagic)+segmentLength(good, len(fileMagic)):]...), "missing"},
	} {
		t.Run(c.what, func(t *testing.T) {
			_, err := Read("x.audit", c.b)
			var e *ReadError
			if !errors.As(err, &e) || e.Name != "x.audit" || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, c.says)
			}
		})
	}
}

// segmentLength is the length of the segment that begins at a byte.
func segmentLength(b []byte, at int) int {
	return lengthBytes + hashBytes + (int(b[at])<<24 | int(b[at+1])<<16 | int(b[at+2])<<8 | int(b[at+3]))
}

// A sink that is slower than the records come makes nobody wait, and what was
// dropped shows.
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
		t.Fatal("nothing was dropped")
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

// requireFinding looks for a text in a report's findings, or for none of a kind.
func requireFinding(t *testing.T, r *Report, text string, kind FindingKind) {
	t.Helper()
	for _, f := range r.Findings {
		if text != "" && strings.Contains(f.Text, text) && (kind == "" || f.Kind == kind) {
			return
		}
	}
	if text != "" || len(r.Findings) > 0 {
		t.Errorf("findings %+v, want %s %q", r.Findings, kind, text)
	}
}

func TestVerifyFindsViolations(t *testing.T) {
	release := func(r Record) Record {
		r.Kind, r.SpentBefore, r.SpentAfter = Released, r.SpentAfter, r.SpentBefore
		return r
	}
	at := func(r Record, revision uint64, ms int64) Record {
		r.Revision, r.TimeMs = revision, ms
		return r
	}
	of := func(r Record, shard string, fencingToken uint64) Record {
		r.Shard, r.FencingToken = shard, fencingToken
		return r
	}
	a0, a1 := admittedRecord("wk-1", 0, 2), admittedRecord("wk-1", 1, 4)
	full := []Record{a0, a1, admittedRecord("wk-1", 2, 6), admittedRecord("wk-1", 3, 8)}
	blocked := Record{Kind: Blocked, Shard: "b", FencingToken: 4, Team: "red", Revision: 5, TimeMs: 1100, Amount: quota.AmountOf(2, 0), Limit: quota.LimitOf(8, 0), Guarantee: quota.AmountOf(4, 0)}
	later := func(ms int64) Record { return at(release(a0), 5, ms) }
	counted := Record{Kind: JobRecovered, Shard: "a", FencingToken: 9, Team: "red", Revision: 9, TimeMs: 2000, Job: "wk-1", Limit: quota.LimitOf(8, 0)}
	found := at(of(a0, "a", 9), 9, 2100)
	found.Kind, found.SpentBefore, found.SpentAfter = ReplicaFound, quota.Amount{}, quota.Amount{}
	completed := Record{Kind: ShardReconciled, Shard: "a", FencingToken: 9, Team: "red", Revision: 9, TimeMs: 2200, Limit: quota.LimitOf(8, 0)}
	for _, c := range []struct {
		what    string
		streams [][]Record
		text    string
		kind    FindingKind
	}{
		{"all is well", [][]Record{full}, "", ""},
		{"over the limit", [][]Record{full, {of(admittedRecord("wk-2", 0, 2), "b", 4)}}, "is used in all", Overshoot},
		{"beyond the allocation", [][]Record{{a0, admittedRecord("wk-1", 1, 9)}}, "of an allocation", Overshoot},
		{"admitted twice", [][]Record{{a0}, {of(a0, "b", 4)}}, "is admitted at b while", Overshoot},
		{"passed on by a new revision, though clocks differ", [][]Record{append(full[:4:4], at(release(full[3]), 5, 9000)), {at(of(admittedRecord("wk-2", 0, 2), "b", 4), 6, 500)}}, "", ""},
		{"released, which nobody admitted", [][]Record{{release(a0)}}, "which nobody admitted", Gap},
		{"found, which nobody admitted", [][]Record{{counted, found}}, "which nobody admitted", Gap},
		{"taken over", [][]Record{full[:1], {counted, found, completed}}, "", ""},
		{"spent does not go on where it ended", [][]Record{{a0, admittedRecord("wk-1", 1, 6)}}, "begins with", Gap},
		{"kept from the guarantee", [][]Record{{a0, later(4000)}, {blocked}}, "of its guarantee", GuaranteeUnmet},
		{"blocked for a moment", [][]Record{{a0, later(1500)}, {blocked}}, "", ""},
		{"blocked beyond the guarantee", [][]Record{append(full[:3:3], at(release(full[2]), 5, 9000)), {blocked}}, "", ""},
	} {
		t.Run(c.what, func(t *testing.T) {
			var streams []*Stream
			for _, records := range c.streams {
				streams = append(streams, newStream(t, records...))
			}
			requireFinding(t, Verify(streams, 2*time.Second), c.text, c.kind)
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
		t.Errorf("highest use and admissions: %s", got)
	}
}
