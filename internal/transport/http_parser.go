package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of one HTTP message, in bytes.
const (
	maxHeadBytes         = 8 << 10
	maxBodyBytes         = 64 << 10 // of a request
	maxResponseBytes     = 4 << 20
	maxDiscardBytes      = 4 << 20 // of a request with a too long body, which is discarded
	maxChunkHeadBytes    = 1 << 10
	maxLeadingBreakBytes = 4 // of line breaks before a message, which are skipped
)

// messageKind distinguishes HTTP requests from responses.
type messageKind bool

const (
	requestMessage  messageKind = false
	responseMessage messageKind = true
)

// Reasons why a message can't be parsed, or not yet.
var (
	errIncomplete = errors.New("message is incomplete")
	errMalformed  = errors.New("malformed HTTP")
	errTooLarge   = errors.New("HTTP message is too large")
)

// lineBreak ends each line of a message's head.
const lineBreak = "\r\n"

// message is a parsed request or response.
type message struct {
	startLine      [3]string // method, path, version; or version, status, reason phrase
	body           []byte
	close          bool   // the connection is closed after this message
	retryAfter     string // value of the Retry-After header
	size           int    // length in bytes; set also if only the body is above the limit
	expectContinue bool   // the sender waits for "100 Continue" before it sends the body
}

// parseMessage parses one HTTP/1.1 message (RFC 9112) from the start of buf. Bodies are
// delimited by Content-Length or chunked. It returns errIncomplete until the whole message
// has arrived; expectContinue is then valid if the head has arrived. With errTooLarge, size
// is set if the length of the message is known. The body is a copy.
func parseMessage(buf []byte, kind messageKind, bodyLimit int) (message, error) {
	var m message
	head, size, err := cutHead(buf)
	if err != nil {
		return m, err
	}
	length, chunked, err := m.readHead(head, kind)
	if err != nil {
		return m, err
	}
	rest := buf[size:]
	if chunked {
		body, bodySize, err := readChunks(rest, bodyLimit)
		if err != nil {
			return m, err
		}
		m.body, m.size = body, size+bodySize
		return m, nil
	}
	if length > bodyLimit {
		m.size = size + length
		return m, errTooLarge
	}
	if len(rest) < length {
		return m, errIncomplete
	}
	m.body = append([]byte(nil), rest[:length]...)
	m.size = size + length
	return m, nil
}

// cutHead returns a message's head (start line and headers), and its size in bytes
// including the line breaks before and after it.
func cutHead(buf []byte) (head string, size int, err error) {
	start := 0
	for start < len(buf) && start < maxLeadingBreakBytes && (buf[start] == '\r' || buf[start] == '\n') {
		start++
	}
	end := bytes.Index(buf[start:], []byte(lineBreak+lineBreak))
	if end > maxHeadBytes || (end < 0 && len(buf)-start > maxHeadBytes) {
		return "", 0, errTooLarge
	}
	if end < 0 {
		return "", 0, errIncomplete
	}
	return string(buf[start : start+end]), start + end + len(lineBreak+lineBreak), nil
}

// readHead parses the start line and the headers, and returns how the body is delimited:
// its length, or chunked.
func (m *message) readHead(head string, kind messageKind) (length int, chunked bool, err error) {
	lines := strings.Split(head, lineBreak)
	if err := m.readStartLine(lines[0], kind); err != nil {
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

// readStartLine parses the request line of a request or the status line of a response.
func (m *message) readStartLine(line string, kind messageKind) error {
	words := strings.SplitN(line, " ", len(m.startLine))
	// The reason phrase of a response may be missing.
	if len(words) < 2 || (len(words) == 2 && kind == requestMessage) {
		return errMalformed
	}
	copy(m.startLine[:], words)
	version := m.startLine[2]
	if kind == responseMessage {
		version = m.startLine[0]
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.close = true
	default:
		return errMalformed
	}
	if kind == requestMessage && (!isToken(m.startLine[0]) || !strings.HasPrefix(m.startLine[1], "/")) {
		return errMalformed
	}
	return nil
}

// readConnection parses the value of a Connection header.
func (m *message) readConnection(value string) {
	for _, option := range strings.Split(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			m.close = true
		case "keep-alive":
			m.close = false
		}
	}
}

// readChunks decodes a chunked body and returns it with its encoded size in bytes.
func readChunks(b []byte, limit int) (body []byte, size int, err error) {
	at := 0
	for {
		length, headSize, err := readChunkHead(b[at:])
		if err != nil {
			return nil, 0, err
		}
		at += headSize
		if length == 0 {
			break
		}
		if len(body)+length > limit {
			return nil, 0, errTooLarge
		}
		if len(b)-at < length+len(lineBreak) {
			return nil, 0, errIncomplete
		}
		body = append(body, b[at:at+length]...)
		at += length
		if string(b[at:at+len(lineBreak)]) != lineBreak {
			return nil, 0, errMalformed
		}
		at += len(lineBreak)
	}
	trailers, err := readTrailers(b[at:])
	if err != nil {
		return nil, 0, err
	}
	return body, at + trailers, nil
}

// readChunkHead parses the line with a chunk's length. size is that of the line, in bytes.
func readChunkHead(b []byte) (length, size int, err error) {
	end := bytes.Index(b, []byte(lineBreak))
	if end < 0 {
		if len(b) > maxChunkHeadBytes {
			return 0, 0, errMalformed
		}
		return 0, 0, errIncomplete
	}
	digits, _, _ := strings.Cut(string(b[:end]), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, 0, errMalformed
	}
	return int(n), end + len(lineBreak), nil
}

// readTrailers skips the trailers of a chunked body, up to and including the empty line,
// and returns their size in bytes.
func readTrailers(b []byte) (size int, err error) {
	for {
		end := bytes.Index(b[size:], []byte(lineBreak))
		if end < 0 {
			if len(b)-size > maxHeadBytes {
				return 0, errTooLarge
			}
			return 0, errIncomplete
		}
		size += end + len(lineBreak)
		if end == 0 {
			return size, nil
		}
	}
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2), as methods and header
// names must be.
func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		switch c := s[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return true
}
