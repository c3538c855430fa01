package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/bench/experiment"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/operator"
	"shallotreel.example/reel/platform"
)

const (
	rollStep     = 100 * time.Millisecond // between two targets that take a new index
	rollGrace    = time.Second            // during which the old index is still served
	restartAfter = time.Second
	listLag      = 2 * time.Second // of the platform's list behind reality
)

// Inject carries out a fault and its end; it returns when the fault is over.
func (lab *Lab) Inject(ctx context.Context, fault experiment.Fault) error {
	switch fault.Fault {
	case experiment.TargetSlow:
		return lab.during(ctx, fault, map[string]any{"factor": fault.Factor}, map[string]any{"factor": 1})
	case experiment.TargetKill:
		pause := max(fault.For.Std(), restartAfter)
		return lab.fault(fault.Fault, fault.Target, map[string]any{"pause_ns": pause})
	case experiment.TargetDrain, experiment.ReportLie, experiment.ConfigDown, experiment.ConfigStale:
		return lab.during(ctx, fault, map[string]any{"on": true}, map[string]any{"on": false})
	case experiment.InstanceKill:
		return lab.kill(ctx, fault)
	case experiment.InstanceFreeze:
		return lab.freeze(ctx, fault)
	case experiment.InstanceReplace:
		return lab.replace(ctx, fault)
	case experiment.Cut:
		return lab.cut(ctx, fault)
	case experiment.IndexRoll:
		return lab.roll(ctx, fault.Source)
	case experiment.Publish:
		_, err := lab.Publish(fault.Settings)
		return err
	}
	return nil
}

func (lab *Lab) during(ctx context.Context, fault experiment.Fault, begin, end map[string]any) error {
	if err := lab.fault(fault.Fault, fault.Target, begin); err != nil {
		return err
	}
	if fault.For == 0 {
		return nil
	}
	sleep(ctx, fault.For.Std())
	return lab.fault(fault.Fault, fault.Target, end)
}

func (lab *Lab) fault(name, pattern string, fields map[string]any) error {
	body := map[string]any{"fault": name}
	if pattern != "" {
		targets := lab.Targets(pattern)
		if len(targets) == 0 {
			return &document.FieldError{Field: "target", Value: pattern, Remedy: "name a target of the deployment"}
		}
		body["targets"] = targets
	}
	for key, value := range fields {
		body[key] = value
	}
	return post(lab.platform, "/admin/fault", body)
}

func (lab *Lab) kill(ctx context.Context, fault experiment.Fault) error {
	for _, number := range fault.Instances {
		if err := lab.instances[number].process.Process.Kill(); err != nil {
			return err
		}
	}
	if fault.For == 0 {
		return nil
	}
	sleep(ctx, fault.For.Std())
	for _, number := range fault.Instances {
		<-lab.instances[number].done
		if err := lab.run(lab.instances[number], 0); err != nil {
			return err
		}
	}
	return nil
}

func (lab *Lab) freeze(ctx context.Context, fault experiment.Fault) error {
	for _, number := range fault.Instances {
		if err := lab.instances[number].process.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	sleep(ctx, fault.For.Std())
	for _, number := range fault.Instances {
		if err := lab.instances[number].process.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a new instance for each named one and stops the old one; the list lags behind.
func (lab *Lab) replace(ctx context.Context, fault experiment.Fault) error {
	for _, number := range fault.Instances {
		lab.mutex.Lock()
		old := lab.instances[number]
		lab.spares++
		fresh := lab.place(number, fmt.Sprintf("instance-%d-%d", number, lab.spares), byte(100+lab.spares))
		lab.mutex.Unlock()
		if err := lab.run(fresh, 0); err != nil {
			return err
		}
		err := lab.await(startTimeout, fresh.Name, func() bool {
			status, err := Status(ctx, fresh.Caller)
			return err == nil && status.Standing == "good"
		})
		if err != nil {
			return err
		}
		lab.mutex.Lock()
		lab.instances[number] = fresh
		lab.mutex.Unlock()
		if err := old.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		time.AfterFunc(listLag, func() { _ = lab.publishList() })
		select {
		case <-old.done:
		case <-time.After(stopTimeout):
			return errors.Errorf("%s did not stop in %v", old.Name, stopTimeout)
		}
	}
	return nil
}

func (lab *Lab) publishList() error {
	lab.mutex.Lock()
	defer lab.mutex.Unlock()
	lab.list++
	return post(lab.platform, "/admin/publish", map[string]value{
		platform.InstancesKey: {lab.list, lab.instanceList()}})
}

func (lab *Lab) cut(ctx context.Context, fault experiment.Fault) error {
	var near, far []*Instance
	for _, instance := range lab.Instances() {
		if slices.Contains(fault.Instances, instance.Number) {
			near = append(near, instance)
			continue
		}
		far = append(far, instance)
	}
	if err := errors.Join(setCut(near, far), setCut(far, near)); err != nil {
		return err
	}
	sleep(ctx, fault.For.Std())
	return errors.Join(setCut(near, nil), setCut(far, nil))
}

func setCut(from, to []*Instance) error {
	peers := []netip.AddrPort{}
	for _, instance := range to {
		peers = append(peers, instance.Peer)
	}
	for _, instance := range from {
		if err := post(instance.Caller, operator.CutPath, peers); err != nil {
			return err
		}
	}
	return nil
}

// roll gives the source's targets a new index version, one after the other.
func (lab *Lab) roll(ctx context.Context, source string) error {
	old := lab.snapshot[source]
	lab.snapshot[source]++
	names := lab.Targets(source)
	for _, name := range names {
		if err := lab.fault("snapshots", name, map[string]any{"snapshots": []uint64{old, old + 1}}); err != nil {
			return err
		}
		sleep(ctx, rollStep)
	}
	sleep(ctx, rollGrace)
	for _, name := range names {
		if err := lab.fault("snapshots", name, map[string]any{"snapshots": []uint64{old + 1}}); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes the next revision with the settings merged over it and returns its number.
func (lab *Lab) Publish(settings json.RawMessage) (uint64, error) {
	lab.mutex.Lock()
	defer lab.mutex.Unlock()
	data, err := adjust(lab.published, lab.revision+1, settings)
	if err != nil {
		return 0, err
	}
	lab.revision++
	lab.published = data
	return lab.revision, post(lab.platform, "/admin/publish", map[string]value{
		platform.DocumentKey: {lab.revision, data}})
}

// ConfigLag publishes a revision and returns how long it takes to be in force on every instance.
func (lab *Lab) ConfigLag(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	revision, err := lab.Publish(nil)
	if err != nil {
		return 0, err
	}
	err = lab.await(startTimeout, "the new revision", func() bool {
		for _, instance := range lab.Instances() {
			status, err := Status(ctx, instance.Caller)
			if err != nil || status.Revision < revision {
				return false
			}
		}
		return true
	})
	return time.Since(start), err
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
