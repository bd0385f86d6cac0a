package audit

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"testing"
)

// A caller can tell why a stream can't be read, and where.
func TestReadErrorsNameTheCause(t *testing.T) {
	good := writeStream(t, admittedRecord("wk-1", 0, 2), admittedRecord("wk-1", 1, 4))
	first := len(fileMagic)
	second := first + segmentLength(good, first)
	changed := bytes.Clone(good)
	changed[len(changed)-1]++
	tooLong := bytes.Clone(good)
	tooLong[second] = 0xff
	for name, c := range map[string]struct {
		data   []byte
		offset int
		want   error
	}{
		"something else":        {[]byte("hello, world"), 0, ErrNotStream},
		"no segment":            {good[:first], first, ErrTruncated},
		"half a head":           {good[:second+3], second, ErrTruncated},
		"half a segment":        {good[:len(good)-1], second, ErrTruncated},
		"a changed segment":     {changed, second, ErrChainBroken},
		"a segment left out":    {append([]byte(fileMagic), good[second:]...), first, ErrChainBroken},
		"a length out of range": {tooLong, second, ErrSegmentTooLong},
		"more after the end":    {append(bytes.Clone(good), good[first:]...), len(good), ErrTrailingData},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read("x.audit", c.data)
			var read *ReadError
			if !errors.As(err, &read) || !errors.Is(err, c.want) || read.Name != "x.audit" || read.Offset != c.offset {
				t.Errorf("got %v, want %v at byte %d", err, c.want, c.offset)
			}
		})
	}
	missing := filepath.Join(t.TempDir(), "none.audit")
	if _, err := ReadFile(missing); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: got %v", err)
	}
}

// A segment whose hash is right but that has no header in the first place, or one in a
// later place, is not where it was written.
func TestMisplacedSegmentsAreRejected(t *testing.T) {
	sink := &memorySink{}
	w, err := newWriter(sink, Header{Member: "a"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.writeSegment(&segment{Header: &Header{Member: "b"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := Read("x.audit", sink.Bytes()); !errors.Is(err, ErrMisplaced) {
		t.Errorf("got %v, want %v", err, ErrMisplaced)
	}
}

func TestKindsHaveNames(t *testing.T) {
	seen := make(map[string]bool)
	for kind := Admitted; kind <= Unblocked; kind++ {
		if name := kind.String(); name == "" || seen[name] {
			t.Errorf("kind %d is called %q", uint8(kind), name)
		}
		seen[kind.String()] = true
	}
	for _, kind := range []Kind{0, Unblocked + 1} {
		if name := kind.String(); seen[name] {
			t.Errorf("kind %d of another version is called %q", uint8(kind), name)
		}
	}
}
