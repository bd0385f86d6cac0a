package audit

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// goldenRecords returns the records of testdata/golden/history.audit: one of each kind and one
// of an unknown kind, with all fields set.
func goldenRecords() []Record {
	var records []Record
	for i := range 9 {
		n := uint64(i + 1)
		records = append(records, Record{
			TimeMs: 1_700_000_000_000 + int64(n), Kind: Kind(n), Shard: "ctl-1", FencingToken: 100 + n, Team: "north", Revision: 200 + n,
			Job: "wk-000412", Task: uint32(300 + n), Replica: 400 + n,
			Amount: quota.Amount{CPUs: 1, GPUs: 2}, SpentBefore: quota.Amount{CPUs: 3, GPUs: 4}, SpentAfter: quota.Amount{CPUs: 5, GPUs: 6},
			Allocation: quota.Amount{CPUs: 7, GPUs: 8}, Limit: quota.Amount{CPUs: 9, GPUs: 10}, Guarantee: quota.Amount{CPUs: 11, GPUs: 12},
		})
	}
	return records
}

// testdata/golden/history.audit was written by commit 78abcea. It must be read completely, and
// the same records must give the same bytes.
func TestFileFormatStaysAsItIs(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "golden", "history.audit"))
	if err != nil {
		t.Fatal(err)
	}
	header := Header{Member: "ctl-0", Process: "1x", StartedMs: 1_700_000_000_000}
	s, err := Read("history.audit", golden)
	if err != nil {
		t.Fatal(err)
	}
	if s.Header != header || !s.HasLastSegment || s.Dropped != 0 || len(s.Records) != len(goldenRecords()) {
		t.Fatalf("got %d records, header %+v, last segment %v, dropped %d; want 9 records with the header of ctl-0, a last segment, none dropped",
			len(s.Records), s.Header, s.HasLastSegment, s.Dropped)
	}
	sink := &memorySink{}
	w, err := newWriter(sink, header, nil)
	if err != nil {
		t.Fatal(err)
	}
	records := goldenRecords()
	for i := range records {
		records[i].Seq = uint64(i + 1)
		if s.Records[i] != records[i] {
			t.Errorf("record %d is %+v, want %+v", i, s.Records[i], records[i])
		}
	}
	if err := w.writeSegment(&segment{Records: records, Last: true}); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(sink.Bytes(), golden) {
		t.Errorf("the same records give %d bytes that differ from the %d of the file", sink.Len(), len(golden))
	}
}
