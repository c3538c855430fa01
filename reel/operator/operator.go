package operator

import (
	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
)

// Paths of the operators' interface.
const (
	MetricsPath = "/metrics"
	ReadyPath   = "/health/ready"
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain"
	DrainPath   = "/v1/drain"
	CutPath     = "/v1/cut" // only where the settings allow it, for tests
)

// Status is one instance's word on itself and the fleet.
type Status struct {
	Instance         string            `json:"instance"`
	DataCentre       string            `json:"data_centre"`
	Incarnation      uint64            `json:"incarnation"`
	Standing         string            `json:"standing"`
	Revision         uint64            `json:"revision"`
	Digest           string            `json:"digest"`
	Preset           string            `json:"preset"`
	Held             revision.Stamp    `json:"held"`
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

// Source is what an entry keeps for one source.
type Source struct {
	Name     string `json:"name"`
	Snapshot uint64 `json:"snapshot"`
	Map      uint64 `json:"map"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Limit    int    `json:"limit"`
}

// Explanation tells where a request would go now, and why.
type Explanation struct {
	Kind        string  `json:"kind"`
	Revision    uint64  `json:"revision"`
	Preset      string  `json:"preset"`
	Snapshot    uint64  `json:"snapshot"`
	Fingerprint string  `json:"fingerprint"`
	Verdict     string  `json:"verdict"`
	Routes      []Route `json:"routes"`
}

// Route is the choice for one shard.
type Route struct {
	Shard  string         `json:"shard"`
	Range  coverage.Range `json:"range"`
	Target string         `json:"target,omitempty"`
	Holder string         `json:"holder,omitempty"`
	Reason string         `json:"reason"`
}
