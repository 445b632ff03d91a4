package api

import (
	"encoding/base64"
	"encoding/xml"
	"net/url"
	"strconv"
	"strings"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/index"
)

const (
	maxListedKeys    = 1000 // maximum number of objects and common prefixes in a page
	maxListedParts   = 1000 // maximum number of parts in a page
	maxListedUploads = 1000 // maximum number of uploads in a list, which has only one page
)

// listRequest holds the parameters of a request for a page of objects, in version 1 or 2 of the list API.
type listRequest struct {
	version2          bool
	prefix, delimiter string
	after             string // name or prefix after which the page begins
	startAfter, token string // parameters start-after and continuation-token as sent by the client
	encoding          string // encoding of names in the response; "url": percent-encoded
	limit             int    // maximum number of objects and common prefixes in the page
}

type listResponse struct {
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
	Contents              []objectEntry
	CommonPrefixes        []prefixEntry
}

type objectEntry struct {
	Key, LastModified, ETag string
	Size                    int64
	StorageClass            string
}

type prefixEntry struct{ Prefix string }

func (c *call) listObjects() error {
	list, err := c.parseList()
	if err != nil {
		return err
	}
	page, err := c.config.Gate.Index().List(c.volume, list.prefix, list.delimiter, list.after, list.limit)
	if err != nil {
		return err
	}
	return c.sendXML(list.response(c.volume, page))
}

func (c *call) parseList() (*listRequest, error) {
	limit, fault := c.limitParameter("max-keys", maxListedKeys)
	if fault != nil {
		return nil, fault
	}
	list := &listRequest{version2: c.query.Get("list-type") == "2", limit: limit, prefix: c.query.Get("prefix"), delimiter: c.query.Get("delimiter"),
		startAfter: c.query.Get("start-after"), token: c.query.Get("continuation-token"), encoding: c.query.Get("encoding-type")}
	list.after = list.startAfter
	if !list.version2 {
		list.after = c.query.Get("marker")
	}
	if list.token != "" {
		after, err := base64.URLEncoding.DecodeString(list.token)
		if err != nil {
			return nil, decide.InvalidArgument.With("The continuation token can't be read.")
		}
		list.after = string(after)
	}
	return list, nil
}

// limitParameter returns the page size given by a query parameter. maximum is the upper limit and the default.
func (c *call) limitParameter(name string, maximum int) (int, *decide.Fault) {
	value := c.query.Get(name)
	if value == "" {
		return maximum, nil
	}
	limit, err := strconv.Atoi(value)
	if err != nil || limit < 0 {
		return 0, decide.InvalidArgument.With("%s=%.20q.", name, value)
	}
	return min(limit, maximum), nil
}

func (l *listRequest) response(volume string, page index.ListPage) listResponse {
	response := listResponse{Space: xmlSpace, Name: volume, Prefix: l.encode(l.prefix), Delimiter: l.encode(l.delimiter), EncodingType: l.encoding,
		MaxKeys: l.limit, IsTruncated: page.NextAfter != ""}
	for _, object := range page.Objects {
		response.Contents = append(response.Contents,
			objectEntry{l.encode(object.Name), xmlTime(object.Modified), quoteETag(object.Etag), object.Size, "STANDARD"})
	}
	for _, prefix := range page.Prefixes {
		response.CommonPrefixes = append(response.CommonPrefixes, prefixEntry{l.encode(prefix)})
	}
	if !l.version2 {
		response.Marker, response.NextMarker = l.encode(l.after), l.encode(page.NextAfter)
		return response
	}
	count := len(page.Objects) + len(page.Prefixes)
	response.KeyCount, response.ContinuationToken, response.StartAfter = &count, l.token, l.encode(l.startAfter)
	if page.NextAfter != "" {
		response.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(page.NextAfter))
	}
	return response
}

// encode percent-encodes a name if the client requested it, since XML can't represent all characters of names.
func (l *listRequest) encode(name string) string {
	if l.encoding != "url" {
		return name
	}
	return strings.ReplaceAll(url.QueryEscape(name), "%2F", "/")
}
