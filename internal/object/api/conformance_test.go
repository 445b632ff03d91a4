package api

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Checks the documented behaviour of the API (docs/api.md). Each row has the method, path, body and headers of a request, and the status
// and a part of the expected response.
func TestConformance(t *testing.T) {
	server := startServer(t)
	body := randomBytes(3000, 1)
	tag := server.put(t, "a", body)
	for _, row := range []struct {
		method, path, body, fields string
		status                     int
		want                       string
	}{
		{"GET", "/yard/a", "", "", 200, string(body[:100])},
		{"GET", "/yard/none", "", "", 404, "<Code>NoSuchKey</Code>"},
		{"GET", "/nowhere/a", "", "", 404, "<Code>NoSuchBucket</Code>"},
		{"HEAD", "/yard", "", "", 200, ""},
		{"HEAD", "/nowhere", "", "", 404, ""},
		{"GET", "/yard?location", "", "", 200, "LocationConstraint"},
		{"GET", "/yard?max-keys=x", "", "", 400, "<Code>InvalidArgument</Code>"},
		{"GET", "/yard?list-type=2&continuation-token=%21", "", "", 400, "<Code>InvalidArgument</Code>"},
		{"GET", "/yard?list-type=2", "", "", 200, "<KeyCount>1</KeyCount>"},
		{"GET", "/yard?prefix=zz", "", "", 200, "<IsTruncated>false</IsTruncated>"},
		{"PUT", "/yard", "", "", 405, "<Code>MethodNotAllowed</Code>"},
		{"PATCH", "/yard/a", "", "", 405, "<Code>MethodNotAllowed</Code>"},
		{"GET", "/", "", "", 501, "<Code>NotImplemented</Code>"},
		{"GET", "/yard/a", "", "If-None-Match: " + tag, 304, ""},
		{"GET", "/yard/a", "", `If-Match: "other"`, 412, "<Code>PreconditionFailed</Code>"},
		{"GET", "/yard/a", "", "If-Modified-Since: " + time.Now().Add(time.Hour).UTC().Format(http.TimeFormat), 304, ""},
		{"GET", "/yard/a", "", "If-Unmodified-Since: " + time.Now().Add(-time.Hour).UTC().Format(http.TimeFormat), 412, ""},
		{"GET", "/yard/a", "", "Range: bytes=0-9", 206, string(body[:10])},
		{"GET", "/yard/a", "", "Range: bytes=0-9|If-Range: \"other\"", 200, string(body[:100])},
		{"GET", "/yard/a", "", "Range: bytes=5000-", 416, "<Code>InvalidRange</Code>"},
		{"GET", "/yard/a", "", "Range: bytes=0-3,2000-2003", 206, "Content-Range: bytes 2000-2003/3000"},
		{"GET", "/yard/a", "", "Range: nonsense", 200, string(body[:100])},
		{"HEAD", "/yard/a", "", "Range: bytes=0-9", 206, ""},
		{"PUT", "/yard/a", "x", "If-None-Match: *", 412, "<Code>PreconditionFailed</Code>"},
		{"PUT", "/yard/new", "x", "If-None-Match: *", 200, ""},
		{"PUT", "/yard/new", "y", "If-Match: \"9dd4e461268c8034f5c8564e155c67a6\"", 200, ""}, // the digest of x
		{"PUT", "/yard/new", "y", "If-Match: \"9dd4e461268c8034f5c8564e155c67a6\"", 412, ""},
		{"PUT", "/yard/never", "y", "If-Match: \"9dd4e461268c8034f5c8564e155c67a6\"", 404, "NoSuchKey"},
		{"PUT", "/yard/new", "x", "Content-MD5: AAAAAAAAAAAAAAAAAAAAAA==", 400, "<Code>BadDigest</Code>"},
		{"PUT", "/yard/new", "x", "Content-MD5: short", 400, "<Code>BadDigest</Code>"},
		{"GET", "/yard/new", "", "", 200, "y"},
		{"PUT", "/yard/new", "x", "x-amz-copy-source: /yard/a", 501, "NotImplemented"},
		{"PUT", "/yard/" + strings.Repeat("n", 1025), "x", "", 400, "InvalidArgument"},
		{"DELETE", "/yard/new", "", "If-Match: \"other\"", 412, ""},
		{"DELETE", "/yard/new", "", "", 204, ""},
		{"DELETE", "/yard/new", "", "", 204, ""},
		{"POST", "/yard/m?uploadId=none", "<CompleteMultipartUpload/>", "", 404, "NoSuchUpload"},
		{"POST", "/yard/m?uploadId=none", "<Complete", "", 400, "MalformedXML"},
		{"PUT", "/yard/m?uploadId=none&partNumber=1", "x", "", 404, "NoSuchUpload"},
		{"PUT", "/yard/m?uploadId=none&partNumber=0", "x", "", 400, "InvalidArgument"},
		{"PUT", "/yard/m?uploadId=none&partNumber=10001", "x", "", 400, "InvalidArgument"},
		{"GET", "/yard/m?uploadId=none", "", "", 404, "NoSuchUpload"},
		{"DELETE", "/yard/m?uploadId=none", "", "", 404, "NoSuchUpload"},
		{"GET", "/yard?uploads", "", "", 200, "ListMultipartUploadsResult"},
		{"POST", "/yard/m?uploads", "", "", 200, "<UploadId>"},
		{"GET", "/yard?uploads", "", "", 200, "<Key>m</Key>"},
		{"POST", "/yard/m", "", "", 405, "MethodNotAllowed"},
	} {
		var fields []string
		if row.fields != "" {
			fields = strings.Split(row.fields, "|")
		}
		response, content := rawRequest(t, server, row.method, row.path, []byte(row.body), fields...)
		if response.StatusCode != row.status || !strings.Contains(string(content), row.want) {
			t.Errorf("%s %.60s %s: %d %.200q, want %d with %.60q", row.method, row.path, row.fields, response.StatusCode, content, row.status, row.want)
		}
	}
}
