package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
)

// Types of faults that a run can inject.
const (
	TargetSlow       = "target_slow"
	TargetKill       = "target_kill"
	TargetDrain      = "target_drain"
	FalseReport      = "report_lie"  // the target swaps free slots and requests in flight in its reports
	CrashQuery       = "crash_query" // a query crashes each target that runs it
	InstanceKill     = "instance_kill"
	InstanceFreeze   = "instance_freeze"  // the process is stopped and continued later
	InstanceReplace  = "instance_replace" // a replacement starts before the instance is stopped
	NetworkPartition = "cut"              // the instances lose contact with all others
	ConfigDown       = "config_down"      // the platform refuses reads
	ConfigStale      = "config_stale"     // the platform returns the first version of each value
	IndexRoll        = "index_roll"       // the targets of a source change to a new index one after the other
	Publish          = "publish"          // a new revision of the document is published
)

var faultTypes = []string{TargetSlow, TargetKill, TargetDrain, FalseReport, CrashQuery, InstanceKill,
	InstanceFreeze, InstanceReplace, NetworkPartition, ConfigDown, ConfigStale, IndexRoll, Publish}

// Experiment describes one run: the deployment to start, the load, the faults and the bounds on the result.
type Experiment struct {
	Deployment   string                       `json:"deployment" validate:"oneof=gebeta bellandi"`
	Seed         uint64                       `json:"seed"`
	Instances    int                          `json:"instances" validate:"min=1,max=90"`
	Callers      int                          `json:"callers" validate:"min=1,max=2000"`
	Queries      int                          `json:"queries" validate:"min=1"` // number of distinct search queries
	Warmup       document.Duration            `json:"warmup"`
	Settle       document.Duration            `json:"settle,omitzero"` // wait before the control cost is measured
	Duration     document.Duration            `json:"duration" validate:"gt=0"`
	Load         []Load                       `json:"load" validate:"min=1,dive"`
	Settings     json.RawMessage              `json:"settings,omitempty"`
	ServiceTimes map[string]document.Duration `json:"service_time,omitempty"` // service time of targets, by source
	Baseline     bool                         `json:"baseline"`               // run package plain instead of the daemon
	Faults       []Fault                      `json:"faults" validate:"dive"`
	Bounds       []Bound                      `json:"bounds,omitempty" validate:"dive"`
}

// Load is a stream of requests of one kind.
type Load struct {
	Kind string            `json:"kind" validate:"required"`
	Rate float64           `json:"rate" validate:"gt=0"` // requests per second
	At   document.Duration `json:"at,omitzero"`          // begin after the start of the measured period
	For  document.Duration `json:"for,omitzero"`         // 0 lasts to the end of the run
}

// Fault is one fault that begins At after the end of the warm-up and lasts For.
type Fault struct {
	At        document.Duration `json:"at"`
	For       document.Duration `json:"for,omitzero"`
	Type      string            `json:"fault" validate:"required"`
	Target    string            `json:"target,omitempty"`
	Source    string            `json:"source,omitempty"`
	Instances []int             `json:"instances,omitempty"`
	Factor    float64           `json:"factor,omitempty"` // multiplies the service time of a slow target
	Kind      string            `json:"kind,omitempty"`
	Settings  json.RawMessage   `json:"settings,omitempty"`
}

// Bound is a limit on a numeric field of the result, named by its JSON name.
type Bound struct {
	Field string   `json:"field" validate:"required"`
	Max   *float64 `json:"most,omitempty"`
	Min   *float64 `json:"least,omitempty"`
}

// Read reads an experiment file and returns an error that names the first invalid field.
func Read(path string) (Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, errors.Wrap(err, "read experiment")
	}
	return Parse(data)
}

// Parse decodes an experiment, fills in defaults and returns an error that names the first invalid field.
func Parse(data []byte) (Experiment, error) {
	experiment := Experiment{Deployment: "gebeta", Seed: 1, Instances: 9, Callers: 90, Queries: 50,
		Warmup: document.Duration(3 * time.Second), Duration: document.Duration(10 * time.Second)}
	if err := document.DecodeStrict(data, &experiment); err != nil {
		return Experiment{}, err
	}
	if err := document.CheckFields(experiment); err != nil {
		return Experiment{}, err
	}
	for i, fault := range experiment.Faults {
		if err := fault.validate(fmt.Sprintf("faults[%d].", i), experiment.Instances); err != nil {
			return Experiment{}, err
		}
	}
	return experiment, nil
}

func (fault Fault) validate(field string, instances int) error {
	if !slices.Contains(faultTypes, fault.Type) {
		return &document.FieldError{Field: field + "fault", Value: fault.Type,
			Remedy: fmt.Sprintf("use one of %v", faultTypes)}
	}
	needsTarget := []string{TargetSlow, TargetKill, TargetDrain, FalseReport}
	if slices.Contains(needsTarget, fault.Type) && fault.Target == "" {
		return &document.FieldError{Field: field + "target", Value: `""`, Remedy: "name a target such as chef-planner/3/1"}
	}
	needsInstances := []string{InstanceKill, InstanceFreeze, InstanceReplace, NetworkPartition}
	if slices.Contains(needsInstances, fault.Type) && len(fault.Instances) == 0 {
		return &document.FieldError{Field: field + "instances", Value: "[]", Remedy: "list instances by number from 0"}
	}
	for _, number := range fault.Instances {
		if number < 0 || number >= instances {
			return &document.FieldError{Field: field + "instances", Value: fmt.Sprint(number), Remedy: "use numbers from 0 that are less than the number of instances"}
		}
	}
	if fault.Type == TargetSlow && fault.Factor <= 0 {
		return &document.FieldError{Field: field + "factor", Value: fmt.Sprint(fault.Factor), Remedy: "set it above 0"}
	}
	if fault.Type == IndexRoll && fault.Source == "" {
		return &document.FieldError{Field: field + "source", Value: `""`, Remedy: "name a source"}
	}
	return nil
}
