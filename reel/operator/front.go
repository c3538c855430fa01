package operator

import (
	"net/netip"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/member"
)

// OmitParameter is the query parameter of StatusPath with which a reader of many instances leaves out long lists of a
// FrontStatus. Its value is a comma-separated list of the constants below.
const OmitParameter = "omit"

// Lists that OmitParameter may leave out.
const (
	ListColdTargets = "cold_targets"
	ListAdmission   = "admission"
	ListMembers     = "members"
)

// FrontStatus is the state of one instance that proxies requests to targets, and its view of the fleet. All times are of
// the clock of the instance. Version is that of the configuration in force, 0 if none is.
type FrontStatus struct {
	Instance    string        `json:"instance"`
	DataCentre  string        `json:"data_centre"`
	Time        time.Time     `json:"time"`
	Version     uint64        `json:"version"`
	Evacuations []Evacuation  `json:"evacuations"`
	ColdTargets []ColdTarget  `json:"cold_targets"`
	Admission   []Group       `json:"admission"`
	Members     []FrontMember `json:"members"`
}

// Evacuation is a data centre whose targets get no new attempts. InFlight is the number of attempts that were sent there
// before and have not ended. RetainedUntil is when the evacuation ends although nobody ended it, zero unless the store was
// restored and lacks it.
type Evacuation struct {
	DataCentre    string    `json:"data_centre"`
	Since         time.Time `json:"since"`
	RetainedUntil time.Time `json:"retained_until,omitzero"`
	InFlight      int       `json:"in_flight"`
}

// ColdTarget is a target that the instance treats as cold. Rate is the number of requests per second that the target
// tolerates from all instances together, and Part what this instance may send of it; both are 0 if the configuration sets
// no rate.
type ColdTarget struct {
	Target      string            `json:"target"`
	Service     string            `json:"service"`
	DataCentre  string            `json:"data_centre"`
	ColdUntil   time.Time         `json:"cold_until,omitzero"` // zero if the end of the cold period is not known
	Rate        float64           `json:"rate"`
	Part        float64           `json:"part"`
	Evidence    string            `json:"evidence"` // why the target is treated as cold
	EvidenceAge document.Duration `json:"evidence_age"`
}

// Group is the admission of the requests that go to the same set of services. Evidence is the newest evidence if it shows
// congestion, and empty otherwise.
type Group struct {
	Name        string            `json:"name"`
	Limit       int               `json:"limit"` // of requests in flight, 0 while the group is not limited
	Evidence    string            `json:"evidence,omitempty"`
	EvidenceAge document.Duration `json:"evidence_age,omitempty"`
	Ranks       []Rank            `json:"ranks"`
}

// Rank is the admission of the requests of one rank of a group. Admitted and Refused count since the start of the instance.
type Rank struct {
	Rank     int               `json:"rank"` // 0 is the highest
	Admitted uint64            `json:"admitted"`
	Refused  map[string]uint64 `json:"refused,omitempty"` // by reason
	InFlight int               `json:"in_flight"`
	Waiting  int               `json:"waiting"`
}

// FrontMember is an instance as another one knows it, and where its status and metrics are served.
type FrontMember struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	State      member.State   `json:"state"`
	Metrics    netip.AddrPort `json:"metrics_address"`
}
