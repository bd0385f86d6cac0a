package simtest

import (
	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// Connect begins a stream between two members.
func (d *Deployment) Connect(a, b string) {
	na, nb := d.Nodes[a], d.Nodes[b]
	la, lb := &Stream{deployment: d, to: nb, toProcess: nb.Process}, &Stream{deployment: d, to: na, toProcess: na.Process}
	la.peer, lb.peer = lb, la
	na.Links[b], nb.Links[a] = la, lb
	na.Process.LinkUp(la, b)
	nb.Process.LinkUp(lb, a)
}

// Disconnect ends the stream between two members, in both directions.
func (d *Deployment) Disconnect(a, b string) {
	na, nb := d.Nodes[a], d.Nodes[b]
	if l := na.Links[b]; l != nil {
		l.Close()
		l.peer.Close()
		delete(na.Links, b)
		delete(nb.Links, a)
	}
	d.DeliverAll()
}

// Reconnect ends the streams of a process that was paused and begins new ones.
func (d *Deployment) Reconnect(name string) {
	n := d.Nodes[name]
	for _, other := range d.Members {
		if other != name {
			n.Process.LinkDown(n.Links[other])
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
	peer       *Stream
	Queue      []*meshpb.Frame
	Closed     bool
}

// Send queues a frame until DeliverAll.
func (l *Stream) Send(f *meshpb.Frame) {
	if n := proto.Size(f); n > 1<<20 {
		l.deployment.T.Fatalf("a frame of %d bytes", n)
	}
	if !l.Closed {
		l.Queue = append(l.Queue, l.deployment.options.OnFrame(l.peer.to, l.to, f))
	}
}

// Flush does nothing: all that is queued is delivered at once.
func (l *Stream) Flush() {}

// Close ends this direction: its sender learns of it.
func (l *Stream) Close() {
	if l.Closed {
		return
	}
	l.Closed = true
	if l.peer.toProcess != nil && l.deployment.Nodes[l.peer.to.Name].Process == l.peer.toProcess {
		l.peer.toProcess.LinkDown(l)
	}
}

// DeliverAll delivers everything that is on its way.
func (d *Deployment) DeliverAll() {
	for again := true; again; {
		again = false
		for _, name := range d.Members {
			n := d.Nodes[name]
			if !n.Up || n.Paused {
				continue
			}
			n.Process.EndBatch()
			for _, other := range d.Members {
				l := n.Links[other]
				if l == nil || len(l.Queue) == 0 || l.to.Paused {
					continue
				}
				f := l.Queue[0]
				l.Queue = l.Queue[1:]
				again = true
				if l.to.Up && l.to.Process == l.toProcess {
					l.toProcess.LinkFrame(l.peer, f)
					l.toProcess.EndBatch()
				}
			}
		}
	}
}
