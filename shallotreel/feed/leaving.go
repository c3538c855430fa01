package feed

import (
	"slices"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/shallotreel/cataloguesync"
)

// maxLeaving is the number of leaving targets that are kept for the next query to a peer.
const maxLeaving = 256

// RecordLeaving records that the process of the target said in an answer that it leaves. The peer that reads the store
// for this instance learns it with the next query, and passes it on with its catalogue.
func (feed *Feed) RecordLeaving(target catalogue.Target) {
	if !feed.View().Registered(target) {
		return
	}
	leaving := cataloguesync.Leaving{ID: target.ID, Born: target.Born}
	feed.root.Send(feed.pid, targetsLeave{[]cataloguesync.Leaving{leaving}})
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if len(feed.leaving) < maxLeaving && !slices.Contains(feed.leaving, leaving) {
		feed.leaving = append(feed.leaving, leaving)
	}
}

// takeLeaving returns and clears the targets to report.
func (feed *Feed) takeLeaving() []cataloguesync.Leaving {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	leaving := feed.leaving
	feed.leaving = nil
	return leaving
}

// returnLeaving keeps targets for the next query whose report failed.
func (feed *Feed) returnLeaving(leaving []cataloguesync.Leaving) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.leaving = append(leaving, feed.leaving...)
}
