package audit

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"
)

// Causes of a ReadError, which adds the place.
var (
	// ErrNotStream means that the file is not an audit stream.
	ErrNotStream = errors.New("not an audit stream")
	// ErrTruncated means that the stream ends within a segment or before the first one, as after
	// a crash.
	ErrTruncated = errors.New("truncated")
	// ErrChainBroken means that a segment was changed or left out.
	ErrChainBroken = errors.New("a segment was changed, or one before it is missing")
	// ErrMisplaced means that a segment is not where it was written: the header is not in the
	// first segment, or in a later one.
	ErrMisplaced = errors.New("a segment is not in its place")
	// ErrTrailingData means that data follows the last segment.
	ErrTrailingData = errors.New("more follows after the last segment")
	// ErrSegmentTooLong means that a segment is longer than any that a Writer writes.
	ErrSegmentTooLong = errors.New("a segment is too long")
)

// Stream is the history that one controller has written.
type Stream struct {
	Name    string // of the file
	Header  Header
	Records []Record
	Dropped uint64 // records for which the writer had no room
	// HasLastSegment is true if the writer was closed; it is false after a crash or kill of the
	// process.
	HasLastSegment bool
}

// ReadError is the error of reading a stream, with the place.
type ReadError struct {
	Name   string // of the file
	Offset int    // of the segment in the file, in bytes
	Err    error
}

// Error implements error. The text is one line.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s: at byte %d: %v", e.Name, e.Offset, e.Err)
}

// Unwrap returns the cause: an error of this package, the file system, the decompressor or the
// decoder.
func (e *ReadError) Unwrap() error { return e.Err }

// ReadFile reads a stream from a file. If it can't be read, the error is a ReadError.
func ReadFile(name string) (*Stream, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &ReadError{Name: name, Err: err}
	}
	return Read(name, data)
}

// Read reads a stream; name is its name in errors. If the stream can't be read, the error is a
// ReadError.
func Read(name string, data []byte) (*Stream, error) {
	if len(data) < len(fileMagic) || string(data[:len(fileMagic)]) != fileMagic {
		return nil, &ReadError{Name: name, Err: ErrNotStream}
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxExpandedSegmentBytes))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	defer decoder.Close()
	r := &reader{stream: &Stream{Name: name}, data: data, offset: len(fileMagic), decoder: decoder, lastHash: blake3.Sum256([]byte(fileMagic))}
	for r.offset < len(data) {
		if err := r.readSegment(); err != nil {
			return nil, &ReadError{Name: name, Offset: r.offset, Err: err}
		}
	}
	if r.segments == 0 {
		return nil, &ReadError{Name: name, Offset: r.offset, Err: fmt.Errorf("%w before the first segment", ErrTruncated)}
	}
	return r.stream, nil
}

// reader reads the segments of a stream one after the other.
type reader struct {
	stream   *Stream
	data     []byte
	offset   int // of the next segment
	segments int // number of segments read so far
	decoder  *zstd.Decoder
	lastHash [hashBytes]byte // of the last segment read
}

// readSegment adds the next segment to the stream.
func (r *reader) readSegment() error {
	if r.stream.HasLastSegment {
		return ErrTrailingData
	}
	payload, err := r.nextPayload()
	if err != nil {
		return err
	}
	content, err := r.decoder.DecodeAll(payload, nil)
	if err != nil {
		return fmt.Errorf("a segment can't be expanded: %w", err)
	}
	var s segment
	if err := cbor.Unmarshal(content, &s); err != nil {
		return fmt.Errorf("a segment can't be read: %w", err)
	}
	if (s.Header != nil) != (r.segments == 0) {
		return ErrMisplaced
	}
	if s.Header != nil {
		r.stream.Header = *s.Header
	}
	r.stream.Records = append(r.stream.Records, s.Records...)
	r.stream.Dropped, r.stream.HasLastSegment = max(r.stream.Dropped, s.Dropped), s.Last
	r.segments++
	r.offset += lengthBytes + hashBytes + len(payload)
	return nil
}

// nextPayload checks the hash of the next segment and returns its compressed content.
func (r *reader) nextPayload() ([]byte, error) {
	rest := r.data[r.offset:]
	if len(rest) < lengthBytes+hashBytes {
		return nil, fmt.Errorf("%w in a segment's head", ErrTruncated)
	}
	length := binary.BigEndian.Uint32(rest)
	if length > maxSegmentBytes {
		return nil, ErrSegmentTooLong
	}
	if len(rest) < lengthBytes+hashBytes+int(length) {
		return nil, fmt.Errorf("%w in a segment", ErrTruncated)
	}
	payload := rest[lengthBytes+hashBytes:][:length]
	r.lastHash = chainHash(r.lastHash, payload)
	if string(r.lastHash[:]) != string(rest[lengthBytes:][:hashBytes]) {
		return nil, ErrChainBroken
	}
	return payload, nil
}
