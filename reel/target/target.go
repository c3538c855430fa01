package target

import (
	"encoding/hex"
	"net/netip"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
)

// Paths of the targets' HTTP interface.
const (
	RunPath    = "/run"
	CancelPath = "/cancel"
	ReportPath = "/report"
)

// Attempt is the unguessable id of one attempt at a sub-request.
type Attempt [16]byte

// String returns the id in hexadecimal.
func (attempt Attempt) String() string {
	return hex.EncodeToString(attempt[:])
}

// MarshalText encodes the id in hexadecimal. It returns no error.
func (attempt Attempt) MarshalText() ([]byte, error) {
	return []byte(attempt.String()), nil
}

// UnmarshalText decodes the id from hexadecimal. It returns an error if the text has another length or other
// characters.
func (attempt *Attempt) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(attempt) {
		return hex.ErrLength
	}
	_, err := hex.Decode(attempt[:], text)
	return err
}

// State is the state that a target reports.
type State string

// States of a target.
const (
	Serving State = "serving" // accepts sub-requests
	Leaving State = "leaving" // accepts no new sub-requests
	Cold    State = "cold"    // has just started, so its load is raised gradually
)

// Hit is one result of a query, with its score.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// Request is the body of a sub-request to a target.
type Request struct {
	Attempt   Attempt            `json:"attempt"`
	Kind      string             `json:"kind"`
	Operation document.Operation `json:"operation"`
	RequestID string             `json:"request_id"`
	Query     string             `json:"query"`
	Snapshot  uint64             `json:"snapshot"`
	Range     coverage.Range     `json:"range"`
	Deadline  time.Time          `json:"deadline"`
}

// Reply is the body of a target's response to a sub-request, also of a refusal. Range is the key range that the hits
// cover.
type Reply struct {
	Attempt  Attempt        `json:"attempt"`
	Code     result.Code    `json:"code"`
	Snapshot uint64         `json:"snapshot"`
	Range    coverage.Range `json:"range"`
	Hits     []Hit          `json:"hits,omitempty"`
	Report   Report         `json:"report"`
}

// Report is the state and load that a target reports. The values may be out of date or false.
type Report struct {
	State     State    `json:"state"`
	InFlight  int      `json:"in_flight"`
	Slots     int      `json:"slots"`
	Snapshots []uint64 `json:"snapshots"`
}

// CancelRequest is the body of a request to cancel an attempt.
type CancelRequest struct {
	Attempt Attempt `json:"attempt"`
}

// Server describes a target in a partition map.
type Server struct {
	Name       string         `json:"name" validate:"required"`
	Address    netip.AddrPort `json:"address" validate:"required"`
	DataCentre string         `json:"data_centre" validate:"required"`
	Leaving    bool           `json:"leaving,omitempty"`
}

// Shard is one key range of a source with the targets that serve it.
type Shard struct {
	Name    string         `json:"name" validate:"required"`
	Range   coverage.Range `json:"range"`
	Servers []Server       `json:"servers" validate:"dive"`
}

// PartitionMap divides the key space of a source into shards. The platform publishes it.
type PartitionMap struct {
	Source  string  `json:"source" validate:"required"`
	Version uint64  `json:"version" validate:"min=1"`
	Shards  []Shard `json:"shards" validate:"min=1,dive"`
}

// Check returns a *document.FieldError if a field is invalid, or if a range is empty, exceeds the key space or overlaps
// another one.
func (partitionMap *PartitionMap) Check() error {
	if err := document.CheckFields(partitionMap); err != nil {
		return err
	}
	ranges := make([]coverage.Range, len(partitionMap.Shards))
	for i, shard := range partitionMap.Shards {
		if shard.Range.Len() == 0 || shard.Range.To > coverage.KeySpace {
			return &document.FieldError{Field: "shards.range", Value: shard.Name,
				Remedy: "set a range whose start is below its end, within the key space"}
		}
		ranges[i] = shard.Range
	}
	if !coverage.Disjoint(ranges) {
		return &document.FieldError{Field: "shards.range", Value: partitionMap.Source,
			Remedy: "make the ranges disjoint"}
	}
	return nil
}
