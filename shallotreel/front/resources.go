package front

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"shallotreel.example/shallotreel/intake"
	"shallotreel.example/shallotreel/settings"
)

const (
	gcPercent       = 50  // GOGC value; uses a third less memory than 150, for a seventh more CPU time
	defaultMemoryMB = 256 // of a process whose limit is unknown
	bytesPerMB      = 1 << 20
	// heldShare divides the memory of the process; one such part may be held for others. The rest is for the process itself, for garbage that is
	// not collected yet, and for what the counts leave out.
	heldShare = 4
	// heapPercent is the part of the memory of the process from which the garbage collector works more often.
	heapPercent = 75

	// defaultDescriptors is the number of descriptors of a process if neither the settings nor the system limit it.
	defaultDescriptors = 4096
	// targetParts, callerParts, peerParts and pageParts are the shares of the descriptors, in 64ths, of connections to targets, of callers, of
	// peers and of the clients of each other address. What is left is for the store and the process itself.
	targetParts     = 28
	callerParts     = 16
	peerParts       = 4
	pageParts       = 1
	descriptorParts = 64
)

// resources are what the process may use.
type resources struct {
	memory      int64 // bytes
	descriptors int
}

// resourcesOf returns the resources of the settings. The system may allow fewer descriptors.
func resourcesOf(config settings.Front) resources {
	memoryMB := config.MemoryMB
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	descriptors := config.MaxDescriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return resources{memory: int64(memoryMB) * bytesPerMB, descriptors: min(descriptors, systemDescriptors())}
}

// systemDescriptors returns how many descriptors the system allows the process.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// limitHeap makes the garbage collector keep the heap within the memory of the process.
func (resources resources) limitHeap() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(resources.memory / 100 * heapPercent)
}

// share returns so many parts of the descriptors.
func (resources resources) share(parts int) int {
	return resources.descriptors * parts / descriptorParts
}

// addDoor returns the door of another address, which lets in as many connections as so many parts of the descriptors.
func (front *Front) addDoor(parts int) *intake.Door {
	door := front.memory.Door(front.resources.share(parts))
	front.doors = append(front.doors, door)
	return door
}

// sweepDoors applies the limits of the configuration and closes the connections that have waited beyond them, unless this process has been
// paused, so that their bytes may not have been read.
func (front *Front) sweepDoors(now time.Time, sweptAt *time.Time) {
	if configuration := front.View().Configuration; configuration != nil {
		limits := configuration.Limits
		front.callerDoor.SetLimits(intake.Limits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout})
	}
	paused := now.Sub(*sweptAt) > 2*sweepPeriod
	*sweptAt = now
	if paused {
		return
	}
	for _, door := range front.doors {
		door.Sweep(now)
	}
}
