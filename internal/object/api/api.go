// Package api is the object API over HTTP: buckets are volumes, path style; GET, HEAD, PUT, DELETE, lists, conditions, ranges, multipart
// uploads, in the form that object-store clients know (Amazon S3 REST API, API version 2006-03-01; semantics after RFC 9110).
package api

import (
	"bufio"
	"bytes"
	"crypto/md5"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/xml"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"log/slog"
	"mime/multipart"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/gate"
	"weirhaven/internal/pb"
)

// Config is an API's.
type Config struct {
	Gate      *gate.Gate
	Keys      Keys // nil: no signature is asked for
	Skew      time.Duration
	Requests  int   // at once
	LeastPart int64 // of an upload, but the last; 0: 5 MiB
	// Stall is how long a client may send nothing of a body, or take nothing of an answer, before it is cut off; 0: for ever.
	Stall time.Duration
	Log   *slog.Logger
	Now   func() time.Time
}

type api struct {
	c    Config
	room chan bool
}

// Handler serves it.
func Handler(c Config) http.Handler {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.LeastPart == 0 {
		c.LeastPart = decide.MinPartBytes
	}
	return &api{c, make(chan bool, max(c.Requests, 1))}
}

// call is one request.
type call struct {
	*api
	w            http.ResponseWriter
	r            *http.Request
	volume, name string
	q            url.Values
	payload      string
	begun        bool
}

func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{api: a, w: w, r: r}
	if a.c.Stall > 0 {
		p := &paced{ResponseWriter: w, body: r.Body, control: http.NewResponseController(w), stall: a.c.Stall}
		c.w, r.Body = p, p
		w = p
	}
	w.Header().Set("Server", "weirhaven")
	select {
	case a.room <- true:
		defer func() { <-a.room }()
	default:
		c.fail(decide.SlowDown.With("As many requests as are allowed are under way."))
		return
	}
	if err := c.serve(); err != nil {
		c.fail(err)
	}
}

// paced gives each step of a body's way a time of its own: a client may be slow, but not stand still.
type paced struct {
	http.ResponseWriter
	body    io.ReadCloser
	control *http.ResponseController
	stall   time.Duration
}

func (p *paced) Read(b []byte) (int, error) {
	_ = p.control.SetReadDeadline(time.Now().Add(p.stall))
	return p.body.Read(b)
}

func (p *paced) Write(b []byte) (int, error) {
	_ = p.control.SetWriteDeadline(time.Now().Add(p.stall))
	return p.ResponseWriter.Write(b)
}

func (p *paced) Close() error                { return p.body.Close() }
func (p *paced) Unwrap() http.ResponseWriter { return p.ResponseWriter }

func (c *call) serve() error {
	path, ok := strings.CutPrefix(c.r.URL.Path, "/")
	if !ok {
		return decide.InvalidArgument.With("The path does not begin with /.")
	}
	c.volume, c.name, _ = strings.Cut(path, "/")
	var err error
	if c.q, err = url.ParseQuery(c.r.URL.RawQuery); err != nil {
		return decide.InvalidArgument.With("The query can't be read.")
	}
	access, payload, f := c.c.Keys.check(c.r, c.c.Now(), c.c.Skew)
	if f != nil {
		return f
	}
	c.payload = payload
	switch {
	case c.volume == "":
		return &decide.NotImplemented
	case !access.May(c.volume):
		return decide.AccessDenied.With("The key does not reach the bucket.")
	case !c.c.Gate.HasVolume(c.volume):
		return &decide.NoSuchBucket
	case len(c.name) > decide.MaxNameBytes:
		return decide.InvalidArgument.With("A name of more than %d bytes.", decide.MaxNameBytes)
	case c.name == "":
		return c.bucket()
	}
	id := c.q.Get("uploadId")
	switch c.r.Method {
	case http.MethodGet, http.MethodHead:
		if id != "" {
			return c.listParts(id)
		}
		return c.get()
	case http.MethodPut:
		switch {
		case c.r.Header.Get("X-Amz-Copy-Source") != "":
			return decide.NotImplemented.With("(copy)")
		case id != "":
			return c.putPart(id)
		}
		return c.put()
	case http.MethodDelete:
		if id != "" {
			if err := c.c.Gate.Index().AbortUpload(c.volume, c.name, id, c.now()); err != nil {
				return err
			}
			c.w.WriteHeader(http.StatusNoContent)
			return nil
		}
		return c.delete()
	case http.MethodPost:
		switch {
		case c.q.Has("uploads"):
			return c.begin()
		case id != "":
			return c.complete(id)
		}
	}
	return &decide.MethodNotAllowed
}

// now is the clock by which extents age.
func (c *call) now() time.Duration { return c.c.Gate.Now() }

// date is the wall clock, for what clients are shown.
func (c *call) date() int64 { return c.c.Now().UnixNano() }

func quoted(etag string) string { return `"` + etag + `"` }

func current(o *pb.ObjectRecord) *decide.Representation {
	if o == nil {
		return nil
	}
	return &decide.Representation{ETag: o.Etag, Modified: time.Unix(0, o.Modified), Size: o.Size}
}

// check judges a change's conditions in the transaction that makes it.
func (c *call) check(old *pb.ObjectRecord) error {
	if decide.EvaluatePreconditions(c.r.Header, current(old), false) == decide.PreconditionFails {
		if old == nil && c.r.Header.Get("If-Match") != "" {
			return &decide.NoSuchKey
		}
		return &decide.PreconditionFailed
	}
	return nil
}

// stream is the request's body, and what judges it once it is read.
func (c *call) stream() (in io.Reader, announced int64, done func(md5sum string, size int64) *decide.Fault, f *decide.Fault) {
	in, announced = c.r.Body, c.r.ContentLength
	if c.payload == streamed {
		n, err := strconv.ParseInt(c.r.Header.Get("X-Amz-Decoded-Content-Length"), 10, 64)
		if err != nil {
			return nil, 0, nil, decide.InvalidArgument.With("X-Amz-Decoded-Content-Length is missing.")
		}
		in, announced = &chunked{in: bufio.NewReaderSize(c.r.Body, 4096)}, n
	} else if strings.HasPrefix(c.payload, "STREAMING-") {
		return nil, 0, nil, decide.NotImplemented.With("(%s)", c.payload)
	}
	var hashes []hash.Hash
	var wants [][]byte
	add := func(h hash.Hash, want []byte, err error, what string) {
		if err != nil || len(want) != h.Size() {
			f = decide.BadDigest.With("(%s can't be read)", what)
		}
		hashes, wants = append(hashes, h), append(wants, want)
		in = io.TeeReader(in, h)
	}
	if c.payload != unsigned && c.payload != streamed {
		want, err := hex.DecodeString(c.payload)
		add(sha256.New(), want, err, "X-Amz-Content-Sha256")
	}
	if m := c.r.Header.Get("Content-Md5"); m != "" {
		want, err := base64.StdEncoding.DecodeString(m)
		add(md5.New(), want, err, "Content-MD5")
	}
	if m := c.r.Header.Get("X-Amz-Checksum-Crc32"); m != "" {
		want, err := base64.StdEncoding.DecodeString(m)
		add(crc32.NewIEEE(), want, err, "X-Amz-Checksum-Crc32")
	}
	return in, announced, func(_ string, size int64) *decide.Fault {
		if announced >= 0 && size != announced {
			return decide.IncompleteBody.With("%d of %d.", size, announced)
		}
		for i, h := range hashes {
			if subtle.ConstantTimeCompare(h.Sum(nil), wants[i]) != 1 {
				f := decide.BadDigest
				return &f
			}
		}
		return nil
	}, f
}

// store writes the body as extents, and judges it.
func (c *call) store() (gate.WriteResult, error) {
	in, announced, done, f := c.stream()
	if f != nil {
		return gate.WriteResult{}, f
	}
	if announced > decide.MaxPartBytes {
		return gate.WriteResult{}, decide.EntityTooLarge.With("At most %d.", int64(decide.MaxPartBytes))
	}
	w, err := c.c.Gate.Write(c.r.Context(), c.volume, in, decide.MaxPartBytes)
	if err != nil {
		return w, err
	}
	if f := done(w.ETag, w.Size); f != nil {
		c.drop(w)
		return w, f
	}
	return w, nil
}

// drop gives up what was written and is not held.
func (c *call) drop(w gate.WriteResult) {
	c.c.Gate.Abandon(c.volume, w.Extents)
}

func (c *call) meta() map[string]string {
	m := map[string]string{}
	for k, v := range c.r.Header {
		if name, ok := strings.CutPrefix(k, "X-Amz-Meta-"); ok && len(v) > 0 {
			m[strings.ToLower(name)] = v[0]
		}
	}
	return m
}

func (c *call) put() error {
	if old, err := c.c.Gate.Index().Get(c.volume, c.name); err != nil { // what can't be is not even written
		return err
	} else if err := c.check(old); err != nil {
		return err
	}
	w, err := c.store()
	if err != nil {
		return err
	}
	defer w.Release()
	o := &pb.ObjectRecord{Volume: c.volume, Name: c.name, Etag: w.ETag, Size: w.Size, Modified: c.date(), ContentType: c.r.Header.Get("Content-Type"), Meta: c.meta(),
		Extent: w.Extents}
	if err := c.c.Gate.Index().Commit(o, c.check, c.now()); err != nil {
		c.drop(w)
		return err
	}
	c.w.Header().Set("ETag", quoted(w.ETag))
	c.w.WriteHeader(http.StatusOK)
	return nil
}

func (c *call) delete() error {
	if _, err := c.c.Gate.Index().Delete(c.volume, c.name, c.check, c.now()); err != nil {
		return err
	}
	c.w.WriteHeader(http.StatusNoContent)
	return nil
}

func (c *call) get() error {
	defer c.c.Gate.BeginRead()()
	o, err := c.c.Gate.Index().Get(c.volume, c.name)
	if err != nil {
		return err
	}
	if o == nil {
		return &decide.NoSuchKey
	}
	now := current(o)
	h := c.w.Header()
	h.Set("ETag", quoted(o.Etag))
	h.Set("Last-Modified", now.Modified.UTC().Format(http.TimeFormat))
	h.Set("Accept-Ranges", "bytes")
	for k, v := range o.Meta {
		h.Set("X-Amz-Meta-"+k, v)
	}
	switch decide.EvaluatePreconditions(c.r.Header, now, true) {
	case decide.NotModified:
		c.w.WriteHeader(http.StatusNotModified)
		return nil
	case decide.PreconditionFails:
		return &decide.PreconditionFailed
	}
	typ := o.ContentType
	if typ == "" {
		typ = "binary/octet-stream"
	}
	ranges, fault := decide.ParseRanges(c.r.Header, now)
	if fault != nil {
		h.Set("Content-Range", fmt.Sprintf("bytes */%d", o.Size))
		return fault
	}
	partial, status := len(ranges) > 0, http.StatusPartialContent
	if !partial {
		ranges, status = []decide.Range{{From: 0, Size: o.Size}}, http.StatusOK
	}
	if len(ranges) > 1 {
		return c.several(o, ranges, typ)
	}
	h.Set("Content-Type", typ)
	h.Set("Content-Length", strconv.FormatInt(ranges[0].Size, 10))
	if partial {
		h.Set("Content-Range", ranges[0].ContentRange(o.Size))
	}
	if c.r.Method == http.MethodHead {
		c.w.WriteHeader(status)
		return nil
	}
	return c.c.Gate.Read(c.r.Context(), o, ranges[0], c.w, func() {
		c.begun = true
		c.w.WriteHeader(status)
	})
}

// several answers more than one range (RFC 9110, section 14.6).
func (c *call) several(o *pb.ObjectRecord, ranges []decide.Range, typ string) error {
	if c.r.Method == http.MethodHead {
		c.w.WriteHeader(http.StatusPartialContent)
		return nil
	}
	m := multipart.NewWriter(c.w)
	c.w.Header().Set("Content-Type", "multipart/byteranges; boundary="+m.Boundary())
	for _, r := range ranges {
		var part io.Writer
		err := c.c.Gate.Read(c.r.Context(), o, r, later(func(b []byte) (int, error) { return part.Write(b) }), func() {
			if !c.begun {
				c.begun = true
				c.w.WriteHeader(http.StatusPartialContent)
			}
			part, _ = m.CreatePart(textproto.MIMEHeader{"Content-Type": {typ}, "Content-Range": {r.ContentRange(o.Size)}})
		})
		if err != nil {
			return err
		}
	}
	return m.Close()
}

type later func(b []byte) (int, error)

func (f later) Write(b []byte) (int, error) { return f(b) }

// fail tells a client what went wrong, in the scheme's form. Once an answer has begun only its end can tell.
func (c *call) fail(err error) {
	var f *decide.Fault
	if !errors.As(err, &f) {
		if c.r.Context().Err() == nil {
			c.c.Log.Error("request failed", "method", c.r.Method, "volume", c.volume, "name", c.name, "err", err)
		}
		f = &decide.InternalError
	}
	if c.begun {
		panic(http.ErrAbortHandler) // the connection ends: the client sees that bytes are missing
	}
	h := c.w.Header()
	h.Del("Content-Length")
	h.Del("ETag")
	h.Del("Last-Modified")
	h.Set("Content-Type", "application/xml")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((f.RetryAfter+time.Second-1)/time.Second)))
	}
	if f.Status >= 500 {
		h.Set("X-Weirhaven-May-Have-Run", map[bool]string{true: "yes", false: "no"}[f.MayHaveRun])
	}
	c.w.WriteHeader(f.Status)
	if c.r.Method != http.MethodHead {
		_ = c.xml(struct { // a client that went away needs no answer
			XMLName                 xml.Name `xml:"Error"`
			Code, Message, Resource string
		}{Code: f.Code, Message: f.Message, Resource: c.r.URL.Path})
	}
}

func (c *call) xml(v any) error {
	var b bytes.Buffer
	b.WriteString(xml.Header)
	if err := xml.NewEncoder(&b).Encode(v); err != nil {
		return err
	}
	_, err := c.w.Write(b.Bytes())
	return err
}

// answer is an XML document.
func (c *call) answer(v any) error {
	c.w.Header().Set("Content-Type", "application/xml")
	return c.xml(v)
}

const space = "http://s3.amazonaws.com/doc/2006-03-01/"

func stamp(ns int64) string { return time.Unix(0, ns).UTC().Format("2006-01-02T15:04:05.000Z") }

// bucket answers what is asked of a volume itself.
func (c *call) bucket() error {
	switch {
	case c.r.Method == http.MethodHead:
		c.w.WriteHeader(http.StatusOK)
		return nil
	case c.r.Method != http.MethodGet:
		return decide.MethodNotAllowed.With("Volumes come and go by settings or the planner.")
	case c.q.Has("uploads"):
		return c.listUploads()
	case c.q.Has("location"):
		return c.answer(struct {
			XMLName xml.Name `xml:"LocationConstraint"`
			Space   string   `xml:"xmlns,attr"`
		}{Space: space})
	}
	return c.list()
}

func (c *call) most(name string, usual int) (int, *decide.Fault) {
	s := c.q.Get(name)
	if s == "" {
		return usual, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0, decide.InvalidArgument.With("%s=%.20q.", name, s)
	}
	return min(n, usual), nil
}

func (c *call) list() error {
	most, f := c.most("max-keys", 1000)
	if f != nil {
		return f
	}
	v2 := c.q.Get("list-type") == "2"
	after, token := c.q.Get("start-after"), c.q.Get("continuation-token")
	if !v2 {
		after = c.q.Get("marker")
	}
	if token != "" {
		b, err := base64.URLEncoding.DecodeString(token)
		if err != nil {
			return decide.InvalidArgument.With("The continuation token can't be read.")
		}
		after = string(b)
	}
	prefix, delimiter := c.q.Get("prefix"), c.q.Get("delimiter")
	l, err := c.c.Gate.Index().List(c.volume, prefix, delimiter, after, most)
	if err != nil {
		return err
	}
	spell := func(s string) string { return s }
	if c.q.Get("encoding-type") == "url" {
		spell = func(s string) string { return strings.ReplaceAll(url.QueryEscape(s), "%2F", "/") }
	}
	type entry struct {
		Key, LastModified, ETag string
		Size                    int64
		StorageClass            string
	}
	type common struct{ Prefix string }
	out := struct {
		XMLName               xml.Name `xml:"ListBucketResult"`
		Space                 string   `xml:"xmlns,attr"`
		Name, Prefix          string
		Delimiter             string `xml:",omitempty"`
		EncodingType          string `xml:",omitempty"`
		MaxKeys               int
		KeyCount              *int   `xml:",omitempty"`
		Marker                string `xml:",omitempty"`
		NextMarker            string `xml:",omitempty"`
		StartAfter            string `xml:",omitempty"`
		ContinuationToken     string `xml:",omitempty"`
		NextContinuationToken string `xml:",omitempty"`
		IsTruncated           bool
		Contents              []entry
		CommonPrefixes        []common
	}{Space: space, Name: c.volume, Prefix: spell(prefix), Delimiter: spell(delimiter), EncodingType: c.q.Get("encoding-type"), MaxKeys: most, IsTruncated: l.NextAfter != ""}
	for _, o := range l.Objects {
		out.Contents = append(out.Contents, entry{spell(o.Name), stamp(o.Modified), quoted(o.Etag), o.Size, "STANDARD"})
	}
	for _, p := range l.Prefixes {
		out.CommonPrefixes = append(out.CommonPrefixes, common{spell(p)})
	}
	if v2 {
		n := len(l.Objects) + len(l.Prefixes)
		out.KeyCount, out.ContinuationToken, out.StartAfter = &n, token, spell(c.q.Get("start-after"))
		if l.NextAfter != "" {
			out.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(l.NextAfter))
		}
	} else {
		out.Marker, out.NextMarker = spell(after), spell(l.NextAfter)
	}
	return c.answer(out)
}

func (c *call) begin() error {
	u := &pb.UploadRecord{Volume: c.volume, Name: c.name, Id: gate.NewUploadID(), Begun: c.date(), ContentType: c.r.Header.Get("Content-Type"), Meta: c.meta()}
	if err := c.c.Gate.Index().CreateUpload(u); err != nil {
		return err
	}
	return c.answer(struct {
		XMLName     xml.Name `xml:"InitiateMultipartUploadResult"`
		Space       string   `xml:"xmlns,attr"`
		Bucket, Key string
		UploadID    string `xml:"UploadId"`
	}{Space: space, Bucket: c.volume, Key: c.name, UploadID: u.Id})
}

func (c *call) putPart(id string) error {
	n, err := strconv.Atoi(c.q.Get("partNumber"))
	if err != nil || n < 1 || n > decide.MaxParts {
		return decide.InvalidArgument.With("partNumber=%.20q; allowed: 1 to %d.", c.q.Get("partNumber"), decide.MaxParts)
	}
	if _, err := c.c.Gate.Index().GetUpload(c.volume, c.name, id); err != nil {
		return err
	}
	w, err := c.store()
	if err != nil {
		return err
	}
	defer w.Release()
	p := &pb.PartRecord{Number: uint32(n), Etag: w.ETag, Size: w.Size, Modified: c.date(), Extent: w.Extents}
	if err := c.c.Gate.Index().PutPart(c.volume, c.name, id, p, c.now()); err != nil {
		c.drop(w)
		return err
	}
	c.w.Header().Set("ETag", quoted(w.ETag))
	c.w.WriteHeader(http.StatusOK)
	return nil
}

func (c *call) complete(id string) error {
	var in struct {
		Part []struct {
			PartNumber uint32
			ETag       string
		}
	}
	if err := xml.NewDecoder(io.LimitReader(c.r.Body, 4<<20)).Decode(&in); err != nil {
		return decide.MalformedXML.With("(%v)", err)
	}
	var named []decide.CompletedPart
	for _, p := range in.Part {
		named = append(named, decide.CompletedPart{Number: p.PartNumber, ETag: strings.Trim(p.ETag, `"`)})
	}
	o, err := c.c.Gate.Index().CompleteUpload(c.volume, c.name, id, named, c.c.LeastPart, c.check, c.now())
	if err != nil {
		return err
	}
	return c.answer(struct {
		XMLName                     xml.Name `xml:"CompleteMultipartUploadResult"`
		Space                       string   `xml:"xmlns,attr"`
		Location, Bucket, Key, ETag string
	}{Space: space, Location: c.r.URL.Path, Bucket: c.volume, Key: c.name, ETag: quoted(o.Etag)})
}

func (c *call) listParts(id string) error {
	most, f := c.most("max-parts", 1000)
	if f != nil {
		return f
	}
	after, _ := strconv.Atoi(c.q.Get("part-number-marker"))
	all, err := c.c.Gate.Index().ListParts(c.volume, c.name, id)
	if err != nil {
		return err
	}
	type part struct {
		PartNumber         uint32
		LastModified, ETag string
		Size               int64
	}
	out := struct {
		XMLName              xml.Name `xml:"ListPartsResult"`
		Space                string   `xml:"xmlns,attr"`
		Bucket, Key          string
		UploadID             string `xml:"UploadId"`
		PartNumberMarker     int
		NextPartNumberMarker uint32
		MaxParts             int
		IsTruncated          bool
		Part                 []part
	}{Space: space, Bucket: c.volume, Key: c.name, UploadID: id, PartNumberMarker: after, MaxParts: most}
	for _, p := range all {
		if int(p.Number) <= after {
			continue
		}
		if len(out.Part) >= most {
			out.IsTruncated = true
			break
		}
		out.Part = append(out.Part, part{p.Number, stamp(p.Modified), quoted(p.Etag), p.Size})
		out.NextPartNumberMarker = p.Number
	}
	return c.answer(out)
}

func (c *call) listUploads() error {
	all, err := c.c.Gate.Index().ListUploads(c.volume)
	if err != nil {
		return err
	}
	type upload struct {
		Key       string
		UploadID  string `xml:"UploadId"`
		Initiated string
	}
	out := struct {
		XMLName xml.Name `xml:"ListMultipartUploadsResult"`
		Space   string   `xml:"xmlns,attr"`
		Bucket  string
		Prefix  string
		Upload  []upload
	}{Space: space, Bucket: c.volume, Prefix: c.q.Get("prefix")}
	for _, u := range all {
		if strings.HasPrefix(u.Name, out.Prefix) && len(out.Upload) < 1000 {
			out.Upload = append(out.Upload, upload{u.Name, u.Id, stamp(u.Begun)})
		}
	}
	return c.answer(out)
}
