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
	// maxSilence is the time without an answer to a check after which the helper is asked nothing more. It is longer than the
	// pauses of a process whose share of a core is used up.
	maxSilence = 400 * time.Millisecond
	// maxLostSilence is the time after which the link to a silent helper is ended.
	maxLostSilence = 5 * time.Second
	// pauseThreshold is the time between two checks that shows that this process was paused.
	pauseThreshold = 250 * time.Millisecond
	// idleTime is how long a link without calls stays open. It may go silent meanwhile, which is noticed only once calls are running.
	idleTime = time.Second
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
	isSilent bool
	silent   chan struct{} // closed while the helper is silent
	isLost   bool
	lost     chan struct{} // closed when the link is lost
}

// openLink connects to the helper.
func openLink(peer netip.AddrPort) (*link, error) {
	begun := time.Now()
	client, err := peerrpc.Dial(peer, dialTimeout, maxLostSilence)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	now := time.Now()
	link := &link{client: client, usedAt: now, round: now.Sub(begun), silent: make(chan struct{}), lost: make(chan struct{})}
	go link.watch()
	return link, nil
}

// serve sends the request and waits for the reply, for the end of the context, or until the link is lost. A request that may be repeated
// does not wait for a silent helper. The times left for the request are reduced by the way to the helper and back.
func (link *link) serve(ctx context.Context, request Request) (Reply, error) {
	silent, began := link.beginCall(&request)
	if !began {
		return Reply{}, ErrNotSent
	}
	defer link.endCall()
	if request.Once {
		silent = nil // its caller cannot ask again
	}
	var reply Reply
	done := make(chan *rpc.Call, 1)
	go link.client.Go(ServiceName+".Serve", request, &reply, done) // blocks while the helper does not read
	select {
	case call := <-done:
		return link.result(&reply, call.Error)
	case <-ctx.Done():
		go link.client.Go(ServiceName+".Cancel", request.Call, new(int), make(chan *rpc.Call, 1))
		return Reply{}, ctx.Err()
	case <-silent:
		go link.client.Go(ServiceName+".Cancel", request.Call, new(int), make(chan *rpc.Call, 1))
		return Reply{}, ErrLinkLost
	case <-link.lost:
		return Reply{}, ErrLinkLost
	}
}

// result returns the reply, or the error that the call ended with.
func (link *link) result(reply *Reply, err error) (Reply, error) {
	var refused rpc.ServerError
	switch {
	case err == nil:
		return *reply, nil
	case errors.As(err, &refused):
		return Reply{}, errors.Wrap(ErrNotSent, refused.Error()) // an instance of a version that serves no requests of others
	default:
		link.lose()
		return Reply{}, errors.Wrap(ErrLinkLost, err.Error())
	}
}

// beginCall numbers the call and takes the way to the helper off its times. It returns the channel of a silent helper, or false
// if the helper must not be asked now.
func (link *link) beginCall(request *Request) (silent <-chan struct{}, ok bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.isLost || link.isSilent {
		return nil, false
	}
	link.calls++
	link.lastCall++
	request.Call = link.lastCall
	request.Left -= link.round
	request.GoalLeft -= link.round
	return link.silent, true
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
		go link.client.Close() // waits while the helper does not read
	}
}

// setSilent records whether the helper is silent.
func (link *link) setSilent(silent bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	switch {
	case silent && !link.isSilent:
		close(link.silent)
	case !silent && link.isSilent:
		link.silent = make(chan struct{})
	}
	link.isSilent = silent
}

// watch checks the link while calls are running, and ends it when the helper has been silent for too long or the link is not used any
// more.
func (link *link) watch() {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	var answered chan error // of the check in progress, or nil
	var sentAt time.Time
	checkedAt := time.Now()
	for {
		select {
		case <-link.lost:
			return
		case err := <-answered:
			if err != nil {
				link.lose()
				return
			}
			link.setRound(time.Since(sentAt))
			link.setSilent(false)
			answered = nil
		case <-ticker.C:
			now := time.Now()
			if now.Sub(checkedAt) > pauseThreshold {
				sentAt = now // nothing follows from the silence while this process was paused
			}
			checkedAt = now
			waited := now.Sub(sentAt)
			switch {
			case answered != nil && waited > maxLostSilence, answered == nil && link.isIdle(now):
				link.lose()
				return
			case answered != nil && waited > maxSilence:
				link.setSilent(true)
			case answered == nil && link.isBusy():
				answered, sentAt = link.ping(), now
			}
		}
	}
}

// ping checks whether the helper answers, and returns the channel of its answer.
func (link *link) ping() chan error {
	answered := make(chan error, 1)
	go func() { answered <- link.client.Call(ServiceName+".Ping", 0, new(int)) }()
	return answered
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
