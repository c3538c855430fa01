package feed

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/cursor"
	"shallotreel.example/shallotreel/cataloguesync"
)

const (
	askTimeout = time.Second // for which an instance that starts waits for what its peers know of evacuations
	// askPeriod is how long an instance that has started asks its peers, of which it may learn late.
	askPeriod = 10 * time.Second
	// maxAsked is the number of peers that are asked at once.
	maxAsked = 3
)

// Sources of evacuations in log lines.
const (
	sourceStore   = "store"
	sourcePeer    = "peer"
	sourceStartup = "peer at startup"
)

// startup is what a starting instance must know before requests can be routed. Only the actor uses it.
type startup struct {
	evacuationsKnown bool // whether the state of the store is known that is not older than cursor.MaxAge
	peersAsked       bool // whether a peer has told what it knows of evacuations, or none can
	done             bool
}

// applyEvacuation applies a write or deletion of an evacuation. The key decides, whatever its value.
func (feed *Feed) applyEvacuation(now time.Time, dataCentre string, item platform.Item, position cursor.Position) {
	switch {
	case dataCentre == "":
		feed.logNameless(position)
	case item.Deleted:
		feed.catalogue.TakeBack(now, dataCentre, position)
	default:
		feed.catalogue.Evacuate(now, dataCentre, position)
	}
}

// logNameless logs once that an evacuation names no data centre.
func (feed *Feed) logNameless(position cursor.Position) {
	if feed.nameless == position {
		return
	}
	feed.nameless = position
	feed.log.WithFields(logrus.Fields{"era": position.Era, "revision": position.Revision}).
		Warn("evacuation without the name of a data centre ignored")
}

// logEvacuations logs the changes of evacuations since the last call.
func (feed *Feed) logEvacuations(now time.Time, source string) {
	for _, change := range feed.catalogue.TakeEvacuationChanges() {
		log := feed.log.WithFields(logrus.Fields{"data_centre": change.DataCentre, "era": change.Position.Era, "revision": change.Position.Revision,
			"source": source, "change": string(change.Kind), "age_ms": now.Sub(change.Since).Milliseconds()})
		switch change.Kind {
		case catalogue.EvacuationRetained:
			log.WithField("until", change.RetainedUntil).Warn("restored store lacks an evacuation; it stays in force until it is written again")
		case catalogue.EvacuationEnded, catalogue.EvacuationExpired:
			log.Info("evacuation ended")
		default:
			log.Info("evacuation in force")
			if !change.Known {
				log.Warn("evacuated data centre has no targets")
			}
		}
	}
}

// logEmptyServices logs the services that have lost their last target by an evacuation.
func (feed *Feed) logEmptyServices(old, current *catalogue.View) {
	before := old.EvacuatedServices()
	for _, service := range current.EvacuatedServices() {
		if !slices.Contains(before, service) {
			feed.log.WithFields(logrus.Fields{"service": service, "serial": current.Serial}).
				Warn("service has no target outside the evacuated data centres; its requests are refused")
		}
	}
}

// checkReady calls onReady once requests can be routed: a configuration is known, and which data centres are evacuated. If the store
// fails and no peer knows that, nothing better will be known soon.
func (feed *Feed) checkReady() {
	startup := &feed.startup
	if startup.done || feed.View().Configuration == nil {
		return
	}
	asked := startup.peersAsked || len(feed.peers.Serving()) == 0
	if !asked || !startup.evacuationsKnown && !feed.storeFailing {
		return
	}
	startup.done = true
	if !startup.evacuationsKnown {
		feed.log.Warn("store lost and no peer knows the evacuations; serving without them")
	}
	feed.ready.Store(true)
	feed.onReady()
}

// applyPeerEvacuations applies what a peer has told a starting instance; reply is nil if no peer can tell.
func (feed *Feed) applyPeerEvacuations(now time.Time, reply *cataloguesync.EvacuationReply) {
	feed.startup.peersAsked = true
	if reply == nil {
		return
	}
	feed.catalogue.ApplyEvacuations(now, &reply.Evacuations)
	if reply.Age <= cursor.MaxAge {
		feed.startup.evacuationsKnown = true
	}
}

// learnEvacuations asks the serving peers for the evacuations that they know, since a store that was restored may lack some.
func (feed *Feed) learnEvacuations() {
	client := &cataloguesync.Client{}
	defer client.Close()
	started := time.Now()
	var firstAsked time.Time
	for feed.ctx.Err() == nil && time.Since(started) < askPeriod {
		peers := feed.peers.Serving()
		if len(peers) > 0 && firstAsked.IsZero() {
			firstAsked = time.Now()
		}
		reply, ended := feed.askPeers(client, peers[:min(len(peers), maxAsked)])
		if ended || !firstAsked.IsZero() && time.Since(firstAsked) >= askTimeout {
			feed.root.Send(feed.pid, evacuationsLearned{reply})
			return
		}
		feed.sleep(bootstrapInterval)
	}
	feed.root.Send(feed.pid, evacuationsLearned{})
}

// askPeers returns what the first peer that answers knows of evacuations. It reports whether there is such a peer, or all are of a
// build that does not know them.
func (feed *Feed) askPeers(client *cataloguesync.Client, peers []netip.AddrPort) (*cataloguesync.EvacuationReply, bool) {
	outdated := 0
	for _, peer := range peers {
		reply, err := client.Evacuations(peer, peerTimeout)
		switch {
		case err == nil && reply.Evacuations.Read != cursor.Position{}:
			return &reply, true
		case errors.Is(err, cataloguesync.ErrUnsupported):
			outdated++
		}
	}
	return nil, outdated > 0 && outdated == len(peers)
}

// Evacuations returns what this instance knows of evacuations.
func (feed *Feed) Evacuations() cataloguesync.EvacuationReply {
	reply := cataloguesync.EvacuationReply{Age: feed.age()}
	result, err := feed.root.RequestFuture(feed.pid, evacuationsRequest{}, actorTimeout).Result()
	if err != nil {
		feed.log.WithError(err).Error("cannot read the evacuations for a peer")
		return reply
	}
	reply.Evacuations = result.(catalogue.EvacuationDelta)
	return reply
}
