package audit

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"
)

const (
	recordsPerSegment = 4096
	maxQueuedRecords  = 4 * recordsPerSegment
	flushInterval     = time.Second
)

// Writer writes a stream. Append never waits: while the sink is slower than records arrive,
// records are dropped and the stream states how many. It is safe for concurrent use.
type Writer struct {
	sink     io.WriteCloser
	encoder  *zstd.Encoder
	lastHash [hashBytes]byte // of the last segment; used only by the write loop
	onError  func(error)

	mu      sync.Mutex // guards seq and dropped
	seq     uint64     // of the last record
	dropped uint64
	records chan Record
	closing chan struct{} // closed by Close
	done    chan struct{} // closed by the write loop when it ends
}

// NewWriter starts a stream on a sink. The writer owns the sink until Close, unless an error is
// returned. onError is called once, from the writer's goroutine, if the sink fails; all records
// after that are dropped.
func NewWriter(sink io.WriteCloser, header Header, onError func(error)) (*Writer, error) {
	w, err := newWriter(sink, header, onError)
	if err != nil {
		return nil, err
	}
	// The writer owns this goroutine. Close ends it and waits for it.
	go w.writeLoop()
	return w, nil
}

// newWriter writes fileMagic and the first segment, and starts no goroutine.
func newWriter(sink io.WriteCloser, header Header, onError func(error)) (*Writer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	w := &Writer{
		sink: sink, encoder: encoder, lastHash: blake3.Sum256([]byte(fileMagic)), onError: onError,
		records: make(chan Record, maxQueuedRecords), closing: make(chan struct{}), done: make(chan struct{}),
	}
	if _, err := sink.Write([]byte(fileMagic)); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	if err := w.writeSegment(&segment{Header: &header}); err != nil {
		return nil, err
	}
	return w, nil
}

// Append numbers a record and queues it. If the queue is full the record is dropped and its
// number is missing in the stream.
func (w *Writer) Append(record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	record.Seq = w.seq
	select {
	case w.records <- record:
	default:
		w.dropped++
	}
}

// Dropped returns the number of records dropped because the queue was full.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the queued records and the last segment and closes the sink. It must be called at
// most once, and Append must not be called after it.
func (w *Writer) Close() error {
	close(w.closing)
	<-w.done
	if err := w.sink.Close(); err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	return nil
}

// writeLoop writes segments until Close: whenever recordsPerSegment records are queued, and
// every flushInterval if any are.
func (w *Writer) writeLoop() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var pending []Record
	failed := false
	flush := func(last bool) {
		if failed || (len(pending) == 0 && !last) {
			pending = pending[:0]
			return
		}
		if err := w.writeSegment(&segment{Records: pending, Dropped: w.Dropped(), Last: last}); err != nil {
			failed = true
			w.onError(err)
		}
		pending = pending[:0]
	}
	for {
		select {
		case record := <-w.records:
			if pending = append(pending, record); len(pending) == recordsPerSegment {
				flush(false)
			}
		case <-ticker.C:
			flush(false)
		case <-w.closing:
			for len(w.records) > 0 {
				pending = append(pending, <-w.records)
			}
			flush(true)
			return
		}
	}
}

// writeSegment appends a segment. It uses one write, so that a stream cut off by a crash mostly
// ends between segments.
func (w *Writer) writeSegment(s *segment) error {
	content, err := cbor.Marshal(s)
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	out := make([]byte, lengthBytes+hashBytes, lengthBytes+hashBytes+len(content)/4)
	out = w.encoder.EncodeAll(content, out)
	payload := out[lengthBytes+hashBytes:]
	binary.BigEndian.PutUint32(out, uint32(len(payload)))
	w.lastHash = chainHash(w.lastHash, payload)
	copy(out[lengthBytes:], w.lastHash[:])
	if _, err := w.sink.Write(out); err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	return nil
}

// chainHash returns the hash of a segment and all segments before it.
func chainHash(before [hashBytes]byte, payload []byte) [hashBytes]byte {
	hash := blake3.New()
	// Writing to a hash never fails.
	_, _ = hash.Write(before[:])
	_, _ = hash.Write(payload)
	var sum [hashBytes]byte
	hash.Sum(sum[:0])
	return sum
}
