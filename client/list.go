package client

import (
	"context"
	"encoding/xml"
	"fmt"
	"iter"
	"net/http"
	"net/url"
	"time"
)

// listPage is the gateway's response to a list request: one page of objects and common prefixes.
type listPage struct {
	Contents []struct {
		Key, ETag    string
		Size         int64
		LastModified time.Time
	}
	CommonPrefixes        []struct{ Prefix string }
	IsTruncated           bool
	NextContinuationToken string
}

// List returns the objects of a volume whose names begin with prefix. It requests the pages one by one during the iteration. Names that
// contain delimiter after the prefix are grouped into one Info, which has the common prefix as its Name and Size -1; the groups of a page
// come before its objects. With an empty delimiter, nothing is grouped. The iteration ends after the first error.
func (c *Client) List(ctx context.Context, volume, prefix, delimiter string) iter.Seq2[Info, error] {
	return func(yield func(Info, error) bool) {
		for token := ""; ; {
			page, err := c.listPage(ctx, volume, prefix, delimiter, token)
			if err != nil {
				yield(Info{}, err)
				return
			}
			if !page.yield(yield) {
				return
			}
			if token = page.NextContinuationToken; !page.IsTruncated || token == "" {
				return
			}
		}
	}
}

// listPage requests the page that a continuation token refers to; an empty token stands for the first page.
func (c *Client) listPage(ctx context.Context, volume, prefix, delimiter, token string) (*listPage, error) {
	query := url.Values{"list-type": {"2"}, "prefix": {prefix}, "delimiter": {delimiter}}
	if token != "" {
		query.Set("continuation-token", token)
	}
	response, err := c.do(ctx, &request{method: http.MethodGet, volume: volume, query: query})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the response was only read; an error has no effect
	page := &listPage{}
	if err := xml.NewDecoder(response.Body).Decode(page); err != nil {
		return nil, fmt.Errorf("decode list response: %w", err)
	}
	return page, nil
}

// yield calls yield for each common prefix and object of the page. It returns false if the iteration was stopped.
func (p *listPage) yield(yield func(Info, error) bool) bool {
	for _, common := range p.CommonPrefixes {
		if !yield(Info{Name: common.Prefix, Size: -1}, nil) {
			return false
		}
	}
	for _, object := range p.Contents {
		if !yield(Info{Name: object.Key, ETag: unquoteETag(object.ETag), Size: object.Size, Modified: object.LastModified}, nil) {
			return false
		}
	}
	return true
}
