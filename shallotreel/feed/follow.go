package feed

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/reel/cursor"
	"shallotreel.example/shallotreel/cataloguesync"
)

// The first four are the bounds of the cursor, which local variables of that name hide.
const (
	peerHold          = cursor.PeerHold
	peerTimeout       = cursor.PeerTimeout
	callTimeout       = cursor.CallTimeout
	watchCallTimeout  = cursor.WatchTimeout + cursor.CallTimeout
	anyAge            = math.MaxInt64          // after a failed call to the store a stale catalogue is better than none
	bootstrapInterval = 100 * time.Millisecond // between two attempts to load the first configuration from a serving peer
	actorTimeout      = time.Second            // of a request to the feed's own actor
)

// follow reads the whole catalogue once and then its changes, until the context ends. It reads from the peer that is
// assigned to this instance, or from the store if no peer is assigned or the peer has failed or is stale.
func (feed *Feed) follow() {
	cursor := &cursor.Cursor{}
	client := &cataloguesync.Client{}
	defer client.Close()
	for feed.ctx.Err() == nil {
		peer, hasPeer := feed.peers.Reader()
		if read := cursor.Next(time.Now(), hasPeer); read.Peer {
			feed.readPeer(cursor, client, peer)
		} else {
			feed.readStore(cursor, read)
			if !cursor.Listed() {
				feed.bootstrapFromPeer(client, anyAge)
			}
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
		feed.bootstrapFromPeer(client, cursor.MaxAge)
	}
}

// bootstrapFromPeer loads the catalogue from the first serving peer whose catalogue is not older than ageLimit. It does
// nothing once a configuration is applied. Later reads replace the loaded catalogue. A peer that does not know evacuations is used only if
// the store has failed and no other of the first peers does.
func (feed *Feed) bootstrapFromPeer(client *cataloguesync.Client, ageLimit time.Duration) {
	if feed.View().Configuration != nil {
		return
	}
	var fallback *cataloguesync.Reply
	outdated := 0
	for _, peer := range feed.peers.Serving() {
		if outdated == maxAsked {
			break
		}
		if ageLimit < anyAge && feed.isOutdated(client, peer) {
			outdated++
			continue
		}
		reply, err := client.Fetch(peer, cataloguesync.Query{}, peerTimeout)
		if err != nil {
			feed.log.WithError(err).WithField("peer", peer.String()).Warn("cannot read the catalogue of a peer")
			continue
		}
		if reply.Delta.Version == 0 || reply.Age > ageLimit {
			continue
		}
		if reply.Delta.SupportsEvacuations {
			feed.startWith(peer.String(), reply)
			return
		}
		fallback = &reply
		outdated++
	}
	if fallback != nil && ageLimit == anyAge {
		feed.startWith("of an older build, which does not know evacuations", *fallback)
	}
}

// startWith starts with the catalogue of the peer.
func (feed *Feed) startWith(peer string, reply cataloguesync.Reply) {
	feed.log.WithFields(logrus.Fields{"peer": peer, "age_ms": reply.Age.Milliseconds(),
		"version": reply.Delta.Version}).Warn("store has not answered; starting with the catalogue of a peer")
	feed.root.Send(feed.pid, bootstrapDelta{reply})
}

// isOutdated reports whether the peer is of a build that does not know evacuations. The question costs less than its whole catalogue.
func (feed *Feed) isOutdated(client *cataloguesync.Client, peer netip.AddrPort) bool {
	_, err := client.Evacuations(peer, peerTimeout)
	return errors.Is(err, cataloguesync.ErrUnsupported)
}

// readPeer reads the next changes from the peer.
func (feed *Feed) readPeer(cursor *cursor.Cursor, client *cataloguesync.Client, peer netip.AddrPort) {
	if peer == feed.outdatedPeer && feed.isOutdated(client, peer) {
		cursor.FailPeer(time.Now())
		return
	}
	era, last := cursor.Position().Era, cursor.Peer()
	query := cataloguesync.Query{Process: last.Process, Serial: last.Serial, Hold: peerHold,
		Leaving: feed.takeLeaving()}
	reply, err := client.Fetch(peer, query, peerTimeout)
	var pause time.Duration
	if err != nil {
		cursor.FailPeer(time.Now())
		feed.returnLeaving(query.Leaving)
	} else if !reply.Delta.SupportsEvacuations {
		feed.leaveOutdated(cursor, peer, reply)
		return
	} else {
		pause, err = cursor.ReadPeer(time.Now(), describe(reply))
	}
	if err != nil {
		feed.log.WithError(err).WithFields(logrus.Fields{"peer": peer.String(), "age_ms": reply.Age.Milliseconds(),
			"era": reply.Era, "revision": reply.Store}).Warn("peer unavailable or stale; reading the store")
		return
	}
	feed.checkEra(era, cursor)
	feed.root.Send(feed.pid, peerDelta{reply})
	feed.recordContact(cursor.Position(), reply.Age)
	feed.sleep(pause)
}

// leaveOutdated makes this instance read the store itself, since the peer does not know evacuations. It is asked again from time to time.
func (feed *Feed) leaveOutdated(cursor *cursor.Cursor, peer netip.AddrPort, reply cataloguesync.Reply) {
	cursor.FailPeer(time.Now())
	feed.outdatedPeer = peer
	feed.log.WithFields(logrus.Fields{"peer": peer.String(), "age_ms": reply.Age.Milliseconds()}).
		Warn("peer is of an older build, which does not know evacuations; reading the store")
}

// describe returns what the cursor needs to know of the reply.
func describe(reply cataloguesync.Reply) cursor.PeerReply {
	return cursor.PeerReply{Peer: cursor.Peer{Process: reply.Process, Serial: reply.Delta.Serial}, Whole: reply.Whole,
		Position: reply.Position(), Age: reply.Age, SupportsPending: reply.Delta.SupportsPending}
}

// readStore makes one full read or one watch of the store. It then pauses, for longer after each failure.
func (feed *Feed) readStore(cursor *cursor.Cursor, read cursor.Read) {
	var pause time.Duration
	var err error
	era := cursor.Position().Era
	if read.Whole {
		pause, err = feed.list(cursor, read.AllowStale)
	} else {
		pause, err = feed.watch(cursor, read)
	}
	feed.checkEra(era, cursor)
	if err != nil {
		feed.logCall(read, err)
		var outage bool
		if pause, outage = cursor.Fail(err); outage {
			feed.root.Send(feed.pid, callFailed{err})
		}
	} else if !read.AllowStale {
		feed.recordContact(cursor.Position(), 0)
	}
	feed.sleep(pause)
}

// logCall logs a call of the store that failed. Pauses between calls bound the number of lines.
func (feed *Feed) logCall(read cursor.Read, err error) {
	log := feed.log.WithError(err).WithFields(logrus.Fields{"whole": read.Whole, "after": read.After})
	var call *platform.CallError
	if errors.As(err, &call) {
		log = log.WithFields(logrus.Fields{"elapsed_ms": call.Elapsed.Milliseconds(), "reused": call.Reused, "idle_ms": call.Idle.Milliseconds()})
	}
	log.Warn("call of the store failed")
}

// checkEra tells the catalogue that the store was restored, if the era was an earlier one before the last read.
func (feed *Feed) checkEra(before uint64, cursor *cursor.Cursor) {
	if now := cursor.Position().Era; now > before && before > 0 {
		feed.root.Send(feed.pid, storeRestored{before, now})
		go feed.learnEvacuations() // peers may have seen one end since the restore
	}
}

// list reads all keys page by page. With allowStale each page may be seconds old, and older than the one before.
func (feed *Feed) list(cursor *cursor.Cursor, allowStale bool) (time.Duration, error) {
	var revisions []uint64 // of each page
	after, first := "", true
	for {
		response, err := feed.call(cursor, callTimeout, func(ctx context.Context) (platform.StoreResponse, error) {
			return feed.store.Range(ctx, after, allowStale)
		})
		if err != nil {
			return 0, err
		}
		revisions = append(revisions, response.Revision)
		last := !response.HasMore || response.LastKey == ""
		position := cursor.ReadPage(first, response.Revision)
		feed.root.Send(feed.pid, listPage{response, first, last, position, allowStale})
		if last {
			feed.log.WithFields(logrus.Fields{"stale": allowStale, "era": position.Era, "revisions": revisions}).Info("store listed")
			return cursor.ReadAll(allowStale), nil
		}
		after, first = response.LastKey, false
	}
}

// watch reads the changes after a revision.
func (feed *Feed) watch(cursor *cursor.Cursor, read cursor.Read) (time.Duration, error) {
	response, err := feed.call(cursor, watchCallTimeout, func(ctx context.Context) (platform.StoreResponse, error) {
		return feed.store.Watch(ctx, read.After, read.Wait)
	})
	if err != nil {
		return 0, err
	}
	feed.root.Send(feed.pid, watchEvents{response})
	return cursor.ReadChanges(response.Revision), nil
}

// call makes one call to the store with the timeout, counts it and checks the era of the answer.
func (feed *Feed) call(cursor *cursor.Cursor, timeout time.Duration,
	call func(context.Context) (platform.StoreResponse, error)) (platform.StoreResponse, error) {
	ctx, cancel := context.WithTimeout(feed.ctx, timeout)
	defer cancel()
	feed.calls.Add(1)
	response, err := call(ctx)
	if err != nil {
		return response, err
	}
	if err := cursor.Accept(response.Era); err != nil {
		return response, err
	}
	response.Era = cursor.Position().Era // an answer may not tell it
	return response, nil
}

// sleep waits for the pause or until the context ends.
func (feed *Feed) sleep(pause time.Duration) {
	select {
	case <-feed.ctx.Done():
	case <-time.After(pause):
	}
}
