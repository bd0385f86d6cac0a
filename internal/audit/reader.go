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

// Why a stream can't be read; ReadError has the place.
var (
	// ErrNotStream says that the file is something else.
	ErrNotStream = errors.New("not an audit stream")
	// ErrTruncated says that the stream breaks off, as after a crash.
	ErrTruncated = errors.New("truncated")
	// ErrChainBroken says that a segment was changed or left out.
	ErrChainBroken = errors.New("a segment was changed, or one before it is missing")
	// ErrMisplaced says that a segment is not where it was written.
	ErrMisplaced = errors.New("a segment is not in its place")
	// ErrTrailingData says that the stream goes on after its end.
	ErrTrailingData = errors.New("more follows after the last segment")
	// ErrSegmentTooLong says that a segment is longer than any that is written.
	ErrSegmentTooLong = errors.New("a segment is too long")
)

// Stream is one controller's history as read.
type Stream struct {
	Name    string // of the file
	Header  Header
	Records []Record
	Dropped uint64 // records that the writer had no room for
	// HasLastSegment tells that the writer ended the stream, rather than being killed.
	HasLastSegment bool
}

// ReadError says what is wrong with a stream, and where.
type ReadError struct {
	Name   string // of the file
	Offset int    // of the segment in the file, in bytes
	Err    error
}

// Error implements error. It is one line.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s: at byte %d: %v", e.Name, e.Offset, e.Err)
}

// Unwrap returns the cause: one of this package's errors, or that of the file system, of
// the decompressor or of the decoder.
func (e *ReadError) Unwrap() error { return e.Err }

// ReadFile reads a stream from a file. Its error is a ReadError.
func ReadFile(name string) (*Stream, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &ReadError{Name: name, Err: err}
	}
	return Read(name, data)
}

// Read reads a stream; name is what errors call it. If the stream can't be read, the
// error is a ReadError.
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

// reader reads one segment after the other.
type reader struct {
	stream   *Stream
	data     []byte
	offset   int // of the next segment
	segments int // read so far
	decoder  *zstd.Decoder
	lastHash [hashBytes]byte
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

// nextPayload returns the next segment's compressed content once its hash is checked.
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
