package revision

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/document"
)

// Stamp identifies a revision; all instances order stamps in the same way.
type Stamp struct {
	Revision    uint64    `msgpack:"r" json:"revision"`
	PublishedAt time.Time `msgpack:"p" json:"published_at"`
	Digest      string    `msgpack:"d" json:"digest"`
}

// StampOf returns the stamp of the document, or the zero Stamp, which is lower than any other, if doc is nil.
func StampOf(doc *document.Document) Stamp {
	if doc == nil {
		return Stamp{}
	}
	return Stamp{doc.Revision, doc.PublishedAt.UTC(), doc.Digest()}
}

// Compare orders stamps by revision, then by publication time, then by digest; it returns -1, 0 or +1.
func (stamp Stamp) Compare(other Stamp) int {
	return cmp.Or(
		cmp.Compare(stamp.Revision, other.Revision),
		stamp.PublishedAt.Compare(other.PublishedAt),
		cmp.Compare(stamp.Digest, other.Digest),
	)
}

// PresetChoice identifies one decision of the operators to put a preset in force.
type PresetChoice struct {
	Revision uint64 `msgpack:"r"` // revision that made the decision, 0 if the document does not say
	Sum      uint64 `msgpack:"s"` // hash of the name and content of the preset
}

// choiceOf returns the preset choice that the document carries.
func choiceOf(doc *document.Document) PresetChoice {
	data, err := json.Marshal(doc.Preset())
	if err != nil {
		return PresetChoice{} // not reached: a preset has only fields that marshal without error
	}
	return PresetChoice{doc.PresetRevision, xxhash.Sum64(data)}
}
