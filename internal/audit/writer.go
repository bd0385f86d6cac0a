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
	queueLength       = 4 * recordsPerSegment
	flushInterval     = time.Second
)

// Writer writes a stream. Append never waits: while the sink is slower than the
// records come, records are dropped, and the stream shows how many.
type Writer struct {
	sink   io.WriteCloser
	enc    *zstd.Encoder
	chain  [hashBytes]byte
	onFail func(error)

	mu      sync.Mutex
	seq     uint64
	dropped uint64
	records chan Record
	closing chan struct{}
	done    chan struct{}
}

// NewWriter begins a stream on a sink. onFail is called once if the sink fails; from
// then on all records are dropped.
func NewWriter(sink io.WriteCloser, header Header, onFail func(error)) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	w := &Writer{sink: sink, enc: enc, chain: blake3.Sum256([]byte(magic)), onFail: onFail,
		records: make(chan Record, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	if _, err := sink.Write([]byte(magic)); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	if err := w.write(&segment{Header: &header}); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// Append adds a record and gives it its number, unless there is no room for it.
func (w *Writer) Append(r Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	r.Seq = w.seq
	select {
	case w.records <- r:
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

// Close writes what has gathered and ends the stream.
func (w *Writer) Close() error {
	close(w.closing)
	<-w.done
	if err := w.sink.Close(); err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var gathered []Record
	failed := false
	flush := func(last bool) {
		if failed || (len(gathered) == 0 && !last) {
			gathered = gathered[:0]
			return
		}
		if err := w.write(&segment{Records: gathered, Dropped: w.Dropped(), Last: last}); err != nil {
			failed = true
			w.onFail(err)
		}
		gathered = gathered[:0]
	}
	for {
		select {
		case r := <-w.records:
			if gathered = append(gathered, r); len(gathered) == recordsPerSegment {
				flush(false)
			}
		case <-ticker.C:
			flush(false)
		case <-w.closing:
			for len(w.records) > 0 {
				gathered = append(gathered, <-w.records)
			}
			flush(true)
			return
		}
	}
}

// write appends a segment: its length, the hash of it and of all before it, and its
// compressed content. It is one write, so that a stream mostly ends between segments.
func (w *Writer) write(s *segment) error {
	content, err := cbor.Marshal(s)
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	out := make([]byte, lengthBytes+hashBytes, lengthBytes+hashBytes+len(content)/4)
	out = w.enc.EncodeAll(content, out)
	payload := out[lengthBytes+hashBytes:]
	binary.BigEndian.PutUint32(out, uint32(len(payload)))
	w.chain = chained(w.chain, payload)
	copy(out[lengthBytes:], w.chain[:])
	if _, err := w.sink.Write(out); err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	return nil
}

// chained is the hash of a segment and of all before it.
func chained(before [hashBytes]byte, payload []byte) [hashBytes]byte {
	h := blake3.New()
	// A hash takes whatever it is given.
	_, _ = h.Write(before[:])
	_, _ = h.Write(payload)
	var sum [hashBytes]byte
	h.Sum(sum[:0])
	return sum
}
