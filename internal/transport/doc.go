// Package transport owns a controller's connections: the event loop that drives them all
// (gnet), an HTTP/1.1 server and client of the project's own, and the mesh of links
// between controllers with its framing.
//
// It promises that
//   - an HTTP request is answered at most once, and not after the response's ValidUntil;
//   - ErrNotSent means that a request certainly never left this process;
//   - frames arrive in the order in which they were sent, with none missing, until the
//     link is down; a new link is a new stream.
//
// It never looks into a body or a frame beyond what framing needs, keeps no state that
// outlives a connection, and never repeats a request by itself.
package transport
