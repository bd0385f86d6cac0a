package transport

import "fmt"

func statusText(code int) string {
	switch code {
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 421:
		return "Misdirected Request"
	case 422:
		return "Unprocessable Entity"
	case 429:
		return "Too Many Requests"
	case 503:
		return "Service Unavailable"
	}
	return "Status"
}

func appendResponse(b []byte, r *Response) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.Status, statusText(r.Status), len(r.Body))
	if len(r.Body) > 0 {
		b = append(b, "Content-Type: application/cbor\r\n"...)
	}
	if r.RetryAfterS > 0 {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", r.RetryAfterS)
	}
	if r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

func appendRequest(b []byte, method, path, host string, body []byte) []byte {
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	if len(body) > 0 || method == "POST" {
		b = fmt.Appendf(b, "Content-Type: application/cbor\r\nContent-Length: %d\r\n", len(body))
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
