package operator

import (
	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
)

// Paths of the HTTP interface for operators.
const (
	MetricsPath = "/metrics"
	ReadyPath   = "/health/ready"
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain"
	DrainPath   = "/v1/drain"
	CutPath     = "/v1/cut" // simulates a network partition in tests; served only if the settings allow it
)

// Status is the state of one instance and its view of the fleet. Standing says whether the instance accepts new work.
// Revision, Digest and Preset describe the revision in force; NewestRevision identifies the newest valid revision that
// the instance has received. Running is the number of requests that are not answered yet. ControlSent and
// ControlReceived count the bytes of control packets; DecisionsDropped counts the decisions that each log omitted.
type Status struct {
	Instance         string            `json:"instance"`
	DataCentre       string            `json:"data_centre"`
	Incarnation      uint64            `json:"incarnation"`
	Standing         string            `json:"standing"`
	Revision         uint64            `json:"revision"`
	Digest           string            `json:"digest"`
	Preset           string            `json:"preset"`
	NewestRevision   revision.Stamp    `json:"held"`
	Running          int64             `json:"running"`
	Sources          []Source          `json:"sources"`
	Targets          []holder.Status   `json:"targets"`
	Quarantine       []quarantine.Mark `json:"quarantine"`
	Leaving          []string          `json:"leaving"`
	Members          []member.Member   `json:"members"`
	Voters           []string          `json:"voters"`
	PlatformCalls    int64             `json:"platform_calls"`
	ControlSent      int64             `json:"control_sent_bytes"`
	ControlReceived  int64             `json:"control_received_bytes"`
	DecisionsDropped map[string]uint64 `json:"decisions_dropped"`
}

// Source is the state of one source at an instance: the snapshot and version of the partition map in use, the numbers
// of running and waiting requests, and the concurrency limit.
type Source struct {
	Name     string `json:"name"`
	Snapshot uint64 `json:"snapshot"`
	Map      uint64 `json:"map"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Limit    int    `json:"limit"`
}

// Explanation describes how an instance would route a request now. Verdict is the quarantine status of the request's
// fingerprint.
type Explanation struct {
	Kind        string  `json:"kind"`
	Revision    uint64  `json:"revision"`
	Preset      string  `json:"preset"`
	Snapshot    uint64  `json:"snapshot"`
	Fingerprint string  `json:"fingerprint"`
	Verdict     string  `json:"verdict"`
	Routes      []Route `json:"routes"`
}

// Route is the target and the holder that an instance would choose for one shard, with the reason.
type Route struct {
	Shard  string         `json:"shard"`
	Range  coverage.Range `json:"range"`
	Target string         `json:"target,omitempty"`
	Holder string         `json:"holder,omitempty"`
	Reason string         `json:"reason"`
}
