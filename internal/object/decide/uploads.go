package decide

import (
	"crypto/md5"
	"encoding/hex"
	"fmt"

	"weirhaven/internal/pb"
)

// Limits of objects and uploads, as clients of the S3 API know them.
const (
	MaxParts     = 10000   // of one upload
	MinPartBytes = 5 << 20 // of each part but the last
	MaxPartBytes = 5 << 30 // of a part, and of an object that is put at once
	MaxNameBytes = 1024    // of an object's name
)

// CompletedPart is a part as the client names it when it completes an upload.
type CompletedPart struct {
	Number uint32
	ETag   string
}

// CompletedUpload is the object that an upload comes to.
type CompletedUpload struct {
	Extents []*pb.ExtentRecord // of the object, in order
	Unused  []*pb.ExtentRecord // of the parts that the client did not name
	Size    int64              // bytes
	ETag    string             // MD5 of the parts' MD5 digests, in hex, and the number of parts
}

// CompleteUpload makes an object of the parts that the client named, out of those that were uploaded. Parts have to be named in ascending
// order, each with its entity tag; all but the last need minPart bytes.
func CompleteUpload(named []CompletedPart, uploaded []*pb.PartRecord, minPart int64) (object CompletedUpload, fault *Fault) {
	if len(named) == 0 {
		return CompletedUpload{}, MalformedXML.With("No part is named.")
	}
	unused := map[uint32]*pb.PartRecord{}
	for _, part := range uploaded {
		unused[part.Number] = part
	}
	digests := md5.New()
	for i, name := range named {
		part := unused[name.Number]
		if fault := checkPart(named, i, part, minPart); fault != nil {
			return CompletedUpload{}, fault
		}
		digest, err := hex.DecodeString(part.Etag)
		if err != nil {
			return CompletedUpload{}, InvalidPart.With("Part %d.", name.Number)
		}
		digests.Write(digest)
		object.Extents = append(object.Extents, part.Extent...)
		object.Size += part.Size
		delete(unused, name.Number)
	}
	for _, part := range unused {
		object.Unused = append(object.Unused, part.Extent...)
	}
	object.ETag = fmt.Sprintf("%s-%d", hex.EncodeToString(digests.Sum(nil)), len(named))
	return object, nil
}

// checkPart checks the named part i against the uploaded one; nil: there is none, or it was named before.
func checkPart(named []CompletedPart, i int, part *pb.PartRecord, minPart int64) *Fault {
	number := named[i].Number
	switch {
	case part == nil || part.Etag != named[i].ETag:
		return InvalidPart.With("Part %d.", number)
	case i > 0 && number <= named[i-1].Number:
		return InvalidPartOrder.With("Part %d after %d.", number, named[i-1].Number)
	case i < len(named)-1 && part.Size < minPart:
		return EntityTooSmall.With("Part %d has %d bytes, %d are the least.", number, part.Size, minPart)
	}
	return nil
}
