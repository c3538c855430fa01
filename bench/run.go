package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/bench/experiment"
	"shallotreel.example/bench/lab"
	"shallotreel.example/bench/load"
)

const idleMeasurementTime = 2 * time.Second // period without load for which the control cost is measured

type runCommand struct {
	DecisionEvery int `long:"decisions" description:"log one in this many decisions of each component; 0 logs none"`
	Args          struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"experiment file (JSON)"`
	} `positional-args:"yes"`
}

// Execute runs the experiment, prints its result as JSON and returns an error if a bound is violated.
func (command *runCommand) Execute([]string) error {
	spec, err := experiment.Read(command.Args.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	outcome, err := runExperiment(ctx, spec, command.DecisionEvery)
	if err != nil {
		return err
	}
	if err := printJSON(outcome); err != nil {
		return err
	}
	if len(outcome.BoundsViolated) > 0 {
		return errors.Errorf("bounds violated: %s", strings.Join(outcome.BoundsViolated, "; "))
	}
	return nil
}

func runExperiment(ctx context.Context, spec experiment.Experiment, decisions int) (load.Result, error) {
	root, err := workspaceDir()
	if err != nil {
		return load.Result{}, err
	}
	deployment, err := lab.Start(ctx, lab.Config{Root: root, Deployment: spec.Deployment,
		Instances: spec.Instances, Settings: spec.Settings, ServiceTimes: spec.ServiceTimes, Baseline: spec.Baseline,
		DecisionEvery: decisions, Seed: spec.Seed})
	if err != nil {
		return load.Result{}, err
	}
	defer deployment.Close()
	return measure(ctx, deployment, spec)
}

// measure measures the control cost and the configuration lag without load, then runs the load with the faults and
// returns the result.
func measure(ctx context.Context, deployment *lab.Lab, spec experiment.Experiment) (load.Result, error) {
	select {
	case <-ctx.Done():
	case <-time.After(spec.Settle.Std()):
	}
	control, err := deployment.ControlCost(ctx, idleMeasurementTime)
	if err != nil {
		return load.Result{}, err
	}
	lag, err := deployment.ConfigLag(ctx)
	if err != nil {
		return load.Result{}, err
	}
	callers := load.New(deployment.Document(), callerAddresses(deployment), spec)
	if spec.Warmup > 0 {
		runLoads(ctx, callers, spec.Load, spec.Warmup.Std(), true)
	}
	before, err := deployment.Counts()
	if err != nil {
		return load.Result{}, err
	}
	cpuBefore := deployment.CPUTime()
	begin := time.Now()
	var faults sync.WaitGroup
	faultErrors := make(chan error, len(spec.Faults))
	for _, fault := range spec.Faults {
		faults.Go(func() { faultErrors <- injectFault(ctx, deployment, callers, fault) })
	}
	runLoads(ctx, callers, spec.Load, spec.Duration.Std(), false)
	faults.Wait()
	callers.Wait()
	cpu := deployment.CPUTime() - cpuBefore
	close(faultErrors)
	for err := range faultErrors {
		if err != nil {
			return load.Result{}, errors.Wrap(err, "inject fault")
		}
	}
	after, err := deployment.Counts()
	if err != nil {
		return load.Result{}, err
	}
	outcome := callers.Measure(begin, deployment.Map, after.Targets, before.Targets)
	outcome.ConfigLag = float64(lag.Microseconds()) / 1000
	outcome.PlatformCallsPerSecond = float64(after.PlatformCalls-before.PlatformCalls) / time.Since(begin).Seconds()
	outcome.ControlBytesPerSecond, outcome.ControlCPU = control.BytesPerSecond, control.CPUPercent
	outcome.MemoryMB = deployment.Memory()
	if subs := after.Targets.Runs - before.Targets.Runs; subs > 0 {
		outcome.CPUPerSubrequest = float64(cpu.Microseconds()) / float64(subs)
	}
	outcome.BoundsViolated = checkBounds(outcome, spec.Bounds)
	outcome.WithinBounds = len(outcome.BoundsViolated) == 0
	return outcome, nil
}

// injectFault waits until the fault is due and injects it.
func injectFault(ctx context.Context, deployment *lab.Lab, callers *load.Callers, fault experiment.Fault) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(fault.At.Std()):
	}
	if fault.Type == experiment.CrashQuery {
		callers.CrashQuery(ctx, fault.Kind)
		return nil
	}
	return deployment.Inject(ctx, fault)
}

// runLoads runs the request streams and returns when they have ended. A warm-up runs only the streams that begin with
// the run, ignores their limits of duration and waits for the last answers.
func runLoads(ctx context.Context, callers *load.Callers, loads []experiment.Load, duration time.Duration, warmup bool) {
	var streams sync.WaitGroup
	for _, stream := range loads {
		if warmup && stream.At > 0 {
			continue
		}
		streams.Go(func() {
			length := duration - stream.At.Std()
			if stream.For > 0 && !warmup {
				length = min(length, stream.For.Std())
			}
			select {
			case <-ctx.Done():
			case <-time.After(stream.At.Std()):
				callers.Run(ctx, stream, length)
			}
		})
	}
	streams.Wait()
	if warmup {
		callers.Wait()
	}
}

func callerAddresses(deployment *lab.Lab) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, instance := range deployment.Instances() {
		addresses = append(addresses, instance.Caller)
	}
	return addresses
}

// workspaceDir returns the directory of the Go workspace that contains the working directory.
func workspaceDir() (string, error) {
	output, err := exec.Command("go", "env", "GOWORK").Output()
	path := strings.TrimSpace(string(output))
	if err != nil || path == "" || path == "off" {
		return "", errors.New("no Go workspace found; run the bench inside the workspace of the project")
	}
	return filepath.Dir(path), nil
}

// checkBounds returns one message for each bound that the result violates.
func checkBounds(outcome load.Result, bounds []experiment.Bound) []string {
	fields := numericFields(outcome)
	var violated []string
	for _, bound := range bounds {
		got, ok := fields[bound.Field]
		switch {
		case !ok:
			violated = append(violated, "the result has no field "+bound.Field)
		case bound.Max != nil && got > *bound.Max:
			violated = append(violated, fmt.Sprintf("%s is %g, want at most %g", bound.Field, got, *bound.Max))
		case bound.Min != nil && got < *bound.Min:
			violated = append(violated, fmt.Sprintf("%s is %g, want at least %g", bound.Field, got, *bound.Min))
		}
	}
	return violated
}
