package decide

import (
	"cmp"
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"weirhaven/internal/pb"
)

// Piece is a part of one extent.
type Piece struct {
	Extent     *pb.ExtentRecord
	From, Size int64
}

// Pieces are what a range takes, in order. Extents are read whole: their sum is over all their bytes.
func Pieces(extents []*pb.ExtentRecord, r Range) (all []Piece) {
	at := int64(0)
	for _, e := range extents {
		from, to := max(r.From-at, 0), min(r.From+r.Size-at, e.Size)
		if from < to {
			all = append(all, Piece{e, from, to - from})
		}
		at += e.Size
	}
	return all
}

// Cells are the cells of a volume in the order in which an extent tries them: the first is where it goes; a try that failed goes on
// with the next, under a new id. Each extent has an order of its own, so that all cells get the same share, and one that comes
// or goes moves no other's first (rendezvous hashing, Thaler and Ravishankar 1998).
func Cells(cells []uint32, id string) []uint32 {
	out := slices.Clone(cells)
	rank := func(c uint32) uint64 { return xxhash.Sum64String(fmt.Sprint(id, "/", c)) }
	slices.SortFunc(out, func(a, b uint32) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b)) })
	return out
}

// Units by which a command of so many bytes counts: one at least.
func Units(size int64, unit int64) float64 { return max(1, float64(size)/float64(unit)) }

// Fault is what a client is told.
type Fault struct {
	Status int
	Code   string
	Text   string
	After  time.Duration // Retry-After
	MayRan bool          // what was asked for may have happened
}

func (f *Fault) Error() string { return f.Code + ": " + f.Text }

// Of faults.
var (
	NoSuchKey    = Fault{404, "NoSuchKey", "The specified key does not exist.", 0, false}
	NoSuchBucket = Fault{404, "NoSuchBucket", "The specified bucket does not exist.", 0, false}
	NoSuchUpload = Fault{404, "NoSuchUpload", "The specified upload does not exist. It may have been completed or aborted.", 0, false}
	InvalidRange = Fault{416, "InvalidRange", "The requested range is not satisfiable.", 0, false}
	Precondition = Fault{412, "PreconditionFailed", "At least one of the preconditions did not hold.", 0, false}
	InvalidPart  = Fault{400, "InvalidPart", "A part was not found, or its entity tag is another one.", 0, false}
	PartOrder    = Fault{400, "InvalidPartOrder", "The parts are not in ascending order.", 0, false}
	TooSmall     = Fault{400, "EntityTooSmall", "A part but the last is smaller than allowed.", 0, false}
	BadDigest    = Fault{400, "BadDigest", "The bytes do not have the digest that was given.", 0, false}
	Incomplete   = Fault{400, "IncompleteBody", "Fewer bytes came than were announced.", 0, false}
	BadArgument  = Fault{400, "InvalidArgument", "An argument is not allowed.", 0, false}
	TooBig       = Fault{400, "EntityTooLarge", "More bytes than allowed.", 0, false}
	Malformed    = Fault{400, "MalformedXML", "The XML can't be read.", 0, false}
	Denied       = Fault{403, "AccessDenied", "Access denied.", 0, false}
	BadSignature = Fault{403, "SignatureDoesNotMatch", "The signature does not match; check the secret key and how the request is signed.", 0, false}
	UnknownKey   = Fault{403, "InvalidAccessKeyId", "The access key is not known here.", 0, false}
	Skewed       = Fault{403, "RequestTimeTooSkewed", "The request's time differs too much from the server's.", 0, false}
	NotAllowed   = Fault{405, "MethodNotAllowed", "The method is not allowed here.", 0, false}
	NotBuilt     = Fault{501, "NotImplemented", "This is not implemented here.", 0, false}
	Internal     = Fault{500, "InternalError", "Something failed; what was asked for may have happened.", 0, true}
	Damaged      = Fault{500, "InternalError", "The stored bytes do not have the checksum they were written with; they are not given out.", 0, false}
	Busy         = Fault{503, "SlowDown", "Too busy; come back later.", time.Second, false}
	Unavailable  = Fault{503, "ServiceUnavailable", "It could not be done, and did not happen; come back.", time.Second, false}
)

// With is a fault with more to say.
func (f Fault) With(format string, args ...any) *Fault {
	f.Text += " " + fmt.Sprintf(format, args...)
	return &f
}

// End is what a command's final answer means to a client: nil for a completed one. A busy reply never ran; an abort that may have run is
// told apart from one that can't have.
func End(completed, busy, mayHaveRun bool, pause time.Duration) *Fault {
	switch {
	case completed:
		return nil
	case busy:
		f := Busy
		f.After = max(pause, time.Second)
		return &f
	case mayHaveRun:
		f := Internal
		return &f
	}
	f := Unavailable
	return &f
}

// Limits of uploads.
const (
	MostParts    = 10000
	LeastPart    = 5 << 20
	MostPart     = 5 << 30
	MostNameSize = 1024
)

// CompletedPart is a part as the client names it when it completes an upload.
type CompletedPart struct {
	Number uint32
	ETag   string
}

// Complete is what an upload comes to: its extents in order, its size, its entity tag (the digest of the parts' digests, and their
// number); rest are the extents of parts not named, which nothing holds any more.
func Complete(named []CompletedPart, parts []*pb.PartRecord, least int64) (extents, rest []*pb.ExtentRecord, size int64, etag string, f *Fault) {
	by := map[uint32]*pb.PartRecord{}
	for _, p := range parts {
		by[p.Number] = p
	}
	if len(named) == 0 {
		return nil, nil, 0, "", Malformed.With("No part is named.")
	}
	sum := md5.New()
	for i, n := range named {
		p := by[n.Number]
		switch {
		case p == nil || p.Etag != n.ETag:
			return nil, nil, 0, "", InvalidPart.With("Part %d.", n.Number)
		case i > 0 && n.Number <= named[i-1].Number:
			return nil, nil, 0, "", PartOrder.With("Part %d after %d.", n.Number, named[i-1].Number)
		case i < len(named)-1 && p.Size < least:
			return nil, nil, 0, "", TooSmall.With("Part %d has %d bytes, %d are the least.", n.Number, p.Size, least)
		}
		digest, err := hex.DecodeString(p.Etag)
		if err != nil {
			return nil, nil, 0, "", InvalidPart.With("Part %d.", n.Number)
		}
		sum.Write(digest)
		extents = append(extents, p.Extent...)
		size += p.Size
		delete(by, n.Number)
	}
	for _, p := range by {
		rest = append(rest, p.Extent...)
	}
	return extents, rest, size, fmt.Sprintf("%s-%d", hex.EncodeToString(sum.Sum(nil)), len(named)), nil
}

// Sweep tells which loose extents may be removed: those that were an object's or given up, unless a reader that began before that may
// still be at them (reader: when the oldest one began); those whose writer may still be at it, once they are older than any writer
// lives. None that an object or an upload's part holds.
func Sweep(loose []*pb.LooseRecord, held func(id string) bool, now, age, reader time.Duration) (remove []*pb.LooseRecord) {
	for _, l := range loose {
		if since := time.Duration(l.Since); !held(l.Extent.Id) && (l.Doomed && since < reader || !l.Doomed && now-since >= age) {
			remove = append(remove, l)
		}
	}
	return remove
}
