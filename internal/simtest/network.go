package simtest

import (
	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// Connect opens a stream between two members.
func (d *Deployment) Connect(a, b string) {
	nodeA, nodeB := d.Nodes[a], d.Nodes[b]
	fromA, fromB := &Stream{deployment: d, to: nodeB, toProcess: nodeB.Process}, &Stream{deployment: d, to: nodeA, toProcess: nodeA.Process}
	fromA.peer, fromB.peer = fromB, fromA
	nodeA.Links[b], nodeB.Links[a] = fromA, fromB
	nodeA.Process.LinkUp(fromA, b)
	nodeB.Process.LinkUp(fromB, a)
}

// Disconnect closes the stream between two members in both directions.
func (d *Deployment) Disconnect(a, b string) {
	nodeA, nodeB := d.Nodes[a], d.Nodes[b]
	if stream := nodeA.Links[b]; stream != nil {
		stream.Close()
		stream.peer.Close()
		delete(nodeA.Links, b)
		delete(nodeB.Links, a)
	}
	d.DeliverAll()
}

// Reconnect replaces all streams of a process that was paused. It doesn't report the end of the
// old ones to the peers, as Pause has done that.
func (d *Deployment) Reconnect(name string) {
	node := d.Nodes[name]
	for _, other := range d.Members {
		if other != name {
			node.Process.LinkDown(node.Links[other])
			d.Connect(name, other)
		}
	}
	d.DeliverAll()
}

// Stream is one direction of the stream between two members.
type Stream struct {
	deployment *Deployment
	to         *Node
	toProcess  Process
	peer       *Stream         // the opposite direction
	Queue      []*meshpb.Frame // frames sent and not yet delivered
	Closed     bool
}

// Send queues a frame until DeliverAll delivers it. A frame of more than 1 MiB fails the test.
func (stream *Stream) Send(f *meshpb.Frame) {
	if size := proto.Size(f); size > 1<<20 {
		stream.deployment.T.Fatalf("a frame of %d bytes", size)
	}
	if !stream.Closed {
		stream.Queue = append(stream.Queue, stream.deployment.options.OnFrame(stream.peer.to, stream.to, f))
	}
}

// Flush does nothing: DeliverAll delivers all queued frames.
func (stream *Stream) Flush() {}

// Close closes this direction and reports that to the process at its sending end.
func (stream *Stream) Close() {
	if stream.Closed {
		return
	}
	stream.Closed = true
	if stream.peer.toProcess != nil && stream.deployment.Nodes[stream.peer.to.Name].Process == stream.peer.toProcess {
		stream.peer.toProcess.LinkDown(stream)
	}
}

// DeliverAll delivers all queued frames, and those sent in response, until none is left.
// Frames from or to a paused process stay queued.
func (d *Deployment) DeliverAll() {
	for again := true; again; {
		again = false
		for _, name := range d.Members {
			node := d.Nodes[name]
			if !node.Up || node.Paused {
				continue
			}
			node.Process.EndBatch()
			for _, other := range d.Members {
				stream := node.Links[other]
				if stream == nil || len(stream.Queue) == 0 || stream.to.Paused {
					continue
				}
				f := stream.Queue[0]
				stream.Queue = stream.Queue[1:]
				again = true
				if stream.to.Up && stream.to.Process == stream.toProcess {
					stream.toProcess.LinkFrame(stream.peer, f)
					stream.toProcess.EndBatch()
				}
			}
		}
	}
}
