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

const idleTime = 2 * time.Second // over which the cost of control is measured without load

type runCommand struct {
	Decisions int `long:"decisions" description:"log one of so many decisions of each part, 0 for none"`
	Args      struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"experiment file (JSON)"`
	} `positional-args:"yes"`
}

// Execute runs the experiment.
func (command *runCommand) Execute([]string) error {
	described, err := experiment.Read(command.Args.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	outcome, err := runExperiment(ctx, described, command.Decisions)
	if err != nil {
		return err
	}
	if err := printJSON(outcome); err != nil {
		return err
	}
	if len(outcome.BoundsBroken) > 0 {
		return errors.Errorf("bounds broken: %s", strings.Join(outcome.BoundsBroken, "; "))
	}
	return nil
}

func runExperiment(ctx context.Context, described experiment.Experiment, decisions int) (load.Result, error) {
	root, err := workspace()
	if err != nil {
		return load.Result{}, err
	}
	started, err := lab.Start(ctx, lab.Config{Root: root, Deployment: described.Deployment,
		Instances: described.Instances, Settings: described.Settings, Service: described.Service, Baseline: described.Baseline,
		Decisions: decisions, Seed: described.Seed})
	if err != nil {
		return load.Result{}, err
	}
	defer started.Close()
	return measure(ctx, started, described)
}

// measure takes the cost of control at rest, then runs load and faults.
func measure(ctx context.Context, started *lab.Lab, described experiment.Experiment) (load.Result, error) {
	select {
	case <-ctx.Done():
	case <-time.After(described.Settle.Std()):
	}
	control, err := started.ControlCost(ctx, idleTime)
	if err != nil {
		return load.Result{}, err
	}
	lag, err := started.ConfigLag(ctx)
	if err != nil {
		return load.Result{}, err
	}
	callers := load.New(started.Document(), addresses(started), described)
	if described.Warmup > 0 {
		runLoads(ctx, callers, described.Load, described.Warmup.Std(), true)
	}
	before, err := started.Counts()
	if err != nil {
		return load.Result{}, err
	}
	cpuBefore := started.CPU()
	begin := time.Now()
	var faults sync.WaitGroup
	faultErrors := make(chan error, len(described.Faults))
	for _, fault := range described.Faults {
		faults.Go(func() { faultErrors <- inject(ctx, started, callers, fault) })
	}
	runLoads(ctx, callers, described.Load, described.Duration.Std(), false)
	faults.Wait()
	callers.Wait()
	cpu := started.CPU() - cpuBefore
	close(faultErrors)
	for err := range faultErrors {
		if err != nil {
			return load.Result{}, errors.Wrap(err, "inject fault")
		}
	}
	after, err := started.Counts()
	if err != nil {
		return load.Result{}, err
	}
	outcome := callers.Measure(begin, started.Map, after.Targets, before.Targets)
	outcome.ConfigLag = float64(lag.Microseconds()) / 1000
	outcome.PlatformCalls = float64(after.PlatformCalls-before.PlatformCalls) / time.Since(begin).Seconds()
	outcome.ControlBytes, outcome.ControlCPU = control.BytesPerSecond, control.CPUPercent
	outcome.Memory = started.Memory()
	if subs := after.Targets.Runs - before.Targets.Runs; subs > 0 {
		outcome.CPUPerSub = float64(cpu.Microseconds()) / float64(subs)
	}
	outcome.BoundsBroken = checkBounds(outcome, described.Bounds)
	outcome.FinishedWithinBound = len(outcome.BoundsBroken) == 0
	return outcome, nil
}

func inject(ctx context.Context, started *lab.Lab, callers *load.Callers, fault experiment.Fault) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(fault.At.Std()):
	}
	if fault.Fault == experiment.CrashQuery {
		callers.CrashQuery(ctx, fault.Kind)
		return nil
	}
	return started.Inject(ctx, fault)
}

// runLoads runs the streams; a warm-up takes only those that last the whole run.
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

func addresses(started *lab.Lab) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, instance := range started.Instances() {
		seeds = append(seeds, instance.Caller)
	}
	return seeds
}

// workspace returns the folder of the Go workspace that the command runs in.
func workspace() (string, error) {
	output, err := exec.Command("go", "env", "GOWORK").Output()
	path := strings.TrimSpace(string(output))
	if err != nil || path == "" || path == "off" {
		return "", errors.New("run the bench inside the workspace")
	}
	return filepath.Dir(path), nil
}

// checkBounds compares the result's fields with the experiment's bounds.
func checkBounds(outcome load.Result, bounds []experiment.Bound) []string {
	fields := fieldsOf(outcome)
	var broken []string
	for _, bound := range bounds {
		got, ok := fields[bound.Field]
		switch {
		case !ok:
			broken = append(broken, "no field "+bound.Field)
		case bound.Most != nil && got > *bound.Most:
			broken = append(broken, fmt.Sprintf("%s is %g, at most %g", bound.Field, got, *bound.Most))
		case bound.Least != nil && got < *bound.Least:
			broken = append(broken, fmt.Sprintf("%s is %g, at least %g", bound.Field, got, *bound.Least))
		}
	}
	return broken
}
