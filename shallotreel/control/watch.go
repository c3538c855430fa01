package control

import (
	"math/rand/v2"
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/platform"
)

const (
	watchersPerKey       = 2                      // instances in each data centre that watch a value
	documentWatchTimeout = 400 * time.Millisecond // how long the platform waits for a change of the document before it answers
	defaultWatchTimeout  = 20 * time.Second       // the same for other values
	standbyInterval      = 500 * time.Millisecond // mean time between two checks whether this instance has become a watcher
	retryInterval        = 500 * time.Millisecond // mean delay after a failed read
	isolatedReadInterval = 2 * time.Second        // mean time between two reads without good standing
)

// watchPlatform starts to watch the document, the list of instances, and the partition map of each source that a
// document lists.
func (control *Control) watchPlatform() {
	go control.watch(platform.DocumentKey, documentWatchTimeout)
	go control.watch(platform.InstancesKey, defaultWatchTimeout)
	go control.watchSources()
}

// watchSources starts a watch for each new source in the document in force, until the context ends.
func (control *Control) watchSources() {
	watched := map[string]bool{}
	for control.sleep(standbyInterval / 5) {
		view := control.View()
		if view.Document == nil {
			continue
		}
		for _, source := range view.Document.Sources {
			if !watched[source.Name] {
				watched[source.Name] = true
				go control.watch(platform.TargetsKey+source.Name, defaultWatchTimeout)
			}
		}
	}
}

// watch reads the value once and then long-polls it, with the given wait per call, while this instance is one of its
// watchers. Other instances get the value from peers; without good standing they read it from the platform themselves.
// watch returns when the context ends.
func (control *Control) watch(key string, wait time.Duration) {
	version := uint64(0)
	for first := true; ; first = false {
		if !first && !control.isWatcher(key) {
			if !control.sleep(control.standbyDelay()) {
				return
			}
			if control.View().StandingAt(time.Now()) == contact.Good {
				continue
			}
		}
		limit := wait
		if first || !control.isWatcher(key) {
			limit = 0
		}
		control.platformCalls.Add(1)
		value, err := control.platform.Watch(control.ctx, key, version, limit)
		if err != nil {
			control.log.Infof("cannot read %s: %v", key, err)
			if !control.sleep(jittered(retryInterval)) {
				return
			}
			continue
		}
		control.send(platformRead{key, value})
		version = value.Version
		if control.ctx.Err() != nil {
			return
		}
	}
}

// standbyDelay returns the time until an instance that is not a watcher checks again. The time is longer without good
// standing, because the instance then reads from the platform each time.
func (control *Control) standbyDelay() time.Duration {
	if control.View().StandingAt(time.Now()) == contact.Good {
		return jittered(standbyInterval)
	}
	return jittered(isolatedReadInterval)
}

// isWatcher reports whether this instance is one of those in its data centre that watch the key. Every instance is a
// watcher as long as its view of the fleet has no holders.
func (control *Control) isWatcher(key string) bool {
	view := control.View()
	for _, holder := range view.Holders.Rank(key, view.Self.DataCentre, watchersPerKey) {
		if holder.Name == view.Self.Name {
			return true
		}
	}
	return view.Holders.Len() == 0
}

// sleep waits for the duration and returns true, or returns false once the context ends.
func (control *Control) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-control.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jittered returns a random duration with the given mean, from half to one and a half times the mean.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
