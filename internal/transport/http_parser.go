package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of one HTTP message.
const (
	maxHead     = 8 << 10
	maxBody     = 64 << 10
	maxResponse = 4 << 20
	maxDiscard  = 4 << 20 // of a body above the limit that is read and thrown away
)

var (
	errIncomplete = errors.New("message is incomplete")
	errMalformed  = errors.New("malformed HTTP")
	errTooLarge   = errors.New("HTTP message is too large")
)

// message is a parsed request or response.
type message struct {
	startLine      [3]string // the words of the start line
	body           []byte
	close          bool
	retryAfter     string
	size           int // bytes that it takes; known also of a body above the limit
	expectContinue bool
}

// parseMessage reads one HTTP/1.1 message from the start of buf. Bodies are
// framed by Content-Length or in chunks. It returns errIncomplete until the
// whole message has arrived; the message then still tells whether the peer
// waits for a "100 Continue".
func parseMessage(buf []byte, response bool, bodyLimit int) (message, error) {
	var m message
	skip := 0
	for skip < len(buf) && skip < 4 && (buf[skip] == '\r' || buf[skip] == '\n') {
		skip++
	}
	head := buf[skip:]
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if end < 0 {
		if len(head) > maxHead {
			return m, errTooLarge
		}
		return m, errIncomplete
	}
	if end > maxHead {
		return m, errTooLarge
	}
	length, chunked, err := m.readHead(string(head[:end]), response)
	if err != nil {
		return m, err
	}
	rest := head[end+4:]
	used := skip + end + 4
	if chunked {
		body, n, err := readChunks(rest, bodyLimit)
		if err != nil {
			return m, err
		}
		m.body, m.size = body, used+n
		return m, nil
	}
	if length > bodyLimit {
		m.size = used + length
		return m, errTooLarge
	}
	if len(rest) < length {
		return m, errIncomplete
	}
	m.body = append([]byte(nil), rest[:length]...)
	m.size = used + length
	return m, nil
}

// readHead reads the first line and the headers, and tells how the body is sent.
func (m *message) readHead(head string, response bool) (length int, chunked bool, err error) {
	lines := strings.Split(head, "\r\n")
	if err := m.readStartLine(lines[0], response); err != nil {
		return 0, false, err
	}
	seenLength := false
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return 0, false, errMalformed
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\n\x00") {
			return 0, false, errMalformed
		}
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || (seenLength && int(n) != length) {
				return 0, false, errMalformed
			}
			length, seenLength = int(n), true
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return 0, false, errMalformed
			}
			chunked = true
		case "connection":
			m.readConnection(value)
		case "retry-after":
			m.retryAfter = value
		case "expect":
			m.expectContinue = strings.EqualFold(value, "100-continue")
		}
	}
	if chunked && seenLength {
		return 0, false, errMalformed
	}
	return length, chunked, nil
}

// readStartLine reads a request line, or the status line of a response.
func (m *message) readStartLine(line string, response bool) error {
	words := strings.SplitN(line, " ", 3)
	if len(words) < 3 && !(response && len(words) == 2) {
		return errMalformed
	}
	copy(m.startLine[:], words)
	version := m.startLine[2]
	if response {
		version = m.startLine[0]
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.close = true
	default:
		return errMalformed
	}
	if !response && (!isToken(m.startLine[0]) || !strings.HasPrefix(m.startLine[1], "/")) {
		return errMalformed
	}
	return nil
}

// readConnection reads a Connection header.
func (m *message) readConnection(value string) {
	for _, v := range strings.Split(value, ",") {
		switch strings.ToLower(strings.TrimSpace(v)) {
		case "close":
			m.close = true
		case "keep-alive":
			m.close = false
		}
	}
}

// readChunks decodes a chunked body and returns it with the bytes it took.
func readChunks(b []byte, limit int) ([]byte, int, error) {
	var body []byte
	pos := 0
	for {
		lineEnd := bytes.Index(b[pos:], []byte("\r\n"))
		if lineEnd < 0 {
			if len(b)-pos > 1024 {
				return nil, 0, errMalformed
			}
			return nil, 0, errIncomplete
		}
		digits, _, _ := strings.Cut(string(b[pos:pos+lineEnd]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, 0, errMalformed
		}
		pos += lineEnd + 2
		if n == 0 {
			break
		}
		if len(body)+int(n) > limit {
			return nil, 0, errTooLarge
		}
		if len(b)-pos < int(n)+2 {
			return nil, 0, errIncomplete
		}
		body = append(body, b[pos:pos+int(n)]...)
		pos += int(n)
		if b[pos] != '\r' || b[pos+1] != '\n' {
			return nil, 0, errMalformed
		}
		pos += 2
	}
	for { // trailers, up to the empty line
		lineEnd := bytes.Index(b[pos:], []byte("\r\n"))
		if lineEnd < 0 {
			if len(b)-pos > maxHead {
				return nil, 0, errTooLarge
			}
			return nil, 0, errIncomplete
		}
		pos += lineEnd + 2
		if lineEnd == 0 {
			return body, pos, nil
		}
	}
}

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return true
}
