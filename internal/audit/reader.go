package audit

import (
	"encoding/binary"
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"
)

// maxContent is what a segment may take when it is expanded.
const maxContent = 256 << 20

// Stream is one controller's history as read.
type Stream struct {
	Name    string
	Header  Header
	Records []Record
	Dropped uint64
	Ended   bool // its last segment is there
}

// ReadError says what is wrong with a file, and where.
type ReadError struct {
	Name   string
	Offset int
	Reason string
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("%s: at byte %d: %s", e.Name, e.Offset, e.Reason)
}

// ReadFile reads a stream from a file.
func ReadFile(name string) (*Stream, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, &ReadError{Name: name, Reason: err.Error()}
	}
	return Read(name, b)
}

// Read reads a stream.
func Read(name string, b []byte) (*Stream, error) {
	if len(b) < len(magic) || string(b[:len(magic)]) != magic {
		return nil, &ReadError{Name: name, Reason: "not an audit stream"}
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxContent))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	defer dec.Close()
	r := &reader{stream: &Stream{Name: name}, bytes: b, at: len(magic), dec: dec, chain: blake3.Sum256([]byte(magic))}
	for r.at < len(b) {
		if err := r.segment(); err != nil {
			return nil, err
		}
	}
	if r.segments == 0 {
		return nil, r.fail("truncated before the first segment")
	}
	return r.stream, nil
}

// reader reads one segment after the other.
type reader struct {
	stream   *Stream
	bytes    []byte
	at       int
	segments int
	dec      *zstd.Decoder
	chain    [hashBytes]byte
}

func (r *reader) fail(reason string) error {
	return &ReadError{Name: r.stream.Name, Offset: r.at, Reason: reason}
}

func (r *reader) segment() error {
	rest := r.bytes[r.at:]
	if r.stream.Ended {
		return r.fail("more follows after the last segment")
	}
	if len(rest) < lengthBytes+hashBytes {
		return r.fail("truncated in a segment's head")
	}
	n := binary.BigEndian.Uint32(rest)
	if n > maxSegment {
		return r.fail("a segment is too long")
	}
	if len(rest) < lengthBytes+hashBytes+int(n) {
		return r.fail("truncated in a segment")
	}
	payload := rest[lengthBytes+hashBytes:][:n]
	if r.chain = chained(r.chain, payload); string(r.chain[:]) != string(rest[lengthBytes:][:hashBytes]) {
		return r.fail("a segment was changed, or one before it is missing")
	}
	content, err := r.dec.DecodeAll(payload, nil)
	if err != nil {
		return r.fail("a segment can't be expanded: " + err.Error())
	}
	var s segment
	if err := cbor.Unmarshal(content, &s); err != nil {
		return r.fail("a segment can't be read: " + err.Error())
	}
	if (s.Header != nil) != (r.segments == 0) {
		return r.fail("a segment is not in its place")
	}
	if s.Header != nil {
		r.stream.Header = *s.Header
	}
	r.stream.Records = append(r.stream.Records, s.Records...)
	r.stream.Dropped, r.stream.Ended = max(r.stream.Dropped, s.Dropped), s.Last
	r.segments++
	r.at += lengthBytes + hashBytes + int(n)
	return nil
}
