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

// Choice identifies one decision of the operators to put a preset in force.
type Choice struct {
	Revision uint64 `msgpack:"r"` // that made the decision, 0 if the document does not say
	Sum      uint64 `msgpack:"s"` // of the preset's name and content
}

// choiceOf returns the decision that the document carries.
func choiceOf(doc *document.Document) Choice {
	data, err := json.Marshal(doc.Preset())
	if err != nil {
		return Choice{} // a preset holds only plain fields
	}
	return Choice{doc.PresetRevision, xxhash.Sum64(data)}
}
