package api

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
)

// Guards against a chunked body that decodes to more content than the client sent.
func FuzzChunked(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\nx-amz-checksum-crc32:NhCmhg==\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, _ := io.ReadAll(&chunkedReader{in: bufio.NewReaderSize(bytes.NewReader(b), 64)})
		if len(out) > len(b) {
			t.Fatal("more bytes were decoded than were sent")
		}
	})
}

// Checks chunked bodies with and without a checksum, with a chunk extension, with a wrong checksum, truncated, and with a chunk length
// that can't be parsed.
func TestChunked(t *testing.T) {
	for in, want := range map[string]string{"5\r\nhello\r\n0\r\nx-amz-checksum-crc32:NhCmhg==\r\n\r\n": "hello <nil>", "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n": "hello <nil>",
		"5\r\nhello\r\n0\r\nx-amz-checksum-crc32:AAAAAA==\r\n\r\n": "hello BadDigest", "5\r\nhel": "hel unexpected EOF", "x\r\nhel": " IncompleteBody"} {
		b, err := io.ReadAll(&chunkedReader{in: bufio.NewReaderSize(strings.NewReader(in), 64)})
		if got := fmt.Sprint(string(b), " ", err); !strings.HasPrefix(got, want) {
			t.Errorf("%q: %s, want %s", in, got, want)
		}
	}
}
