// Package transport moves bytes: gnet servers and client connections, an
// HTTP/1.1 parser of the project's own, and the framing of the mesh.
package transport
