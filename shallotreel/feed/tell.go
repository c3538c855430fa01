package feed

import (
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/shallotreel/copies"
)

// started is the origin of the times that contact holds; it has a reading of the monotonic clock.
var started = time.Now()

// contacted notes that the store's state was known so long ago.
func (feed *Feed) contacted(revision uint64, age time.Duration) {
	feed.contact.Store(int64(time.Since(started) - age))
	feed.revision.Store(revision)
}

// age is how long ago the store's state was known.
func (feed *Feed) age() time.Duration {
	if feed.contact.Load() == 0 {
		return time.Since(started) + ageMost
	}
	return time.Since(started) - time.Duration(feed.contact.Load())
}

// Since answers a peer, at the latest when its query's hold is over.
func (feed *Feed) Since(query copies.Query) copies.Reply {
	serial := query.Serial
	if query.Process != feed.process {
		serial = 0
	}
	deadline := time.NewTimer(min(query.Hold, peerHold))
	defer deadline.Stop()
	for {
		changed := feed.nextChange()
		reply := copies.Reply{Process: feed.process, Whole: serial == 0, Store: feed.revision.Load(), Age: feed.age()}
		result, err := feed.root.RequestFuture(feed.pid, since{serial}, askTimeout).Result()
		if err != nil {
			feed.log.WithError(err).Error("cannot answer a peer")
			reply.Age = ageMost + time.Second // it must not rely on this answer
			return reply
		}
		reply.Delta = result.(catalogue.Delta)
		if reply.Whole || reply.Delta.Serial != serial {
			return reply
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply.Age, reply.Store = feed.age(), feed.revision.Load()
			return reply
		case <-feed.ctx.Done():
			return reply
		}
	}
}

func (feed *Feed) nextChange() <-chan struct{} {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	return feed.change
}

// announce wakes the peers that wait for a change.
func (feed *Feed) announce() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	close(feed.change)
	feed.change = make(chan struct{})
}
