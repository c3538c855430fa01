package feed

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/shallotreel/copies"
)

const (
	peerHold    = 500 * time.Millisecond  // for which a peer may wait for a change
	peerMost    = 300 * time.Millisecond  // beyond it
	peerPause   = 50 * time.Millisecond   // after a change, so that one answer brings several
	ageMost     = 1800 * time.Millisecond // of a peer's knowledge: changes must be in force within three seconds
	ageAny      = math.MaxInt64           // any knowledge is better than none once the store's call has failed
	primePeriod = 100 * time.Millisecond  // between two looks for a serving peer by an instance that knows nothing
	directTerm  = 2 * time.Second         // for which the store is read after a peer failed
	askTimeout  = time.Second
)

var errPeerBehind = errors.New("the peer's knowledge is old")

// place is how far this instance has read.
type place struct {
	revision uint64 // of the store
	listed   bool   // whether everything was read once
	behind   bool   // whether only a cheap reading was made, which may be seconds old
	lost     bool   // whether the history after an older reading was gone
	process  uint64 // of the peer that gave the serial
	serial   uint64
	direct   time.Time // until when no peer is asked
	backoff  time.Duration
}

// follow reads everything once and then what changes, until the context ends: from the peer that reads for this
// instance, or from the store itself where no peer does or its knowledge is old.
func (feed *Feed) follow() {
	place := &place{backoff: backoffLeast}
	client := &copies.Client{}
	defer client.Close()
	for feed.ctx.Err() == nil {
		if peer, ok := feed.readers.Reader(); ok && time.Now().After(place.direct) {
			feed.askPeer(place, client, peer)
			continue
		}
		feed.askStore(place)
		if !place.listed {
			feed.borrow(client, ageAny)
		}
	}
}

// prime takes a serving peer's knowledge while this instance knows nothing and its own call to the store has not
// ended: a store that was away answers new calls sooner than those that met its outage.
func (feed *Feed) prime() {
	client := &copies.Client{}
	defer client.Close()
	for feed.ctx.Err() == nil && feed.View().Configuration == nil {
		feed.sleep(primePeriod)
		feed.borrow(client, ageMost)
	}
}

// borrow takes what a peer that serves requests knows, unless it is older than may be, while this instance knows
// nothing; what it then reads for itself replaces it.
func (feed *Feed) borrow(client *copies.Client, oldest time.Duration) {
	if feed.View().Configuration != nil {
		return
	}
	for _, peer := range feed.readers.Serving() {
		reply, err := client.Fetch(peer, copies.Query{}, peerMost)
		if err != nil {
			feed.log.WithError(err).WithField("peer", peer.String()).Warn("a peer does not tell what it knows")
			continue
		}
		if reply.Delta.Version == 0 || reply.Age > oldest {
			continue
		}
		feed.log.WithFields(logrus.Fields{"peer": peer.String(), "age_ms": reply.Age.Milliseconds(),
			"version": reply.Delta.Version}).Warn("starting on a peer's knowledge, the store has not answered")
		feed.root.Send(feed.pid, lent{reply})
		return
	}
}

// askPeer takes what the peer has read; a peer that is silent or behind is passed over for a while.
func (feed *Feed) askPeer(place *place, client *copies.Client, peer netip.AddrPort) {
	query := copies.Query{Process: place.process, Serial: place.serial, Hold: peerHold}
	reply, err := client.Fetch(peer, query, peerMost)
	switch {
	case err != nil:
	case reply.Age > ageMost:
		err = errPeerBehind
	case reply.Whole && reply.Store < place.revision:
		err = errPeerBehind
	}
	if err != nil {
		feed.log.WithError(err).WithFields(logrus.Fields{"peer": peer.String(), "age_ms": reply.Age.Milliseconds()}).
			Warn("reading the store instead of a peer")
		place.direct = time.Now().Add(directTerm)
		return
	}
	feed.root.Send(feed.pid, told{reply})
	changed := reply.Delta.Serial != place.serial
	place.process, place.serial, place.listed = reply.Process, reply.Delta.Serial, true
	place.revision = max(place.revision, reply.Store)
	feed.contacted(place.revision, reply.Age)
	if changed {
		feed.sleep(peerPause)
	}
}

// askStore reads the next changes from the store and pauses.
func (feed *Feed) askStore(place *place) {
	var err error
	if !place.listed {
		place.revision, err = feed.list(!place.lost)
		place.listed = err == nil
		if place.listed && !place.lost {
			place.behind = true
			return // a watch brings what has changed since the cheap reading
		}
	} else {
		wait := watchWait
		if place.behind {
			wait = catchUpWait
		}
		place.revision, err = feed.watch(place.revision, wait)
		place.behind = place.behind && err != nil
	}
	switch {
	case err == nil:
		place.backoff = backoffLeast
		feed.contacted(place.revision, 0)
		feed.sleep(watchPause)
	case errors.Is(err, platform.ErrHistoryLost):
		place.listed, place.lost = false, true
	default:
		feed.root.Send(feed.pid, failed{err})
		feed.sleep(place.backoff)
		place.backoff = min(2*place.backoff, backoffMost)
	}
}

// list reads all keys, page by page, and returns the revision of the first page, from which a watch misses nothing.
// A cheap reading may be seconds old.
func (feed *Feed) list(cheap bool) (uint64, error) {
	var revision uint64
	after, first := "", true
	for {
		reading, err := feed.call(callMost, func(ctx context.Context) (platform.Reading, error) {
			return feed.store.Range(ctx, after, cheap)
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

func (feed *Feed) watch(revision uint64, wait time.Duration) (uint64, error) {
	reading, err := feed.call(watchWait+callMost, func(ctx context.Context) (platform.Reading, error) {
		return feed.store.Watch(ctx, revision, wait)
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
