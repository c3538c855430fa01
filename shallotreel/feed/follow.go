package feed

import (
	"context"
	"errors"
	"time"

	"shallotreel.example/platform"
)

// follow reads everything once and then what changes, until the context ends.
func (feed *Feed) follow() {
	backoff := backoffLeast
	revision, listed := uint64(0), false
	var failedAt time.Time
	for feed.ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = feed.list()
			listed = err == nil
		} else {
			revision, err = feed.watch(revision)
		}
		switch {
		case err == nil:
			backoff = backoffLeast
			feed.sleep(pauseAfter(failedAt))
		case errors.Is(err, platform.ErrHistoryLost):
			listed = false
		default:
			failedAt = time.Now()
			feed.root.Send(feed.pid, failed{err})
			feed.sleep(backoff)
			backoff = min(2*backoff, backoffMost)
		}
	}
}

// pauseAfter is the pause between two watches: short while targets may be registering again after a failure.
func pauseAfter(failedAt time.Time) time.Duration {
	if !failedAt.IsZero() && time.Since(failedAt) < settleTerm {
		return settlePause
	}
	return watchPause
}

// list reads all keys, page by page, and returns the revision of the first page, from which a watch misses nothing.
func (feed *Feed) list() (uint64, error) {
	var revision uint64
	after, first := "", true
	for {
		reading, err := feed.call(callMost, func(ctx context.Context) (platform.Reading, error) {
			return feed.store.Range(ctx, after)
		})
		if err != nil {
			return 0, err
		}
		if first {
			revision = reading.Revision
		}
		last := !reading.More || reading.Last == ""
		feed.root.Send(feed.pid, page{reading, first, last})
		if last {
			return revision, nil
		}
		after, first = reading.Last, false
	}
}

func (feed *Feed) watch(revision uint64) (uint64, error) {
	reading, err := feed.call(watchWait+callMost, func(ctx context.Context) (platform.Reading, error) {
		return feed.store.Watch(ctx, revision, watchWait)
	})
	if err != nil {
		return revision, err
	}
	feed.root.Send(feed.pid, news{reading})
	return max(revision, reading.Revision), nil
}

func (feed *Feed) call(most time.Duration, call func(context.Context) (platform.Reading, error)) (platform.Reading, error) {
	ctx, cancel := context.WithTimeout(feed.ctx, most)
	defer cancel()
	feed.calls.Add(1)
	return call(ctx)
}

func (feed *Feed) sleep(pause time.Duration) {
	select {
	case <-feed.ctx.Done():
	case <-time.After(pause):
	}
}
