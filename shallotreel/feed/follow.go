package feed

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/shallotreel/cataloguesync"
)

const (
	peerPollTimeout   = 500 * time.Millisecond  // for which a peer may delay its answer while nothing changes
	peerTimeout       = 300 * time.Millisecond  // of a call to a peer, in addition to peerPollTimeout
	peerPollInterval  = 50 * time.Millisecond   // pause after a change, so that one answer returns several changes
	maxAge            = 1800 * time.Millisecond // of a peer's catalogue; changes must take effect within three seconds
	anyAge            = math.MaxInt64           // after a failed call to the store a stale catalogue is better than none
	bootstrapInterval = 100 * time.Millisecond  // between two attempts to load the first configuration from a serving peer
	directReadPeriod  = 2 * time.Second         // for which the store is read directly after a peer failed
	actorTimeout      = time.Second             // of a request to the feed's own actor
)

var errPeerStale = errors.New("the peer's catalogue is stale")

// cursor records how far this instance has read the store, directly or through a peer.
type cursor struct {
	storeRevision   uint64 // newest revision of the store that was read
	listed          bool   // whether a full read has succeeded
	stale           bool   // whether the only read so far is a stale one, which may be seconds old
	historyLost     bool   // whether the store no longer had the changes after the last revision
	peerIncarnation uint64 // incarnation of the peer that issued peerSerial
	peerSerial      uint64
	directUntil     time.Time // time until which the store is read instead of a peer
	backoff         time.Duration
}

// follow reads the whole catalogue once and then its changes, until the context ends. It reads from the peer that is
// assigned to this instance, or from the store if no peer is assigned or the peer has failed or is stale.
func (feed *Feed) follow() {
	cursor := &cursor{backoff: minBackoff}
	client := &cataloguesync.Client{}
	defer client.Close()
	for feed.ctx.Err() == nil {
		if peer, ok := feed.peers.Reader(); ok && time.Now().After(cursor.directUntil) {
			feed.readPeer(cursor, client, peer)
			continue
		}
		feed.readStore(cursor)
		if !cursor.listed {
			feed.bootstrapFromPeer(client, anyAge)
		}
	}
}

// bootstrap loads the catalogue from a serving peer until a configuration is applied. It runs concurrently with this
// instance's first call to the store, because a store that recovers from an outage answers new calls sooner than calls
// that were made during the outage.
func (feed *Feed) bootstrap() {
	client := &cataloguesync.Client{}
	defer client.Close()
	for feed.ctx.Err() == nil && feed.View().Configuration == nil {
		feed.sleep(bootstrapInterval)
		feed.bootstrapFromPeer(client, maxAge)
	}
}

// bootstrapFromPeer loads the catalogue from the first serving peer whose catalogue is not older than ageLimit. It does
// nothing once a configuration is applied. Later reads replace the loaded catalogue.
func (feed *Feed) bootstrapFromPeer(client *cataloguesync.Client, ageLimit time.Duration) {
	if feed.View().Configuration != nil {
		return
	}
	for _, peer := range feed.peers.Serving() {
		reply, err := client.Fetch(peer, cataloguesync.Query{}, peerTimeout)
		if err != nil {
			feed.log.WithError(err).WithField("peer", peer.String()).Warn("cannot read the catalogue of a peer")
			continue
		}
		if reply.Delta.Version == 0 || reply.Age > ageLimit {
			continue
		}
		feed.log.WithFields(logrus.Fields{"peer": peer.String(), "age_ms": reply.Age.Milliseconds(),
			"version": reply.Delta.Version}).Warn("store has not answered; starting with the catalogue of a peer")
		feed.root.Send(feed.pid, bootstrapDelta{reply})
		return
	}
}

// readPeer reads the next changes from the peer. After an error or a stale answer the store is read directly for
// directReadPeriod.
func (feed *Feed) readPeer(cursor *cursor, client *cataloguesync.Client, peer netip.AddrPort) {
	query := cataloguesync.Query{Process: cursor.peerIncarnation, Serial: cursor.peerSerial, Hold: peerPollTimeout}
	reply, err := client.Fetch(peer, query, peerTimeout)
	switch {
	case err != nil:
	case reply.Age > maxAge:
		err = errPeerStale
	case reply.Whole && reply.Store < cursor.storeRevision:
		err = errPeerStale
	}
	if err != nil {
		feed.log.WithError(err).WithFields(logrus.Fields{"peer": peer.String(), "age_ms": reply.Age.Milliseconds()}).
			Warn("peer unavailable or stale; reading the store")
		cursor.directUntil = time.Now().Add(directReadPeriod)
		return
	}
	feed.root.Send(feed.pid, peerDelta{reply})
	changed := reply.Delta.Serial != cursor.peerSerial
	cursor.peerIncarnation, cursor.peerSerial, cursor.listed = reply.Process, reply.Delta.Serial, true
	cursor.storeRevision = max(cursor.storeRevision, reply.Store)
	feed.recordContact(cursor.storeRevision, reply.Age)
	if changed {
		feed.sleep(peerPollInterval)
	}
}

// readStore makes one full read or one watch of the store. It then pauses, for longer after each failure.
func (feed *Feed) readStore(cursor *cursor) {
	var err error
	if !cursor.listed {
		cursor.storeRevision, err = feed.list(!cursor.historyLost)
		cursor.listed = err == nil
		if cursor.listed && !cursor.historyLost {
			cursor.stale = true
			return // the next watch returns the changes since the stale read
		}
	} else {
		wait := watchTimeout
		if cursor.stale {
			wait = catchUpTimeout
		}
		cursor.storeRevision, err = feed.watch(cursor.storeRevision, wait)
		cursor.stale = cursor.stale && err != nil
	}
	switch {
	case err == nil:
		cursor.backoff = minBackoff
		feed.recordContact(cursor.storeRevision, 0)
		feed.sleep(watchInterval)
	case errors.Is(err, platform.ErrHistoryLost):
		cursor.listed, cursor.historyLost = false, true
	default:
		feed.root.Send(feed.pid, callFailed{err})
		feed.sleep(cursor.backoff)
		cursor.backoff = min(2*cursor.backoff, maxBackoff)
	}
}

// list reads all keys page by page and returns the revision of the first page; a watch from that revision misses no
// change. With allowStale the result may be seconds old.
func (feed *Feed) list(allowStale bool) (uint64, error) {
	var revision uint64
	after, first := "", true
	for {
		response, err := feed.call(callTimeout, func(ctx context.Context) (platform.StoreResponse, error) {
			return feed.store.Range(ctx, after, allowStale)
		})
		if err != nil {
			return 0, err
		}
		if first {
			revision = response.Revision
		}
		last := !response.HasMore || response.LastKey == ""
		feed.root.Send(feed.pid, listPage{response, first, last})
		if last {
			return revision, nil
		}
		after, first = response.LastKey, false
	}
}

// watch reads the changes after the revision and returns the revision up to which changes are read.
func (feed *Feed) watch(revision uint64, wait time.Duration) (uint64, error) {
	response, err := feed.call(watchTimeout+callTimeout, func(ctx context.Context) (platform.StoreResponse, error) {
		return feed.store.Watch(ctx, revision, wait)
	})
	if err != nil {
		return revision, err
	}
	feed.root.Send(feed.pid, watchEvents{response})
	return max(revision, response.Revision), nil
}

// call makes one call to the store with the timeout and counts it.
func (feed *Feed) call(timeout time.Duration,
	call func(context.Context) (platform.StoreResponse, error)) (platform.StoreResponse, error) {
	ctx, cancel := context.WithTimeout(feed.ctx, timeout)
	defer cancel()
	feed.calls.Add(1)
	return call(ctx)
}

// sleep waits for the pause or until the context ends.
func (feed *Feed) sleep(pause time.Duration) {
	select {
	case <-feed.ctx.Done():
	case <-time.After(pause):
	}
}
