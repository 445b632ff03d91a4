package api

import (
	"bytes"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"weirhaven/internal/engine"
)

// Guards against wrong content and leaked extents of a multipart upload. Parts are uploaded concurrently, each of them twice; one part is
// not listed when the upload is completed, and another upload is never completed. The object must consist of the listed parts, and the
// sweep must remove all other extents, those of the idle upload after its timeout.
func TestMultipart(t *testing.T) {
	server := startServer(t)
	name := aws.String("big")
	upload, err := server.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: name})
	if err != nil {
		t.Fatal(err)
	}
	var whole []byte
	bodies := map[int32][]byte{}
	for n := range int32(6) {
		bodies[n+1] = randomBytes(3000, int64(n))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	done := map[int32]types.CompletedPart{}
	for n, b := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 2 { // the second replaces the first
				o, err := server.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: name, UploadId: upload.UploadId, PartNumber: aws.Int32(n), Body: bytes.NewReader(b)})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				done[n] = types.CompletedPart{PartNumber: aws.Int32(n), ETag: o.ETag}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	listed, err := server.s3.ListParts(ctx, &s3.ListPartsInput{Bucket: aws.String("yard"), Key: name, UploadId: upload.UploadId, MaxParts: aws.Int32(4)})
	if err != nil || len(listed.Parts) != 4 || !*listed.IsTruncated {
		t.Error(err, listed)
	}
	var named []types.CompletedPart
	for n := int32(1); n <= 5; n++ { // the sixth is left out
		named, whole = append(named, done[n]), append(whole, bodies[n]...)
	}
	complete := func(parts []types.CompletedPart) error {
		_, err := server.s3.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{Bucket: aws.String("yard"), Key: name, UploadId: upload.UploadId,
			MultipartUpload: &types.CompletedMultipartUpload{Parts: parts}})
		return err
	}
	if err := complete([]types.CompletedPart{named[1], named[0]}); errorCode(err) != "InvalidPartOrder" {
		t.Error(err)
	}
	if err := complete([]types.CompletedPart{{PartNumber: aws.Int32(1), ETag: aws.String("nonsense")}}); errorCode(err) != "InvalidPart" {
		t.Error(err)
	}
	if _, _, err := server.get("big", ""); errorCode(err) != "NoSuchKey" {
		t.Error("the object is visible before the upload is completed", err)
	}
	if err := complete(named); err != nil {
		t.Fatal(err)
	}
	if err := complete(named); errorCode(err) != "NoSuchUpload" {
		t.Error(err)
	}
	if got, o, err := server.get("big", ""); err != nil || !bytes.Equal(got, whole) || !strings.HasSuffix(*o.ETag, `-5"`) {
		t.Error(err, len(got))
	}
	if got, _, err := server.get("big", "bytes=2990-3010"); err != nil || !bytes.Equal(got, whole[2990:3011]) {
		t.Error(err)
	}
	idle, err := server.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("left")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := server.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: aws.String("left"), UploadId: idle.UploadId, PartNumber: aws.Int32(1),
		Body: bytes.NewReader(randomBytes(5000, 9))}); err != nil {
		t.Fatal(err)
	}
	sweep := func() (removed, remaining int) {
		for {
			n, listed, err := server.gate.Sweep(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if removed += n; n == 0 {
				return removed, listed
			}
		}
	}
	if removed, remaining := sweep(); removed != 6*3+3 || remaining != 0 { // the extents of the six parts that were replaced, and of part 6, which is not listed
		t.Error(removed, remaining)
	}
	server.clockOffset = 2 * time.Hour
	if removed, remaining := sweep(); removed != 5 || remaining != 0 { // the extents of the idle upload
		t.Error(removed, remaining)
	}
	if got, _, err := server.get("big", ""); err != nil || !bytes.Equal(got, whole) || server.engine.storedExtents() != 15 {
		t.Error(err, len(got), server.engine.storedExtents())
	}
}

// Guards against mixing the bytes of concurrent uploads of the same part. One part is uploaded eight times at once with different bytes.
// Each upload gets its own entity tag; the object must have the bytes of exactly one of them, and the other extents must be removed.
func TestConcurrentUploadsOfOnePart(t *testing.T) {
	server := startServer(t)
	upload, err := server.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("a")})
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	tags := make([]string, 8)
	for i := range tags {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o, err := server.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: aws.String("a"), UploadId: upload.UploadId, PartNumber: aws.Int32(1),
				Body: bytes.NewReader(randomBytes(5000, int64(i)))})
			if err != nil {
				t.Error(err)
				return
			}
			tags[i] = *o.ETag
		}()
	}
	wg.Wait()
	completed := -1
	for i, tag := range tags {
		_, err := server.s3.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("a"), UploadId: upload.UploadId,
			MultipartUpload: &types.CompletedMultipartUpload{Parts: []types.CompletedPart{{PartNumber: aws.Int32(1), ETag: aws.String(tag)}}}})
		switch {
		case err == nil:
			completed = i
		case errorCode(err) != "InvalidPart" && errorCode(err) != "NoSuchUpload": // the part was replaced, or the upload has been completed
			t.Error(err)
		}
	}
	if completed < 0 {
		t.Fatal("the upload could not be completed with any of the entity tags")
	}
	if b, _, err := server.get("a", ""); err != nil || !bytes.Equal(b, randomBytes(5000, int64(completed))) {
		t.Error(err)
	}
	for {
		n, _, err := server.gate.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			break
		}
	}
	if server.engine.storedExtents() != 5 {
		t.Errorf("%d extents have bytes", server.engine.storedExtents())
	}
}

// Guards against a delayed upload of a part that changes the wrong bytes. First, a client retries the upload of a part while its first
// upload is delayed at an endpoint and finishes last: the part must have the bytes of the first upload. Then an upload is completed
// while a part is being uploaded again: the object must have the bytes of the earlier upload, and the later one must fail.
func TestLateUploadOfPart(t *testing.T) {
	server := startServer(t)
	createUpload := func(name string) *string {
		u, err := server.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String(name)})
		if err != nil {
			t.Fatal(err)
		}
		return u.UploadId
	}
	uploadPart := func(name string, id *string, body []byte) (string, error) {
		o, err := server.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: aws.String(name), UploadId: id, PartNumber: aws.Int32(1), Body: bytes.NewReader(body)})
		if err != nil {
			return "", err
		}
		return *o.ETag, nil
	}
	complete := func(name string, id *string, tag string) error {
		_, err := server.s3.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String(name), UploadId: id,
			MultipartUpload: &types.CompletedMultipartUpload{Parts: []types.CompletedPart{{PartNumber: aws.Int32(1), ETag: aws.String(tag)}}}})
		return err
	}
	// holdNextRequest blocks the next request to the engine until release is closed. reached is closed when the request blocks.
	holdNextRequest := func() (reached, release chan bool) {
		reached, release = make(chan bool), make(chan bool)
		fired := false // guarded by the engine's lock
		server.engine.setFailure(func(*engine.Request) *engine.Response {
			if !fired {
				fired = true
				close(reached)
				server.engine.mu.Unlock()
				<-release
				server.engine.mu.Lock()
			}
			return nil
		})
		return reached, release
	}
	firstBody, secondBody := randomBytes(900, 1), randomBytes(900, 2)
	id := createUpload("late")
	reached, release := holdNextRequest()
	first := make(chan string, 1)
	go func() {
		tag, err := uploadPart("late", id, firstBody)
		if err != nil {
			t.Error(err)
		}
		first <- tag
	}()
	<-reached
	if _, err := uploadPart("late", id, secondBody); err != nil {
		t.Fatal(err)
	}
	close(release)
	tag := <-first
	if err := complete("late", id, tag); err != nil {
		t.Error(err)
	}
	if b, _, err := server.get("late", ""); err != nil || !bytes.Equal(b, firstBody) {
		t.Error("the part does not have the bytes of the upload that finished last", err)
	}
	id = createUpload("flight")
	server.engine.setFailure(nil)
	tag, err := uploadPart("flight", id, firstBody)
	if err != nil {
		t.Fatal(err)
	}
	reached, release = holdNextRequest()
	second := make(chan error, 1)
	go func() {
		_, err := uploadPart("flight", id, secondBody)
		second <- err
	}()
	<-reached
	if err := complete("flight", id, tag); err != nil {
		t.Error(err)
	}
	close(release)
	if err := <-second; errorCode(err) != "NoSuchUpload" {
		t.Error(err)
	}
	if b, _, err := server.get("flight", ""); err != nil || !bytes.Equal(b, firstBody) {
		t.Error("a part that was still being uploaded changed a completed object", err)
	}
	for {
		n, _, err := server.gate.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			break
		}
	}
	if server.engine.storedExtents() != 2 {
		t.Errorf("%d extents have bytes", server.engine.storedExtents())
	}
}

// Guards against panics and wrong statuses: any document that completes an upload without parts must get a response with status 4xx.
func FuzzComplete(f *testing.F) {
	f.Add([]byte("<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>x</ETag></Part></CompleteMultipartUpload>"))
	server := startServer(f)
	upload, err := server.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("f")})
	if err != nil {
		f.Fatal(err)
	}
	handler := Handler(Config{Gate: server.gate, MaxRequests: 1, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	f.Fuzz(func(t *testing.T, body []byte) {
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest("POST", "/yard/f?uploadId="+*upload.UploadId, bytes.NewReader(body)))
		if response.Code < 400 || response.Code > 499 {
			t.Fatalf("%d for %q", response.Code, body)
		}
	})
}
