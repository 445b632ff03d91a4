package decide

import (
	"crypto/md5"
	"encoding/hex"
	"fmt"

	"weirhaven/internal/pb"
)

// Limits of objects and uploads, the same as in Amazon S3.
const (
	MaxParts     = 10000   // parts of one upload
	MinPartBytes = 5 << 20 // size of each part except the last
	MaxPartBytes = 5 << 30 // size of a part, and of an object stored with a single PUT
	MaxNameBytes = 1024    // length of an object's name
)

// CompletedPart is one entry of the part list in the client's request to complete an upload.
type CompletedPart struct {
	Number uint32
	ETag   string
}

// CompletedUpload describes the object made from the parts of an upload.
type CompletedUpload struct {
	Extents []*pb.ExtentRecord // extents of the object, in order
	Unused  []*pb.ExtentRecord // extents of the parts that the client did not list
	Size    int64              // bytes
	ETag    string             // MD5 of the parts' MD5 digests in hex, a hyphen and the number of parts
}

// CompleteUpload makes an object from the uploaded parts that the client lists in named. The client must list the parts in ascending
// order, each with its entity tag. Each listed part except the last must have at least minPart bytes.
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

// checkPart checks entry i of the client's list against the uploaded part. part is nil if no such part was uploaded, or if an earlier
// entry has the same number.
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
