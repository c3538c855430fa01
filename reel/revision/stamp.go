package revision

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/document"
)

// Stamp orders revisions the same way on every instance.
type Stamp struct {
	Revision    uint64    `msgpack:"r" json:"revision"`
	PublishedAt time.Time `msgpack:"p" json:"published_at"`
	Digest      string    `msgpack:"d" json:"digest"`
}

// StampOf returns the document's stamp, the lowest one for no document.
func StampOf(doc *document.Document) Stamp {
	if doc == nil {
		return Stamp{}
	}
	return Stamp{doc.Revision, doc.PublishedAt.UTC(), doc.Digest()}
}

// Compare orders stamps by revision, then by publication, then by digest.
func (stamp Stamp) Compare(other Stamp) int {
	return cmp.Or(
		cmp.Compare(stamp.Revision, other.Revision),
		stamp.PublishedAt.Compare(other.PublishedAt),
		cmp.Compare(stamp.Digest, other.Digest),
	)
}

// presetSum identifies the preset that a document puts in force, by its name and content.
func presetSum(doc *document.Document) uint64 {
	data, err := json.Marshal(doc.Preset())
	if err != nil {
		return 0 // a preset holds only plain fields
	}
	return xxhash.Sum64(data)
}
