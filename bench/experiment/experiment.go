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

// Faults that a run can inject.
const (
	TargetSlow      = "target_slow"
	TargetKill      = "target_kill"
	TargetDrain     = "target_drain"
	ReportLie       = "report_lie"
	CrashQuery      = "crash_query"
	InstanceKill    = "instance_kill"
	InstanceFreeze  = "instance_freeze"
	InstanceReplace = "instance_replace"
	Cut             = "cut"
	ConfigDown      = "config_down"
	ConfigStale     = "config_stale"
	IndexRoll       = "index_roll"
	Publish         = "publish"
)

var faults = []string{TargetSlow, TargetKill, TargetDrain, ReportLie, CrashQuery, InstanceKill,
	InstanceFreeze, InstanceReplace, Cut, ConfigDown, ConfigStale, IndexRoll, Publish}

// Experiment is one run: what is started, loaded and broken.
type Experiment struct {
	Deployment string                       `json:"deployment" validate:"oneof=gebeta bellandi"`
	Seed       uint64                       `json:"seed"`
	Instances  int                          `json:"instances" validate:"min=1,max=90"`
	Callers    int                          `json:"callers" validate:"min=1,max=2000"`
	Queries    int                          `json:"queries" validate:"min=1"`
	Warmup     document.Duration            `json:"warmup"`
	Settle     document.Duration            `json:"settle,omitzero"` // before the cost of control is measured
	Duration   document.Duration            `json:"duration" validate:"gt=0"`
	Load       []Load                       `json:"load" validate:"min=1,dive"`
	Settings   json.RawMessage              `json:"settings,omitempty"`
	Service    map[string]document.Duration `json:"service_time,omitempty"` // of targets, by source
	Baseline   bool                         `json:"baseline"`
	Faults     []Fault                      `json:"faults" validate:"dive"`
	Bounds     []Bound                      `json:"bounds,omitempty" validate:"dive"`
}

// Load is a stream of requests of one kind, per second.
type Load struct {
	Kind string            `json:"kind" validate:"required"`
	Rate float64           `json:"rate" validate:"gt=0"`
	At   document.Duration `json:"at,omitzero"`
	For  document.Duration `json:"for,omitzero"`
}

// Fault is one failure, from At for the time For after the warm-up.
type Fault struct {
	At        document.Duration `json:"at"`
	For       document.Duration `json:"for,omitzero"`
	Fault     string            `json:"fault" validate:"required"`
	Target    string            `json:"target,omitempty"`
	Source    string            `json:"source,omitempty"`
	Instances []int             `json:"instances,omitempty"`
	Factor    float64           `json:"factor,omitempty"`
	Kind      string            `json:"kind,omitempty"`
	Settings  json.RawMessage   `json:"settings,omitempty"`
}

// Bound is a limit on one field of the result.
type Bound struct {
	Field string   `json:"field" validate:"required"`
	Most  *float64 `json:"most,omitempty"`
	Least *float64 `json:"least,omitempty"`
}

// Read reads and checks an experiment file.
func Read(path string) (Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, errors.Wrap(err, "read experiment")
	}
	return Parse(data)
}

// Parse reads and checks an experiment.
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
		if err := fault.check(fmt.Sprintf("faults[%d].", i), experiment.Instances); err != nil {
			return Experiment{}, err
		}
	}
	return experiment, nil
}

func (fault Fault) check(field string, instances int) error {
	if !slices.Contains(faults, fault.Fault) {
		return &document.FieldError{Field: field + "fault", Value: fault.Fault,
			Remedy: fmt.Sprintf("name one of %v", faults)}
	}
	needsTarget := []string{TargetSlow, TargetKill, TargetDrain, ReportLie}
	if slices.Contains(needsTarget, fault.Fault) && fault.Target == "" {
		return &document.FieldError{Field: field + "target", Value: `""`, Remedy: "name a target such as chef-planner/3/1"}
	}
	needsInstances := []string{InstanceKill, InstanceFreeze, InstanceReplace, Cut}
	if slices.Contains(needsInstances, fault.Fault) && len(fault.Instances) == 0 {
		return &document.FieldError{Field: field + "instances", Value: "[]", Remedy: "list instances by number from 0"}
	}
	for _, number := range fault.Instances {
		if number < 0 || number >= instances {
			return &document.FieldError{Field: field + "instances", Value: fmt.Sprint(number), Remedy: "name an instance that runs"}
		}
	}
	if fault.Fault == TargetSlow && fault.Factor <= 0 {
		return &document.FieldError{Field: field + "factor", Value: fmt.Sprint(fault.Factor), Remedy: "set it above 0"}
	}
	if fault.Fault == IndexRoll && fault.Source == "" {
		return &document.FieldError{Field: field + "source", Value: `""`, Remedy: "name a source"}
	}
	return nil
}
