package load

// Result is what one run measured, counted at the callers and the stand-ins.
type Result struct {
	Requests            int64              `json:"requests"`
	Answered            int64              `json:"answered"`
	Refused             int64              `json:"refused"`
	Unknown             int64              `json:"unknown"`
	Late                int64              `json:"late"`
	Lost                int64              `json:"lost"`
	P50                 float64            `json:"p50_ms"`
	P99                 float64            `json:"p99_ms"`
	P999                float64            `json:"p999_ms"`
	RefusedP99          float64            `json:"refused_p99_ms"`
	CoverageMean        float64            `json:"coverage_mean"`
	CoverageFalse       int64              `json:"coverage_false"`
	MixedSnapshots      int64              `json:"mixed_snapshots"`
	CrossedAnswers      int64              `json:"crossed_answers"`
	RanAfterRefused     int64              `json:"ran_after_refused"`
	RepeatedRuns        int64              `json:"repeated_runs"`
	CutInFlight         int64              `json:"cut_in_flight"`
	SentToLeaving       int64              `json:"sent_to_leaving"`
	TargetsCrashed      int                `json:"targets_crashed"`
	ConfigLag           float64            `json:"config_lag_ms"`
	ConfigReverts       int64              `json:"config_reverts"`
	PresetsInForceMax   int                `json:"presets_in_force_max"`
	ConnectionsOverCap  int64              `json:"connections_over_cap"`
	ConnectionsMax      int                `json:"connections_max"`
	SlotsOver           int64              `json:"slots_over"`
	ExtraLoad           float64            `json:"extra_load"`
	InstanceLoadOver    float64            `json:"instance_load_max_over_mean"`
	ReplicaLoadOver     float64            `json:"replica_load_max_over_mean"`
	PlatformCalls       float64            `json:"platform_calls_per_s"`
	ControlBytes        float64            `json:"control_bytes_per_s"`
	ControlCPU          float64            `json:"control_cpu_percent"`
	Memory              float64            `json:"memory_mb"` // resident, mean of the instances
	CPUPerSub           float64            `json:"cpu_us_per_sub"`
	AnsweredByKind      map[string]int64   `json:"answered_by_kind"`
	Codes               map[string]int64   `json:"codes"`
	GoodputBySecond     []int64            `json:"goodput_by_second"`
	P99BySecond         []float64          `json:"p99_ms_by_second"`
	CodesBySecond       []map[string]int64 `json:"codes_by_second"`
	BoundsBroken        []string           `json:"bounds_broken"`
	FinishedWithinBound bool               `json:"within_bounds"`
}
