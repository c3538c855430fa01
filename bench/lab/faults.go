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
	rollInterval    = 100 * time.Millisecond // between two targets that load a new index
	rollOverlap     = time.Second            // time for which targets serve both indexes
	minRestartDelay = time.Second            // shortest time for which a killed target is down
	listDelay       = 2 * time.Second        // delay of the platform's instance list after an instance has been replaced
)

// Inject injects a fault, waits for its duration and ends it.
func (lab *Lab) Inject(ctx context.Context, fault experiment.Fault) error {
	switch fault.Type {
	case experiment.TargetSlow:
		return lab.injectFor(ctx, fault, map[string]any{"factor": fault.Factor}, map[string]any{"factor": 1})
	case experiment.TargetKill:
		pause := max(fault.For.Std(), minRestartDelay)
		return lab.postFault(fault.Type, fault.Target, map[string]any{"pause_ns": pause})
	case experiment.TargetDrain, experiment.FalseReport, experiment.ConfigDown, experiment.ConfigStale:
		return lab.injectFor(ctx, fault, map[string]any{"on": true}, map[string]any{"on": false})
	case experiment.InstanceKill:
		return lab.killInstances(ctx, fault)
	case experiment.InstanceFreeze:
		return lab.freezeInstances(ctx, fault)
	case experiment.InstanceReplace:
		return lab.replaceInstances(ctx, fault)
	case experiment.NetworkPartition:
		return lab.partitionNetwork(ctx, fault)
	case experiment.IndexRoll:
		return lab.rollIndex(ctx, fault.Source)
	case experiment.Publish:
		_, err := lab.Publish(fault.Settings)
		return err
	}
	return nil
}

// injectFor injects a fault with the fields of begin and ends it with those of end after its duration; a fault without
// a duration does not end.
func (lab *Lab) injectFor(ctx context.Context, fault experiment.Fault, begin, end map[string]any) error {
	if err := lab.postFault(fault.Type, fault.Target, begin); err != nil {
		return err
	}
	if fault.For == 0 {
		return nil
	}
	sleep(ctx, fault.For.Std())
	return lab.postFault(fault.Type, fault.Target, end)
}

// postFault sends a fault to the stand-ins, for the targets that match the pattern if the pattern is not empty.
func (lab *Lab) postFault(name, pattern string, fields map[string]any) error {
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

// killInstances kills the instances and, if the fault has a duration, starts them again after it.
func (lab *Lab) killInstances(ctx context.Context, fault experiment.Fault) error {
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
		if err := lab.startInstance(lab.instances[number], 0); err != nil {
			return err
		}
	}
	return nil
}

// freezeInstances stops the instances with SIGSTOP and continues them after the fault's duration.
func (lab *Lab) freezeInstances(ctx context.Context, fault experiment.Fault) error {
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

// replaceInstances starts a replacement for each instance of the fault, waits until it is ready and stops the old one.
// The platform publishes the new instance list only after listDelay.
func (lab *Lab) replaceInstances(ctx context.Context, fault experiment.Fault) error {
	for _, number := range fault.Instances {
		lab.mutex.Lock()
		old := lab.instances[number]
		lab.replacements++
		replacement := lab.newInstance(number, fmt.Sprintf("instance-%d-%d", number, lab.replacements), byte(100+lab.replacements))
		lab.mutex.Unlock()
		if err := lab.startInstance(replacement, 0); err != nil {
			return err
		}
		err := lab.waitFor(startTimeout, replacement.Name, func() bool {
			status, err := Status(ctx, replacement.Caller)
			return err == nil && status.Standing == "good"
		})
		if err != nil {
			return err
		}
		lab.mutex.Lock()
		lab.instances[number] = replacement
		lab.mutex.Unlock()
		if err := old.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		time.AfterFunc(listDelay, func() { _ = lab.publishList() })
		select {
		case <-old.done:
		case <-time.After(stopTimeout):
			return errors.Errorf("%s did not stop within %v", old.Name, stopTimeout)
		}
	}
	return nil
}

func (lab *Lab) publishList() error {
	lab.mutex.Lock()
	defer lab.mutex.Unlock()
	lab.listVersion++
	return post(lab.platform, "/admin/publish", map[string]publishedValue{
		platform.InstancesKey: {lab.listVersion, lab.instanceList()}})
}

// partitionNetwork blocks traffic between the instances of the fault and all others for the fault's duration.
func (lab *Lab) partitionNetwork(ctx context.Context, fault experiment.Fault) error {
	var inside, outside []*Instance
	for _, instance := range lab.Instances() {
		if slices.Contains(fault.Instances, instance.Number) {
			inside = append(inside, instance)
			continue
		}
		outside = append(outside, instance)
	}
	if err := errors.Join(blockPeers(inside, outside), blockPeers(outside, inside)); err != nil {
		return err
	}
	sleep(ctx, fault.For.Std())
	return errors.Join(blockPeers(inside, nil), blockPeers(outside, nil))
}

// blockPeers makes each instance of from block the peers in to, which replace those it blocked before.
func blockPeers(from, to []*Instance) error {
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

// rollIndex adds a new index version to the source's targets one after the other, then removes the old version.
func (lab *Lab) rollIndex(ctx context.Context, source string) error {
	old := lab.snapshots[source]
	lab.snapshots[source]++
	names := lab.Targets(source)
	for _, name := range names {
		if err := lab.postFault("snapshots", name, map[string]any{"snapshots": []uint64{old, old + 1}}); err != nil {
			return err
		}
		sleep(ctx, rollInterval)
	}
	sleep(ctx, rollOverlap)
	for _, name := range names {
		if err := lab.postFault("snapshots", name, map[string]any{"snapshots": []uint64{old + 1}}); err != nil {
			return err
		}
	}
	return nil
}

// Publish merges the settings into the published document, publishes it as the next revision and returns the revision.
func (lab *Lab) Publish(settings json.RawMessage) (uint64, error) {
	lab.mutex.Lock()
	defer lab.mutex.Unlock()
	data, err := reviseDocument(lab.published, lab.revision+1, settings)
	if err != nil {
		return 0, err
	}
	lab.revision++
	lab.published = data
	return lab.revision, post(lab.platform, "/admin/publish", map[string]publishedValue{
		platform.DocumentKey: {lab.revision, data}})
}

// ConfigLag publishes a revision and returns the time until every instance applies it.
func (lab *Lab) ConfigLag(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	revision, err := lab.Publish(nil)
	if err != nil {
		return 0, err
	}
	err = lab.waitFor(startTimeout, "the new revision", func() bool {
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
