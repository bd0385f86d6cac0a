// Package transport manages a controller's network connections. It contains the event
// loop (gnet) that drives all of them, an HTTP/1.1 server and client, and the mesh of
// links between controllers with its framing.
//
// It guarantees that
//   - an HTTP request is answered at most once, and a response is not sent after its
//     ValidUntil;
//   - a request that failed with ErrNotSent has not left this process;
//   - frames arrive in the order in which they were sent, with none missing, until the
//     link is down; a new link is a new stream.
//
// It inspects bodies and frames only as far as framing needs, keeps no state that outlives
// a connection, and never retries a request by itself.
package transport
