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

// listPage is a page of names as the gateway sends it.
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

// List returns a volume's objects whose names begin with prefix, page by page as they are ranged over. With a delimiter, names in which it
// follows the prefix are returned once for all, as an Info with the common prefix for a name and Size -1; each page has these first.
// An error ends the list.
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

// listPage gets the page behind a continuation token; empty: the first.
func (c *Client) listPage(ctx context.Context, volume, prefix, delimiter, token string) (*listPage, error) {
	query := url.Values{"list-type": {"2"}, "prefix": {prefix}, "delimiter": {delimiter}}
	if token != "" {
		query.Set("continuation-token", token)
	}
	response, err := c.do(ctx, &request{method: http.MethodGet, volume: volume, query: query})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // only read
	page := &listPage{}
	if err := xml.NewDecoder(response.Body).Decode(page); err != nil {
		return nil, fmt.Errorf("the list can't be read: %w", err)
	}
	return page, nil
}

// yield passes on what the page holds; false: no more is wanted.
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
