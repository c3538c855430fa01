package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/result"
)

const (
	maxAnswerSize  = 16 << 20 // bytes
	addressTimeout = 300 * time.Millisecond
	idleConns      = 256
	maxTries       = 4
	answerMargin   = 20 * time.Millisecond // for the way back of the last answer
)

// ErrSilent is returned for an instance that neither answers nor shows that it lives.
var ErrSilent = errors.New("instance is silent")

// ErrNoInstance is returned when no known instance answers.
var ErrNoInstance = errors.New("no instance answers")

// Client sends a caller's requests; it keeps addresses as long as it may and no longer.
type Client struct {
	name       string
	dataCentre string
	seeds      []netip.AddrPort
	http       *http.Client
	mutex      sync.Mutex
	known      Addresses
	until      time.Time
	failed     map[netip.AddrPort]bool
	observe    func(instance netip.AddrPort, err error)
	life       life
}

// Option changes a client under construction.
type Option func(*Client)

// WithObserver makes the client tell of each request that an instance did not answer.
func WithObserver(observe func(instance netip.AddrPort, err error)) Option {
	return func(client *Client) { client.observe = observe }
}

// NewClient returns a client that first asks the seeds for addresses.
func NewClient(name, dataCentre string, seeds []netip.AddrPort, options ...Option) *Client {
	client := &Client{name: name, dataCentre: dataCentre, seeds: seeds, failed: map[netip.AddrPort]bool{},
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}},
		observe: func(netip.AddrPort, error) {}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Search asks all shards of a kind's source.
func (client *Client) Search(ctx context.Context, request Request) (Answer, error) {
	return client.send(ctx, SearchPath, request)
}

// Fetch asks for one item by its key.
func (client *Client) Fetch(ctx context.Context, request Request) (Answer, error) {
	return client.send(ctx, FetchPath, request)
}

// Record runs a request that may not be repeated; without a ticket it gets one first.
func (client *Client) Record(ctx context.Context, request Request) (Answer, error) {
	if request.Ticket == "" {
		ticket, err := client.Ticket(ctx)
		if err != nil {
			return Answer{}, err
		}
		request.Ticket = ticket
	}
	return client.send(ctx, RecordPath, request)
}

// Ticket asks an instance for a ticket.
func (client *Client) Ticket(ctx context.Context) (string, error) {
	addresses, err := client.refresh(ctx)
	if err != nil || addresses.Ticket != "" {
		return addresses.Ticket, err
	}
	// An instance that is stopping gives no ticket, but names those that do.
	addresses, err = client.ask(ctx, addresses.Addresses[0].Address)
	return addresses.Ticket, err
}

// Instances returns the addresses to use now, best first, and refreshes them when their time is over.
func (client *Client) Instances(ctx context.Context) ([]Address, error) {
	client.mutex.Lock()
	fresh := time.Now().Before(client.until) && len(client.failed) < len(client.known.Addresses)
	known := client.known
	client.mutex.Unlock()
	if fresh {
		return client.usable(known.Addresses), nil
	}
	refreshed, err := client.refresh(ctx)
	if err != nil {
		return nil, err
	}
	return refreshed.Addresses, nil
}

func (client *Client) usable(addresses []Address) []Address {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	var usable []Address
	for _, address := range addresses {
		if !client.failed[address.Address] {
			usable = append(usable, address)
		}
	}
	return usable
}

func (client *Client) refresh(ctx context.Context) (Addresses, error) {
	client.mutex.Lock()
	var candidates []netip.AddrPort
	for _, address := range client.known.Addresses {
		candidates = append(candidates, address.Address)
	}
	candidates = append(candidates, client.seeds...)
	slices.SortStableFunc(candidates, func(a, b netip.AddrPort) int {
		return cmp.Compare(rank(client.failed[a]), rank(client.failed[b]))
	})
	client.mutex.Unlock()
	for _, candidate := range candidates {
		addresses, err := client.ask(ctx, candidate)
		if err == nil && len(addresses.Addresses) > 0 {
			client.keep(addresses)
			return addresses, nil
		}
		if ctx.Err() != nil {
			return Addresses{}, ctx.Err()
		}
		client.fail(candidate)
	}
	return Addresses{}, ErrNoInstance
}

// rank puts instances that failed lately last.
func rank(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

func (client *Client) ask(ctx context.Context, instance netip.AddrPort) (Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	query := url.Values{"caller": {client.name}, "data_centre": {client.dataCentre}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+instance.String()+AddressesPath+"?"+query.Encode(), nil)
	if err != nil {
		return Addresses{}, errors.Wrap(err, "build request")
	}
	var addresses Addresses
	return addresses, client.do(request, &addresses)
}

func (client *Client) keep(addresses Addresses) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.known = addresses
	client.until = time.Now().Add(addresses.Keep.Std())
	clear(client.failed)
}

func (client *Client) fail(instance netip.AddrPort) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.failed[instance] = true
}

// send moves on to another instance only when the first surely did not run the request,
// or when the request may be sent again under its ticket or without harm.
func (client *Client) send(ctx context.Context, path string, request Request) (Answer, error) {
	request.Caller = client.name
	if end, bounded := ctx.Deadline(); bounded && request.Deadline.IsZero() {
		request.Deadline = end.Add(-answerMargin)
	}
	var last error = ErrNoInstance
	var refused *Answer
	mayHaveRun := false
	for range maxTries {
		instances, err := client.Instances(ctx)
		if err != nil || len(instances) == 0 {
			break
		}
		answer, err := client.try(ctx, instances[0].Address, path, request)
		if err != nil {
			client.fail(instances[0].Address)
			client.observe(instances[0].Address, err)
			last = err
			mayHaveRun = mayHaveRun || !Refused(err)
			if ctx.Err() != nil {
				return Answer{}, err
			}
			continue
		}
		if answer.Addresses != nil {
			client.keep(*answer.Addresses)
		}
		if answer.Ran == result.RanNo && mayHaveRun {
			answer.Ran = result.RanUnknown // at an instance that was asked before
		}
		if answer.Ran == result.RanYes || !elsewhere(answer.Code) {
			return answer, nil
		}
		client.fail(instances[0].Address)
		refused = &answer
	}
	if refused != nil {
		return *refused, nil
	}
	return Answer{}, errors.Wrap(last, "send request")
}

// elsewhere reports whether another instance may accept what this one refused.
func elsewhere(code result.Code) bool {
	switch code {
	case result.NotReady, result.Isolated, result.Paused, result.Stopping:
		return true
	default:
		return false
	}
}

// try waits for an instance as long as it shows that it lives, so that a frozen one leaves time for another.
func (client *Client) try(ctx context.Context, instance netip.AddrPort, path string, body Request) (Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go client.watch(ctx, cancel, instance)
	answer, err := client.post(ctx, instance, path, body)
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		return Answer{}, ErrSilent
	}
	return answer, err
}

// watch ends the context once the instance does not answer a check of its life.
func (client *Client) watch(ctx context.Context, cancel context.CancelCauseFunc, instance netip.AddrPort) {
	ticker := time.NewTicker(lifePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := client.checkLife(ctx, instance); err != nil && ctx.Err() == nil {
			cancel(ErrSilent)
			return
		}
	}
}

func (client *Client) checkLife(ctx context.Context, instance netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, client.life.patience())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.String()+LivePath, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	begun := time.Now()
	response, err := client.http.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	client.life.learn(time.Since(begun))
	return nil
}

func (client *Client) post(ctx context.Context, instance netip.AddrPort, path string, body Request) (Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{}, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance.String()+path,
		io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return Answer{}, errors.Wrap(err, "build request")
	}
	request.ContentLength = int64(len(data))
	var answer Answer
	return answer, client.do(request, &answer)
}

func (client *Client) do(request *http.Request, into any) error {
	response, err := client.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// Refused reports whether the error says that the connection was never made.
func Refused(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
