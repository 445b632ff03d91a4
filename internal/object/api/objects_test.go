package api

import (
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"weirhaven/internal/engine"
)

// Checks storing, reading, listing and deleting objects with the AWS SDK, including sizes just below and above the extent size.
func TestObjects(t *testing.T) {
	server := startServer(t)
	for _, n := range []int{0, 1, 1023, 1024, 1025, 10000} {
		name, body := fmt.Sprintf("dir/of size %d+ü", n), randomBytes(n, int64(n))
		tag := server.put(t, name, body)
		sum := md5.Sum(body)
		if tag != `"`+hex.EncodeToString(sum[:])+`"` {
			t.Error(tag)
		}
		got, o, err := server.get(name, "")
		if err != nil || !bytes.Equal(got, body) || *o.ContentType != "text/plain" || o.Metadata["colour"] != "blue" || *o.ETag != tag {
			t.Errorf("%d: %v, %d bytes", n, err, len(got))
		}
		h, err := server.s3.HeadObject(ctx, &s3.HeadObjectInput{Bucket: aws.String("yard"), Key: aws.String(name)})
		if err != nil || *h.ContentLength != int64(n) {
			t.Error(err, h)
		}
		if n > 2000 {
			if got, o, err := server.get(name, "bytes=1000-2100"); err != nil || !bytes.Equal(got, body[1000:2101]) || *o.ContentRange != "bytes 1000-2100/10000" {
				t.Error(err, len(got))
			}
			if got, _, err := server.get(name, "bytes=-5"); err != nil || !bytes.Equal(got, body[n-5:]) {
				t.Error(err, len(got))
			}
			if _, _, err := server.get(name, "bytes=10000-"); errorCode(err) != "InvalidRange" {
				t.Error(err)
			}
		}
	}
	for i := range 25 {
		server.put(t, fmt.Sprintf("list/%02d/x", i), []byte("x"))
	}
	var names, prefixes []string
	paginator := s3.NewListObjectsV2Paginator(server.s3, &s3.ListObjectsV2Input{Bucket: aws.String("yard"), MaxKeys: aws.Int32(4), Prefix: aws.String("list/")})
	for paginator.HasMorePages() {
		page, err := paginator.NextPage(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range page.Contents {
			names = append(names, *o.Key)
		}
	}
	if len(names) != 25 || !slices.IsSorted(names) {
		t.Error(names)
	}
	paginator = s3.NewListObjectsV2Paginator(server.s3, &s3.ListObjectsV2Input{Bucket: aws.String("yard"), MaxKeys: aws.Int32(7), Prefix: aws.String("list/"), Delimiter: aws.String("/")})
	for paginator.HasMorePages() {
		page, err := paginator.NextPage(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range page.CommonPrefixes {
			prefixes = append(prefixes, *o.Prefix)
		}
	}
	if len(prefixes) != 25 || prefixes[3] != "list/03/" {
		t.Error(prefixes)
	}
	if _, err := server.s3.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: aws.String("yard"), Key: aws.String("list/00/x")}); err != nil {
		t.Error(err)
	}
	if _, _, err := server.get("list/00/x", ""); errorCode(err) != "NoSuchKey" {
		t.Error(err)
	}
	if _, err := server.s3.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: aws.String("yard"), Key: aws.String("never was")}); err != nil {
		t.Error(err)
	}
	if server.engine.maxInFlight > 4*1 {
		t.Errorf("%d extents in flight, 4 are allowed", server.engine.maxInFlight)
	}
}

// Guards against a read that returns a mix of two objects or fails: the object is replaced and the sweep runs while a slow client reads
// it. The client must get the complete old object, and the old extents must be removed only after the read has ended.
func TestReadWhileObjectIsReplaced(t *testing.T) {
	server := startServer(t)
	before, after := randomBytes(20<<10, 1), randomBytes(20<<10, 2)
	server.put(t, "a", before)
	readStarted, continueRead := make(chan bool), make(chan bool)
	reads := 0
	server.engine.setFailure(func(request *engine.Request) *engine.Response {
		if request.Class == "read" {
			if reads++; reads == 6 { // in the middle of the object
				close(readStarted)
				server.engine.mu.Unlock()
				<-continueRead
				server.engine.mu.Lock()
			}
		}
		return nil
	})
	got := make(chan []byte, 1)
	go func() {
		b, _, err := server.get("a", "")
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	<-readStarted
	server.put(t, "a", after)
	if removed, _, err := server.gate.Sweep(ctx); err != nil || removed != 0 {
		t.Error("the sweep removed extents that are being read", removed, err)
	}
	close(continueRead)
	if b := <-got; !bytes.Equal(b, before) {
		t.Errorf("got %d bytes; they are the old object: %v", len(b), bytes.Equal(b, before))
	}
	if b, _, err := server.get("a", ""); err != nil || !bytes.Equal(b, after) {
		t.Error(err)
	}
	if removed, remaining, err := server.gate.Sweep(ctx); err != nil || removed != 20 || remaining != 0 {
		t.Error(removed, remaining, err)
	}
}

// Guards against changing object names that contain control characters, dot segments, characters with a meaning in URLs, or non-ASCII
// characters.
func TestUnusualNames(t *testing.T) {
	server := startServer(t)
	var all []string
	for r := rune(1); r < 0x180; r++ {
		all = append(all, "n"+string(r)+"/"+string(r)+"x")
	}
	all = append(all, "../up", "a//b", "sp ace", "pl+us", "per%cent", "q?x=y", "h#ash", "日本", "🙂")
	for _, name := range all {
		server.put(t, name, []byte(name))
		if b, _, err := server.get(name, ""); err != nil || string(b) != name {
			t.Errorf("%q: %v, %q", name, err, b)
		}
	}
}
