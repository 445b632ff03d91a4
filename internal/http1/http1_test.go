package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// readRequest reads one request, with a body of at most 16 bytes, and describes it or its error.
func readRequest(in string) string {
	r := NewReader(strings.NewReader(in))
	h, err := r.Request()
	var body []byte
	if err == nil {
		body, err = r.Body(h, 16)
	}
	return describe(err, func() string { return fmt.Sprintf("%s %s %q, %d buffered", h.Method, h.Target, body, r.Buffered()) })
}

// readResponse reads one response, with a body of at most 16 bytes, and describes it or its error.
func readResponse(in string) string {
	r := NewReader(strings.NewReader(in))
	h, err := r.Response()
	var body []byte
	if err == nil {
		body, err = r.Body(h, 16)
	}
	return describe(err, func() string {
		return fmt.Sprintf("%d %q, close %v, %d buffered", h.Status, body, h.Close, r.Buffered())
	})
}

func describe(err error, good func() string) string {
	var wrong *Error
	switch {
	case errors.As(err, &wrong):
		return fmt.Sprintf("%d: %s", wrong.Status, wrong.Reason)
	case err != nil:
		return err.Error()
	}
	return good()
}

// A client sends a request that another hop could parse differently: two lengths, a space before a colon, an unknown transfer
// coding, a field beyond a limit. Each must be an error with its status, so that no request can hide in another one. Valid
// requests must be parsed.
func TestRequests(t *testing.T) {
	head := "PUT /a HTTP/1.1\r\nHost: h\r\n"
	for in, want := range map[string]string{
		"\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n":                                   `GET /a "", 0 buffered`,
		"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n":                               "400: malformed start line",
		"GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n":                                   `GET /a?b=1 "", 0 buffered`,
		head + "Content-Length: 3\r\n\r\nabcGET":                                   `PUT /a "abc", 3 buffered`,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\nX": `PUT /a "abc", 1 buffered`,
		head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":           "400: both Content-Length and Transfer-Encoding",
		head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc":                 "400: 2 Content-Length fields",
		head + "Content-Length: -3\r\n\r\nabc":                                     `400: invalid Content-Length "-3"`,
		head + "Content-Length: +3\r\n\r\nabc":                                     `400: invalid Content-Length "+3"`,
		head + "Content-Length: 1\r\n 2\r\n\r\nabc":                                `400: invalid Content-Length "1 2"`,
		head + "Content-Length: 99999999999999999999\r\n\r\n":                      `400: invalid Content-Length "99999999999999999999"`,
		head + "Content-Length: 17\r\n\r\n":                                        "413: body of 17 bytes, at most 16",
		head + "Content-Length: 3\r\n\r\nab":                                       "unexpected EOF",
		head + "Transfer-Encoding: gzip\r\n\r\n":                                   `501: unsupported transfer coding "gzip"`,
		head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n":           "400: malformed chunk",
		head + "Transfer-Encoding: chunked\r\n\r\n11\r\n12345678901234567\r\n":     "413: body of more than 16 bytes",
		head + "Content-Length : 3\r\n\r\nabc":                                     "400: malformed field name",
		head + "X: a\x00b\r\n\r\n":                                                 "400: malformed head",
		head + "no colon\r\n\r\n":                                                  "400: malformed head",
		"GET /a HTTP/1.1\r\n\r\n":                                                  "400: 0 Host fields, wanted 1",
		"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n":                            "400: 2 Host fields, wanted 1",
		"GET /a HTTP/1.0\r\nHost: h\r\n\r\n":                                       "505: version is not HTTP/1.1",
		"GET a HTTP/1.1\r\nHost: h\r\n\r\n":                                        "400: malformed target",
		"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n":                                     "505: version is not HTTP/1.1",
		"\x16\x03\x01\r\n":                                                         "400: malformed start line",
		"GET /" + strings.Repeat("a", 5000) + " HTTP/1.1\r\n":                      "431: start line longer than 4096 bytes",
		"GET /" + strings.Repeat("a", 50000):                                       "431: message exceeds the size limit",
		head + strings.Repeat("X: y\r\n", 100) + "\r\n":                            "431: header fields exceed the size or count limit",
		head + strings.Repeat("X: y\r\n", 100000):                                  "431: header fields exceed the size or count limit",
		head + "X: " + strings.Repeat("y", 100000):                                 "431: message exceeds the size limit",
		head + "X: y": "unexpected EOF",
	} {
		if got := readRequest(in); got != want {
			t.Errorf("%.80q:\n got %s\nwant %s", in, got, want)
		}
	}
}

// An endpoint sends interim responses, random bytes, or a head or body without an end. Each must be parsed or be an error, with
// bounded memory.
func TestResponses(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for in, want := range map[string]string{
		ok:                              `200 "ok", close false, 0 buffered`,
		ok + ok:                         fmt.Sprintf(`200 "ok", close false, %d buffered`, len(ok)),
		strings.Repeat(interim, 7) + ok: `200 "ok", close false, 0 buffered`,
		strings.Repeat(interim, 8) + ok: "502: more than 8 interim responses",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                          "502: unexpected protocol upgrade",
		"HTTP/1.1 204 No Content\r\n\r\n":                                   `204 "", close false, 0 buffered`,
		"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n": `200 "", close true, 0 buffered`,
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n":                      `200 "", close true, 0 buffered`,
		"HTTP/1.1 200 OK\r\n\r\nok":                                         `200 "ok", close true, 0 buffered`,
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 17):                 "413: body of more than 16 bytes",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok":           "413: body of 3000000000 bytes, at most 16",
		"HTTP/1.1 2000 OK\r\n\r\n":                                          "502: malformed status line",
		"noise noise noise\r\n\r\n":                                         "502: malformed status line",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok":                    "unexpected EOF",
		strings.Repeat("x", 1<<20):                                          "431: message exceeds the size limit",
	} {
		if got := readResponse(in); got != want {
			t.Errorf("%.80q:\n got %s\nwant %s", in, got, want)
		}
	}
}

// A body of unlimited length must be readable as it arrives, whatever the size of its pieces; a body that is not chunked must
// be an error.
func TestStream(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(head + "5\r\na\nbc\n\r\n1\r\n\n\r\n3\r\ncut\r\n9\r\nbroken")))
	h, err := r.Response()
	if err != nil {
		t.Fatal(err)
	}
	body, err := r.Stream(h, 4)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(body); string(got) != "a\nbc\n\ncutbroken" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q %v", got, err)
	}
	if _, err := r.Stream(&Head{Length: 3}, 4); describe(err, nil) != "502: the body is not chunked" {
		t.Error(err)
	}
}

// A proxy must forward unknown fields, such as the idempotency key of some customers' requests. It must not forward hop-by-hop
// fields, framing fields, or a field that it sets itself.
func TestAppendForward(t *testing.T) {
	r := NewReader(strings.NewReader("PUT /a HTTP/1.1\r\nHost: h\r\nX-Mine: 1\r\nidempotency-key: k\r\nVia: a\r\nVia: b\r\n" +
		"Connection: keep-alive, X-Hop\r\nX-Hop: 2\r\nKeep-Alive: 5\r\nTE: x\r\nExpect: y\r\nContent-Length: 0\r\n\r\n"))
	h, err := r.Request()
	if err != nil {
		t.Fatal(err)
	}
	if got := string(h.AppendForward(nil, "X-Mine")); got != "Host: h\r\nIdempotency-Key: k\r\nVia: a\r\nVia: b\r\n" {
		t.Errorf("%q", got)
	}
}

// A body is longer than its Content-Length, so the excess bytes would be parsed as the next request. MayStartRequest must
// detect this by the first bytes.
func TestMayStartRequest(t *testing.T) {
	for b, want := range map[string]bool{"": true, "G": true, "GET ": true, "PUT /a": true, "\r\nDELETE ": true, "\r": true,
		"GETS": false, "abc": false, "get /": false, "\x00": false, "PU/": false, " GET": false, "\r\nx": false} {
		if MayStartRequest([]byte(b)) != want {
			t.Errorf("%q: %v", b, !want)
		}
	}
}

// An endpoint sends a body without a length, and its connection is reset in the middle. If Body returned the part that arrived,
// a client would get truncated data. Only a normal close completes such a body.
func TestBodyUntilEnd(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n\r\nok"
	broken := errors.New("reset")
	r := NewReader(io.MultiReader(strings.NewReader(text), iotest.ErrReader(broken)))
	h, err := r.Response()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Body(h, 16); !errors.Is(err, broken) {
		t.Errorf("%v, wanted the connection's error", err)
	}
}

// For any input, reading a request must be bounded, and a request that was read must be the same after being written and read
// again.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		h, err := r.Request()
		if err != nil {
			return
		}
		body, err := r.Body(h, 1<<10)
		if err != nil {
			return
		}
		if len(body) > 1<<10 || h.Count("Content-Length") > 0 && h.Count("Transfer-Encoding") > 0 {
			t.Fatalf("%q passed with %d bytes", in, len(body))
		}
		b := AppendField([]byte(h.Method+" "+h.Target+" HTTP/1.1\r\n"), "Host", h.Get("Host"))
		again := NewReader(bytes.NewReader(AppendBody(b, body)))
		h2, err := again.Request()
		if err != nil || h2.Target != h.Target || h2.Get("Host") != h.Get("Host") {
			t.Fatalf("%q: %v", b, err)
		}
		if body2, err := again.Body(h2, 1<<10); err != nil || !bytes.Equal(body, body2) || again.Buffered() != 0 {
			t.Fatalf("%q: %q, %v", body, body2, err)
		}
	})
}

// For any input, reading a response must be bounded.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		if h, err := r.Response(); err == nil {
			if h.Status < 200 || h.Status > 999 {
				t.Fatalf("status %d", h.Status)
			}
			if b, err := r.Body(h, 64); err == nil && len(b) > 64 {
				t.Fatalf("%d bytes", len(b))
			}
		}
	})
}
