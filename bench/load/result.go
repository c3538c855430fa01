package load

// Result holds the measurements of one run, taken by the callers and by the stand-ins.
type Result struct {
	Requests                int64              `json:"requests"` // sent during the measured period
	Answered                int64              `json:"answered"` // with a complete or partial result
	Refused                 int64              `json:"refused"`  // reported as not run
	Unknown                 int64              `json:"unknown"`  // ended without a result although a target may have run it
	Late                    int64              `json:"late"`     // answers received after the start of the event
	Lost                    int64              `json:"lost"`     // requests without an answer
	P50                     float64            `json:"p50_ms"`   // ms from sending to answer; also P99 and P999
	P99                     float64            `json:"p99_ms"`
	P999                    float64            `json:"p999_ms"`
	RefusedP99              float64            `json:"refused_p99_ms"`    // ms from sending to refusal
	CoverageMean            float64            `json:"coverage_mean"`     // mean covered fraction of answered requests
	CoverageFalse           int64              `json:"coverage_false"`    // answers whose coverage does not match their hits
	MixedSnapshots          int64              `json:"mixed_snapshots"`   // answers with hits of a snapshot other than the stated one
	MismatchedAnswers       int64              `json:"crossed_answers"`   // answers with hits of another request
	RanAfterRefused         int64              `json:"ran_after_refused"` // requests reported as not run that a target ran
	RepeatedRuns            int64              `json:"repeated_runs"`     // record requests that ran more than once
	BrokenConnections       int64              `json:"cut_in_flight"`     // failed requests to an instance, except refused connections
	SentToLeaving           int64              `json:"sent_to_leaving"`   // requests to a target later than servers.LeavingGrace after it began to leave
	TargetsCrashed          int                `json:"targets_crashed"`
	ConfigLag               float64            `json:"config_lag_ms"`               // ms until a new revision is in force on every instance
	ConfigReverts           int64              `json:"config_reverts"`              // answers with an older revision than the instance reported before
	PresetsInForceMax       int                `json:"presets_in_force_max"`        // 1, or 2 if an old preset was applied after a newer one
	ConnectionsOverCap      int64              `json:"connections_over_cap"`        // connections opened above their target's limit
	ConnectionsMax          int                `json:"connections_max"`             // most connections open at one target
	SlotOverflows           int64              `json:"slots_over"`                  // requests refused by a target because all its slots were in use
	ExtraLoad               float64            `json:"extra_load"`                  // target runs beyond the required ones, as a fraction of the required ones
	InstanceLoadMaxOverMean float64            `json:"instance_load_max_over_mean"` // answers of the busiest instance over the mean of the instances
	ReplicaLoadMaxOverMean  float64            `json:"replica_load_max_over_mean"`  // runs of the busiest replica over the mean of its shard, for the worst shard
	PlatformCallsPerSecond  float64            `json:"platform_calls_per_s"`
	ControlBytesPerSecond   float64            `json:"control_bytes_per_s"` // of one instance on average, without load
	ControlCPU              float64            `json:"control_cpu_percent"` // of one instance on average, without load
	MemoryMB                float64            `json:"memory_mb"`           // MiB of resident memory, mean of the instances
	CPUPerSubrequest        float64            `json:"cpu_us_per_sub"`      // µs of processor time of the instances for each run at a target
	AnsweredByKind          map[string]int64   `json:"answered_by_kind"`
	Codes                   map[string]int64   `json:"codes"`             // answers by result code
	GoodputBySecond         []int64            `json:"goodput_by_second"` // complete answers by the second of sending
	P99BySecond             []float64          `json:"p99_ms_by_second"`  // of answered requests, by the second of sending
	CodesBySecond           []map[string]int64 `json:"codes_by_second"`   // by the second of sending
	BoundsViolated          []string           `json:"bounds_broken"`     // one message for each violated bound of the experiment
	WithinBounds            bool               `json:"within_bounds"`
}
