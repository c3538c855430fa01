package control

import (
	"math/rand/v2"
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/platform"
)

const (
	watchersPerKey       = 2 // in each data centre
	documentWatchTimeout = 400 * time.Millisecond
	defaultWatchTimeout  = 20 * time.Second
	standbyInterval      = 500 * time.Millisecond
	retryInterval        = 500 * time.Millisecond
	isolatedReadInterval = 2 * time.Second
)

// watchPlatform starts a watch for the document and the list, and one for each source as it appears.
func (control *Control) watchPlatform() {
	go control.watch(platform.DocumentKey, documentWatchTimeout)
	go control.watch(platform.InstancesKey, defaultWatchTimeout)
	go control.watchSources()
}

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

// watch reads the value once, then watches it while this instance ranks among its watchers.
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

// standbyDelay is the time until a watcher that is not ranked looks again, longer when it is cut off.
func (control *Control) standbyDelay() time.Duration {
	if control.View().StandingAt(time.Now()) == contact.Good {
		return jittered(standbyInterval)
	}
	return jittered(isolatedReadInterval)
}

// isWatcher reports whether this instance is among the few of its data centre that watch the key.
func (control *Control) isWatcher(key string) bool {
	view := control.View()
	for _, holder := range view.Holders.Rank(key, view.Self.DataCentre, watchersPerKey) {
		if holder.Name == view.Self.Name {
			return true
		}
	}
	return view.Holders.Len() == 0
}

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

func jittered(duration time.Duration) time.Duration {
	return duration/2 + rand.N(duration)
}
