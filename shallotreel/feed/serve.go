package feed

import (
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/cursor"
	"shallotreel.example/shallotreel/cataloguesync"
)

// processStart is the origin of Feed.lastContact. It includes a monotonic clock reading, so that differences are
// independent of changes of the wall clock.
var processStart = time.Now()

// recordContact records that the store was read the given age ago, at the position.
func (feed *Feed) recordContact(position cursor.Position, age time.Duration) {
	feed.lastContact.Store(int64(time.Since(processStart) - age))
	feed.position.Store(&position)
}

// age returns the time since the store was last read, directly or by a peer. Before the first contact it exceeds
// cursor.MaxAge.
func (feed *Feed) age() time.Duration {
	if feed.lastContact.Load() == 0 {
		return time.Since(processStart) + cursor.MaxAge
	}
	return time.Since(processStart) - time.Duration(feed.lastContact.Load())
}

// Since returns the changes after the query's serial, or the whole catalogue if the serial was issued by another
// process. It waits for a change for at most the query's Hold, capped at half a second. If the catalogue cannot be
// read, the reply's Age is so high that the peer discards the reply.
func (feed *Feed) Since(query cataloguesync.Query) cataloguesync.Reply {
	if len(query.Leaving) > 0 {
		feed.root.Send(feed.pid, targetsLeave{query.Leaving})
	}
	serial := query.Serial
	if query.Process != feed.incarnation {
		serial = 0
	}
	deadline := time.NewTimer(min(query.Hold, peerHold))
	defer deadline.Stop()
	for {
		changed := feed.nextChange()
		position := feed.position.Load() // before the catalogue is read, which may be newer
		reply := cataloguesync.Reply{Process: feed.incarnation, Whole: serial == 0, Era: position.Era, Store: position.Revision, Age: feed.age()}
		result, err := feed.root.RequestFuture(feed.pid, deltaRequest{serial}, actorTimeout).Result()
		if err != nil {
			feed.log.WithError(err).Error("cannot read the catalogue for a peer")
			reply.Age = cursor.MaxAge + time.Second // makes the peer discard this reply
			return reply
		}
		reply.Delta = result.(catalogue.Delta)
		if reply.Whole || reply.Delta.Serial != serial {
			return reply
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply.Age = feed.age() // the position stays, since changes may have been read after this catalogue
			return reply
		case <-feed.ctx.Done():
			return reply
		}
	}
}

// nextChange returns a channel that is closed at the next change of the catalogue.
func (feed *Feed) nextChange() <-chan struct{} {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	return feed.changed
}

// notifyWaiters wakes the calls of Since that wait for a change.
func (feed *Feed) notifyWaiters() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	close(feed.changed)
	feed.changed = make(chan struct{})
}
