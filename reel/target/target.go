package target

import (
	"encoding/hex"
	"net/netip"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
)

// Paths of the targets' protocol.
const (
	RunPath    = "/run"
	CancelPath = "/cancel"
	ReportPath = "/report"
)

// Attempt is the unguessable id of one try of a sub-request.
type Attempt [16]byte

// String returns the id in hexadecimal.
func (attempt Attempt) String() string {
	return hex.EncodeToString(attempt[:])
}

// MarshalText writes the id in hexadecimal.
func (attempt Attempt) MarshalText() ([]byte, error) {
	return []byte(attempt.String()), nil
}

// UnmarshalText reads the id from hexadecimal.
func (attempt *Attempt) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(attempt) {
		return hex.ErrLength
	}
	_, err := hex.Decode(attempt[:], text)
	return err
}

// State is what a target says of itself.
type State string

// States of a target.
const (
	Serving State = "serving"
	Leaving State = "leaving"
	Cold    State = "cold"
)

// Hit is one match in a target's answer.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// Request is the body of a run at a target.
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

// Reply is the body of a target's answer or refusal.
type Reply struct {
	Attempt  Attempt        `json:"attempt"`
	Code     result.Code    `json:"code"`
	Snapshot uint64         `json:"snapshot"`
	Range    coverage.Range `json:"range"`
	Hits     []Hit          `json:"hits,omitempty"`
	Report   Report         `json:"report"`
}

// Report is a target's health and load in its own words, which may lag or mislead.
type Report struct {
	State     State    `json:"state"`
	InFlight  int      `json:"in_flight"`
	Slots     int      `json:"slots"`
	Snapshots []uint64 `json:"snapshots"`
}

// CancelRequest is the body of a cancellation.
type CancelRequest struct {
	Attempt Attempt `json:"attempt"`
}

// Server is one target as the platform lists it.
type Server struct {
	Name       string         `json:"name" validate:"required"`
	Address    netip.AddrPort `json:"address" validate:"required"`
	DataCentre string         `json:"data_centre" validate:"required"`
	Leaving    bool           `json:"leaving,omitempty"`
}

// Shard is one key range of a source with the targets that hold it.
type Shard struct {
	Name    string         `json:"name" validate:"required"`
	Range   coverage.Range `json:"range"`
	Servers []Server       `json:"servers" validate:"dive"`
}

// Map is a source's partition map as the platform publishes it.
type Map struct {
	Source  string  `json:"source" validate:"required"`
	Version uint64  `json:"version" validate:"min=1"`
	Shards  []Shard `json:"shards" validate:"min=1,dive"`
}

// Check refuses a map whose ranges overlap or leave the key space.
func (partition *Map) Check() error {
	if err := document.CheckFields(partition); err != nil {
		return err
	}
	ranges := make([]coverage.Range, len(partition.Shards))
	for i, shard := range partition.Shards {
		if shard.Range.Len() == 0 || shard.Range.To > coverage.KeySpace {
			return &document.FieldError{Field: "shards.range", Value: shard.Name,
				Remedy: "set from below to, within the key space"}
		}
		ranges[i] = shard.Range
	}
	if !coverage.Disjoint(ranges) {
		return &document.FieldError{Field: "shards.range", Value: partition.Source,
			Remedy: "make the ranges disjoint"}
	}
	return nil
}
