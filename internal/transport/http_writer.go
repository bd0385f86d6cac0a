package transport

import (
	"fmt"
	"net/http"
)

const (
	// responseHeadBytes and requestHeadBytes are the maximum lengths of a message's head
	// (start line and headers). They are reserved so that a message needs one allocation.
	responseHeadBytes = 192
	requestHeadBytes  = 160
)

// reasonPhrase returns the text that follows the status code in a status line. It is
// "Status" for codes that this server does not use; clients evaluate only the code.
func reasonPhrase(status int) string {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusMisdirectedRequest, http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return http.StatusText(status)
	}
	return "Status"
}

// appendResponse appends a response in HTTP/1.1 wire format.
func appendResponse(b []byte, r *Response) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.Status, reasonPhrase(r.Status), len(r.Body))
	if len(r.Body) > 0 {
		b = append(b, "Content-Type: application/cbor\r\n"...)
	}
	if r.RetryAfterS > 0 {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", r.RetryAfterS)
	}
	if r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, lineBreak...)
	return append(b, r.Body...)
}

// appendRequest appends a request in HTTP/1.1 wire format.
func appendRequest(b []byte, method, path, host string, body []byte) []byte {
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	if len(body) > 0 || method == http.MethodPost {
		b = fmt.Appendf(b, "Content-Type: application/cbor\r\nContent-Length: %d\r\n", len(body))
	}
	b = append(b, lineBreak...)
	return append(b, body...)
}
