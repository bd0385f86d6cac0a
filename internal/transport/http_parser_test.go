package transport

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestParseMessage(t *testing.T) {
	for _, c := range []struct {
		name, in string
		kind     messageKind
		err      error
		body     string
		size     int
		close    bool
	}{
		{name: "bare request", in: "GET /ready HTTP/1.1\r\nHost: n\r\n\r\nrest", size: 32},
		{name: "body", in: "POST /x HTTP/1.1\r\ncontent-LENGTH: 3\r\n\r\nabcd", body: "abc", size: 42},
		{name: "connection close", in: "GET / HTTP/1.1\r\nConnection: Keep-Alive, close\r\n\r\n", size: 49, close: true},
		{name: "HTTP/1.0 closes", in: "GET / HTTP/1.0\r\n\r\n", size: 18, close: true},
		{name: "leading line ends", in: "\r\nGET / HTTP/1.1\r\n\r\n", size: 20},
		{name: "chunks", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n!", body: "abc", size: 75},
		{name: "response", in: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", kind: responseMessage, body: "hi", size: 40},
		{name: "response without a reason phrase", in: "HTTP/1.1 204\r\n\r\n", kind: responseMessage, size: 16},
		{name: "incomplete head", in: "GET / HTTP/1.1\r\nHo", err: errIncomplete},
		{name: "incomplete body", in: "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", err: errIncomplete},
		{name: "incomplete chunk", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", err: errIncomplete},
		{name: "no path", in: "GET HTTP/1.1\r\n\r\n", err: errMalformed},
		{name: "unsupported version", in: "GET / HTTP/2.0\r\n\r\n", err: errMalformed},
		{name: "header without a colon", in: "GET / HTTP/1.1\r\nno colon\r\n\r\n", err: errMalformed},
		{name: "space before colon", in: "GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", err: errMalformed},
		{name: "negative length", in: "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", err: errMalformed},
		{name: "two lengths", in: "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", err: errMalformed},
		{name: "length and chunks", in: "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", err: errMalformed},
		{name: "invalid chunk length", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", err: errMalformed},
		{name: "body above the limit", in: "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", err: errTooLarge},
		{name: "chunks above the limit", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", err: errTooLarge},
		{name: "head above the limit", in: "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadBytes), err: errTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, err := parseMessage([]byte(c.in), c.kind, maxBodyBytes)
			if !errors.Is(err, c.err) || (c.err == nil && err != nil) {
				t.Fatalf("got error %v, want %v", err, c.err)
			}
			if err == nil && (string(m.body) != c.body || m.size != c.size || m.close != c.close) {
				t.Errorf("got body %q, size %d, close %v", m.body, m.size, m.close)
			}
		})
	}
}

// FuzzParseMessage checks that no input crashes the parser, that the size of a message
// does not exceed the input, and that a complete message is parsed in the same way when
// more bytes follow it.
func FuzzParseMessage(f *testing.F) {
	f.Add([]byte("GET /ready HTTP/1.1\r\nHost: n\r\n\r\n"), false)
	f.Add([]byte("POST /checkin HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"), false)
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 1\r\n\r\nx"), true)
	f.Add([]byte("\r\n\r\nGET / HTTP/1.0\r\nConnection: keep-alive\r\nExpect: 100-continue\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, in []byte, response bool) {
		m, err := parseMessage(in, messageKind(response), maxBodyBytes)
		if err != nil {
			return
		}
		if m.size <= 0 || m.size > len(in) || len(m.body) > maxBodyBytes {
			t.Fatalf("parsed size is %d of %d bytes, with a body of %d bytes", m.size, len(in), len(m.body))
		}
		again, err := parseMessage(append(append([]byte(nil), in[:m.size]...), "GET / HTTP/1.1\r\n\r\n"...), messageKind(response), maxBodyBytes)
		if err != nil || again.size != m.size || string(again.body) != string(m.body) {
			t.Fatalf("with more bytes after the message: size %d, want %d, error %v", again.size, m.size, err)
		}
	})
}

func TestWrittenMessagesRoundTrip(t *testing.T) {
	for _, body := range []string{"", "abc", strings.Repeat("x", 70_000)} {
		r := Response{Status: 503, Body: []byte(body), RetryAfterS: 7, Close: true}
		out := appendResponse(nil, &r)
		m, err := parseMessage(out, responseMessage, maxResponseBytes)
		if err != nil || string(m.body) != body || m.retryAfter != "7" || !m.close || m.startLine[1] != "503" || m.size != len(out) {
			t.Fatalf("response with a body of %d bytes was parsed as %v, %v", len(body), m.startLine, err)
		}
		out = appendRequest(nil, "POST", "/multi", "10.0.0.1:1", []byte(body))
		m, err = parseMessage(out, requestMessage, maxResponseBytes)
		if err != nil || string(m.body) != body || fmt.Sprint(m.startLine) != "[POST /multi HTTP/1.1]" || m.close {
			t.Fatalf("request with a body of %d bytes was parsed as %v, %v", len(body), m.startLine, err)
		}
	}
}
