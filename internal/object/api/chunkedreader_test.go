package api

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
)

// Whatever the client sends, no more content is read than it sent.
func FuzzChunked(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\nx-amz-checksum-crc32:NhCmhg==\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, _ := io.ReadAll(&chunkedReader{in: bufio.NewReaderSize(bytes.NewReader(b), 64)})
		if len(out) > len(b) {
			t.Fatal("more came out than went in")
		}
	})
}

// Bodies in chunks: with and without a checksum and an extension, with a wrong checksum, cut off, without a length.
func TestChunked(t *testing.T) {
	for in, want := range map[string]string{"5\r\nhello\r\n0\r\nx-amz-checksum-crc32:NhCmhg==\r\n\r\n": "hello <nil>", "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n": "hello <nil>",
		"5\r\nhello\r\n0\r\nx-amz-checksum-crc32:AAAAAA==\r\n\r\n": "hello BadDigest", "5\r\nhel": "hel unexpected EOF", "x\r\nhel": " IncompleteBody"} {
		b, err := io.ReadAll(&chunkedReader{in: bufio.NewReaderSize(strings.NewReader(in), 64)})
		if got := fmt.Sprint(string(b), " ", err); !strings.HasPrefix(got, want) {
			t.Errorf("%q: %s, want %s", in, got, want)
		}
	}
}
