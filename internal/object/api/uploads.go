package api

import (
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/gate"
	"weirhaven/internal/pb"
)

// maxCompleteBytes is the maximum size of the document that completes an upload. It is enough for decide.MaxParts parts.
const maxCompleteBytes = 4 << 20

type createUploadResponse struct {
	XMLName     xml.Name `xml:"InitiateMultipartUploadResult"`
	Space       string   `xml:"xmlns,attr"`
	Bucket, Key string
	UploadID    string `xml:"UploadId"`
}

func (c *call) createUpload() error {
	upload := &pb.UploadRecord{Volume: c.volume, Name: c.name, Id: gate.NewUploadID(), Begun: c.date(),
		ContentType: c.request.Header.Get("Content-Type"), Meta: c.metadata()}
	if err := c.config.Gate.Index().CreateUpload(upload); err != nil {
		return err
	}
	return c.sendXML(createUploadResponse{Space: xmlSpace, Bucket: c.volume, Key: c.name, UploadID: upload.Id})
}

func (c *call) putPart(uploadID string) error {
	number, err := strconv.Atoi(c.query.Get("partNumber"))
	if err != nil || number < 1 || number > decide.MaxParts {
		return decide.InvalidArgument.With("partNumber=%.20q; allowed: 1 to %d.", c.query.Get("partNumber"), decide.MaxParts)
	}
	if _, err := c.config.Gate.Index().GetUpload(c.volume, c.name, uploadID); err != nil {
		return err
	}
	return c.store(func(stored gate.WriteResult) error {
		part := &pb.PartRecord{Number: uint32(number), Etag: stored.ETag, Size: stored.Size, Modified: c.date(), Extent: stored.Extents}
		return c.config.Gate.Index().PutPart(c.volume, c.name, uploadID, part, c.gateNow())
	})
}

type completeUploadRequest struct {
	Part []struct {
		PartNumber uint32
		ETag       string
	}
}

type completeUploadResponse struct {
	XMLName                     xml.Name `xml:"CompleteMultipartUploadResult"`
	Space                       string   `xml:"xmlns,attr"`
	Location, Bucket, Key, ETag string
}

func (c *call) completeUpload(uploadID string) error {
	var document completeUploadRequest
	if err := xml.NewDecoder(io.LimitReader(c.request.Body, maxCompleteBytes)).Decode(&document); err != nil {
		return decide.MalformedXML.With("(%v)", err)
	}
	var named []decide.CompletedPart
	for _, part := range document.Part {
		named = append(named, decide.CompletedPart{Number: part.PartNumber, ETag: strings.Trim(part.ETag, `"`)})
	}
	object, err := c.config.Gate.Index().CompleteUpload(c.volume, c.name, uploadID, named, c.config.MinPartBytes, c.checkPreconditions, c.gateNow())
	if err != nil {
		return err
	}
	return c.sendXML(completeUploadResponse{Space: xmlSpace, Location: c.request.URL.Path, Bucket: c.volume, Key: c.name, ETag: quoteETag(object.Etag)})
}

func (c *call) abortUpload(uploadID string) error {
	if err := c.config.Gate.Index().AbortUpload(c.volume, c.name, uploadID, c.gateNow()); err != nil {
		return err
	}
	c.response.WriteHeader(http.StatusNoContent)
	return nil
}

type listPartsResponse struct {
	XMLName              xml.Name `xml:"ListPartsResult"`
	Space                string   `xml:"xmlns,attr"`
	Bucket, Key          string
	UploadID             string `xml:"UploadId"`
	PartNumberMarker     int
	NextPartNumberMarker uint32
	MaxParts             int
	IsTruncated          bool
	Part                 []partEntry
}

type partEntry struct {
	PartNumber         uint32
	LastModified, ETag string
	Size               int64
}

func (c *call) listParts(uploadID string) error {
	limit, fault := c.limitParameter("max-parts", maxListedParts)
	if fault != nil {
		return fault
	}
	after, _ := strconv.Atoi(c.query.Get("part-number-marker")) // if absent or not a number, the list begins with the first part
	parts, err := c.config.Gate.Index().ListParts(c.volume, c.name, uploadID)
	if err != nil {
		return err
	}
	response := listPartsResponse{Space: xmlSpace, Bucket: c.volume, Key: c.name, UploadID: uploadID, PartNumberMarker: after, MaxParts: limit}
	for _, part := range parts {
		if int(part.Number) <= after {
			continue
		}
		if len(response.Part) >= limit {
			response.IsTruncated = true
			break
		}
		response.Part = append(response.Part, partEntry{part.Number, xmlTime(part.Modified), quoteETag(part.Etag), part.Size})
		response.NextPartNumberMarker = part.Number
	}
	return c.sendXML(response)
}

type listUploadsResponse struct {
	XMLName xml.Name `xml:"ListMultipartUploadsResult"`
	Space   string   `xml:"xmlns,attr"`
	Bucket  string
	Prefix  string
	Upload  []uploadEntry
}

type uploadEntry struct {
	Key       string
	UploadID  string `xml:"UploadId"`
	Initiated string
}

func (c *call) listUploads() error {
	uploads, err := c.config.Gate.Index().ListUploads(c.volume)
	if err != nil {
		return err
	}
	response := listUploadsResponse{Space: xmlSpace, Bucket: c.volume, Prefix: c.query.Get("prefix")}
	for _, upload := range uploads {
		if strings.HasPrefix(upload.Name, response.Prefix) && len(response.Upload) < maxListedUploads {
			response.Upload = append(response.Upload, uploadEntry{upload.Name, upload.Id, xmlTime(upload.Begun)})
		}
	}
	return c.sendXML(response)
}
