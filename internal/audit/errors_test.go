package audit

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"testing"
)

// The error says why a stream can't be read, and where.
func TestReadErrorsNameTheCause(t *testing.T) {
	good := writeStream(t, admittedRecord("wk-1", 0, 2), admittedRecord("wk-1", 1, 4))
	first := len(fileMagic)
	second := first + segmentLength(good, first)
	changed := bytes.Clone(good)
	changed[len(changed)-1]++
	tooLong := bytes.Clone(good)
	tooLong[second] = 0xff
	for name, test := range map[string]struct {
		data   []byte
		offset int
		want   error
	}{
		"another format":              {[]byte("hello, world"), 0, ErrNotStream},
		"no segment":                  {good[:first], first, ErrTruncated},
		"truncated in the head":       {good[:second+3], second, ErrTruncated},
		"truncated in a segment":      {good[:len(good)-1], second, ErrTruncated},
		"a changed segment":           {changed, second, ErrChainBroken},
		"a missing segment":           {append([]byte(fileMagic), good[second:]...), first, ErrChainBroken},
		"a length out of range":       {tooLong, second, ErrSegmentTooLong},
		"data after the last segment": {append(bytes.Clone(good), good[first:]...), len(good), ErrTrailingData},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read("x.audit", test.data)
			var readError *ReadError
			if !errors.As(err, &readError) || !errors.Is(err, test.want) || readError.Name != "x.audit" || readError.Offset != test.offset {
				t.Errorf("got %v, want %v at byte %d", err, test.want, test.offset)
			}
		})
	}
	missing := filepath.Join(t.TempDir(), "none.audit")
	if _, err := ReadFile(missing); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: got %v, want an error that it does not exist", err)
	}
}

// A segment with a valid hash is rejected if it is the first and has no header, or is a later
// one and has a header.
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
			t.Errorf("kind %d has the name %q, want a unique one", uint8(kind), name)
		}
		seen[kind.String()] = true
	}
	for _, kind := range []Kind{0, Unblocked + 1} {
		if name := kind.String(); seen[name] {
			t.Errorf("unknown kind %d has the name %q of a known kind", uint8(kind), name)
		}
	}
}
