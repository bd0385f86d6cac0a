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

// Writer writes a stream. Append never waits: while the sink is slower than the records
// come, records are dropped, and the stream shows how many. Any number of goroutines may
// use it.
type Writer struct {
	sink     io.WriteCloser
	encoder  *zstd.Encoder
	lastHash [hashBytes]byte // of the last segment; the write loop's
	onError  func(error)

	mu      sync.Mutex // of seq and dropped
	seq     uint64
	dropped uint64
	records chan Record
	closing chan struct{} // closed by Close
	done    chan struct{} // closed by the write loop at its end
}

// NewWriter begins a stream on a sink, which belongs to the writer until Close unless an
// error is returned. onError is called once, from the writer's goroutine, if the sink
// fails; from then on all records are dropped.
func NewWriter(sink io.WriteCloser, header Header, onError func(error)) (*Writer, error) {
	w, err := newWriter(sink, header, onError)
	if err != nil {
		return nil, err
	}
	// The write loop is the writer's; it ends with Close, which waits for it.
	go w.writeLoop()
	return w, nil
}

// newWriter writes what a stream begins with.
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

// Append queues a record and gives it its number. If the queue is full the record is
// dropped: its number is missing in the stream.
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

// Dropped is how many records there was no room for.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is queued, ends the stream and closes the sink. Append must not be
// called after it, nor Close twice.
func (w *Writer) Close() error {
	close(w.closing)
	<-w.done
	if err := w.sink.Close(); err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	return nil
}

// writeLoop writes segments until Close: one when enough records are queued, or when some
// have waited for the flush interval.
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

// writeSegment appends a segment: its length, the hash of it and of all before it, and its
// compressed content. It is one write, so that a stream mostly ends between segments.
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

// chainHash is the hash of a segment and of all before it.
func chainHash(before [hashBytes]byte, payload []byte) [hashBytes]byte {
	hash := blake3.New()
	// A hash takes whatever it is given.
	_, _ = hash.Write(before[:])
	_, _ = hash.Write(payload)
	var sum [hashBytes]byte
	hash.Sum(sum[:0])
	return sum
}
