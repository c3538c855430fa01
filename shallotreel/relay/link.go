package relay

import (
	"context"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/shallotreel/peerrpc"
)

const (
	dialTimeout = 250 * time.Millisecond
	// pingPeriod is the time between two checks of a link on which calls are running.
	pingPeriod = 100 * time.Millisecond
	// maxSilence is the time without an answer to a check after which the helper is believed to be gone. It is longer than the
	// pauses of a process whose share of a core is used up.
	maxSilence = 400 * time.Millisecond
	// pauseThreshold is the time between two checks that shows that this process was paused.
	pauseThreshold = 250 * time.Millisecond
	// idleTime is how long a link without calls stays open.
	idleTime = 10 * time.Second
)

// ErrNotSent is the error of a call of which nothing was sent.
var ErrNotSent = errors.New("nothing was sent to the helper")

// ErrLinkLost is the error of a call whose outcome is unknown, because the connection to the helper broke or the helper fell
// silent.
var ErrLinkLost = errors.New("the connection to the helper is lost")

// link is a connection to a helper.
type link struct {
	client   *rpc.Client
	mutex    sync.Mutex
	calls    int // in progress
	lastCall uint64
	usedAt   time.Time
	round    time.Duration // round trip to the helper
	isLost   bool
	lost     chan struct{} // closed when the link is lost
}

// openLink connects to the helper.
func openLink(peer netip.AddrPort) (*link, error) {
	begun := time.Now()
	client, err := peerrpc.Dial(peer, dialTimeout, maxSilence)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	now := time.Now()
	link := &link{client: client, usedAt: now, round: now.Sub(begun), lost: make(chan struct{})}
	go link.watch()
	return link, nil
}

// serve sends the request and waits for the reply, for the end of the context, or until the link is lost. The times left for the
// request are reduced by the way to the helper and back.
func (link *link) serve(ctx context.Context, request Request) (Reply, error) {
	link.mutex.Lock()
	if link.isLost {
		link.mutex.Unlock()
		return Reply{}, ErrNotSent
	}
	link.calls++
	link.lastCall++
	request.Call = link.lastCall
	request.Left -= link.round
	request.GoalLeft -= link.round
	link.mutex.Unlock()
	defer link.endCall()
	var reply Reply
	call := link.client.Go(ServiceName+".Serve", request, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		link.client.Go(ServiceName+".Cancel", request.Call, new(int), make(chan *rpc.Call, 1))
		return Reply{}, ctx.Err()
	case <-link.lost:
		return Reply{}, ErrLinkLost
	}
	var refused rpc.ServerError
	switch {
	case call.Error == nil:
		return reply, nil
	case errors.As(call.Error, &refused):
		return Reply{}, errors.Wrap(ErrNotSent, refused.Error()) // an instance of a version that serves no requests of others
	default:
		link.lose()
		return Reply{}, errors.Wrap(ErrLinkLost, call.Error.Error())
	}
}

func (link *link) endCall() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.calls--
	link.usedAt = time.Now()
}

// lose ends the link and the calls on it.
func (link *link) lose() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if !link.isLost {
		link.isLost = true
		close(link.lost)
		link.client.Close()
	}
}

// watch checks the link while calls are running, and ends it when the helper does not answer or the link is not used any more.
func (link *link) watch() {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	var ping *rpc.Call // in progress, or nil
	var sentAt time.Time
	checkedAt := time.Now()
	for {
		var answered chan *rpc.Call
		if ping != nil {
			answered = ping.Done
		}
		select {
		case <-link.lost:
			return
		case <-answered:
			if ping.Error != nil {
				link.lose()
				return
			}
			link.setRound(time.Since(sentAt))
			ping = nil
		case <-ticker.C:
			now := time.Now()
			if now.Sub(checkedAt) > pauseThreshold {
				sentAt = now // nothing follows from the silence while this process was paused
			}
			checkedAt = now
			switch {
			case ping != nil && now.Sub(sentAt) > maxSilence, ping == nil && link.isIdle(now):
				link.lose()
				return
			case ping == nil && link.isBusy():
				ping, sentAt = link.client.Go(ServiceName+".Ping", 0, new(int), make(chan *rpc.Call, 1)), now
			}
		}
	}
}

func (link *link) setRound(round time.Duration) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.round = round
}

func (link *link) isBusy() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.calls > 0
}

func (link *link) isIdle(now time.Time) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.calls == 0 && now.Sub(link.usedAt) >= idleTime
}
