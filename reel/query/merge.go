package query

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// Merge returns the top greatest records of the bodies in descending order. It keeps duplicates and ignores trailing
// bytes of a body that are shorter than a record.
func Merge(bodies [][]byte, top int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for len(body) >= RecordSize {
			records = append(records, body[:RecordSize])
			body = body[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	return bytes.Join(records, nil)
}
