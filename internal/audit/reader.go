package audit

import (
	"encoding/binary"
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"
)

// maxExpandedSegment is what a segment may take when it is expanded.
const maxExpandedSegment = 256 << 20

// Stream is one controller's history as read.
type Stream struct {
	Name           string
	Header         Header
	Records        []Record
	Dropped        uint64
	HasLastSegment bool // its last segment is there
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
	if len(b) < len(fileMagic) || string(b[:len(fileMagic)]) != fileMagic {
		return nil, &ReadError{Name: name, Reason: "not an audit stream"}
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxExpandedSegment))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	defer dec.Close()
	r := &reader{stream: &Stream{Name: name}, data: b, offset: len(fileMagic), decoder: dec, chain: blake3.Sum256([]byte(fileMagic))}
	for r.offset < len(b) {
		if err := r.readSegment(); err != nil {
			return nil, err
		}
	}
	if r.segments == 0 {
		return nil, r.errorAt("truncated before the first segment")
	}
	return r.stream, nil
}

// reader reads one segment after the other.
type reader struct {
	stream   *Stream
	data     []byte
	offset   int
	segments int
	decoder  *zstd.Decoder
	chain    [hashBytes]byte
}

func (r *reader) errorAt(reason string) error {
	return &ReadError{Name: r.stream.Name, Offset: r.offset, Reason: reason}
}

func (r *reader) readSegment() error {
	rest := r.data[r.offset:]
	if r.stream.HasLastSegment {
		return r.errorAt("more follows after the last segment")
	}
	if len(rest) < lengthBytes+hashBytes {
		return r.errorAt("truncated in a segment's head")
	}
	n := binary.BigEndian.Uint32(rest)
	if n > maxSegmentBytes {
		return r.errorAt("a segment is too long")
	}
	if len(rest) < lengthBytes+hashBytes+int(n) {
		return r.errorAt("truncated in a segment")
	}
	payload := rest[lengthBytes+hashBytes:][:n]
	if r.chain = chainHash(r.chain, payload); string(r.chain[:]) != string(rest[lengthBytes:][:hashBytes]) {
		return r.errorAt("a segment was changed, or one before it is missing")
	}
	content, err := r.decoder.DecodeAll(payload, nil)
	if err != nil {
		return r.errorAt("a segment can't be expanded: " + err.Error())
	}
	var s segment
	if err := cbor.Unmarshal(content, &s); err != nil {
		return r.errorAt("a segment can't be read: " + err.Error())
	}
	if (s.Header != nil) != (r.segments == 0) {
		return r.errorAt("a segment is not in its place")
	}
	if s.Header != nil {
		r.stream.Header = *s.Header
	}
	r.stream.Records = append(r.stream.Records, s.Records...)
	r.stream.Dropped, r.stream.HasLastSegment = max(r.stream.Dropped, s.Dropped), s.Last
	r.segments++
	r.offset += lengthBytes + hashBytes + int(n)
	return nil
}
