package lab

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const ticksPerSecond = 100 // unit of the processor times in /proc, USER_HZ on Linux

// Cost is the mean cost of the control traffic of one instance: bytes sent and received per second, and processor time
// in percent of one processor.
type Cost struct {
	BytesPerSecond float64
	CPUPercent     float64
}

// ControlCost measures the control cost of the running instances for the duration; the caller must send no load.
func (lab *Lab) ControlCost(ctx context.Context, duration time.Duration) (Cost, error) {
	bytesBefore, err := lab.controlBytes(ctx)
	if err != nil {
		return Cost{}, err
	}
	cpuBefore := lab.CPUTime()
	sleep(ctx, duration)
	bytesAfter, err := lab.controlBytes(ctx)
	if err != nil {
		return Cost{}, err
	}
	instances := float64(len(lab.Instances()))
	return Cost{
		BytesPerSecond: float64(bytesAfter-bytesBefore) / duration.Seconds() / instances,
		CPUPercent:     100 * (lab.CPUTime() - cpuBefore).Seconds() / duration.Seconds() / instances,
	}, nil
}

func (lab *Lab) controlBytes(ctx context.Context) (int64, error) {
	total := int64(0)
	for _, instance := range lab.Instances() {
		status, err := Status(ctx, instance.Caller)
		if err != nil {
			return 0, err
		}
		total += status.ControlSent + status.ControlReceived
	}
	return total, nil
}

// CPUTime returns the total processor time that the running instances have used since they started.
func (lab *Lab) CPUTime() time.Duration {
	total := time.Duration(0)
	for _, instance := range lab.Instances() {
		if instance.process != nil {
			total += processCPU(instance.process.Process.Pid)
		}
	}
	return total
}

func processCPU(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The command name ends with a closing bracket; the next field is the state, field 3 of proc(5).
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// Memory returns the mean resident memory of the running instances in MiB.
func (lab *Lab) Memory() float64 {
	total, running := 0.0, 0
	for _, instance := range lab.Instances() {
		if instance.process != nil {
			total += residentMB(instance.process.Process.Pid)
			running++
		}
	}
	return total / float64(max(1, running))
}

func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
