package caller

import (
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

	"shallotreel.example/reel/jsonhttp"
	"shallotreel.example/reel/result"
)

const (
	maxAnswerSize  = 16 << 20               // bytes
	addressTimeout = 300 * time.Millisecond // of one request for addresses
	maxIdleConns   = 256                    // per instance
	maxAttempts    = 4                      // of one request
	answerMargin   = 20 * time.Millisecond  // from the request's deadline to the context's, for the answer to arrive
)

// ErrUnresponsive is returned when an instance has not answered the request and fails its health check.
var ErrUnresponsive = errors.New("instance does not respond")

// ErrNoInstance is returned when no instance, including the seeds, answers a request for addresses.
var ErrNoInstance = errors.New("no instance answers")

// Client sends a caller's requests to instances. It caches the addresses of instances until they expire. It is safe for
// concurrent use.
type Client struct {
	name            string
	dataCentre      string
	seeds           []netip.AddrPort
	http            *http.Client
	mutex           sync.Mutex
	addresses       Addresses
	addressesExpire time.Time
	failed          map[netip.AddrPort]bool
	observeFailure  func(instance netip.AddrPort, err error)
	checkLatency    latencyEstimate
}

// Option configures a new Client.
type Option func(*Client)

// WithObserver makes the client call observe with the instance and the error of each request that the instance did not
// answer.
func WithObserver(observe func(instance netip.AddrPort, err error)) Option {
	return func(client *Client) { client.observeFailure = observe }
}

// NewClient returns a client for the named caller in the data centre. It requests the first addresses from the seeds.
func NewClient(name, dataCentre string, seeds []netip.AddrPort, options ...Option) *Client {
	client := &Client{name: name, dataCentre: dataCentre, seeds: seeds, failed: map[netip.AddrPort]bool{},
		http:           &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
		observeFailure: func(netip.AddrPort, error) {}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Search queries all shards of the source of the request's kind. The error is ErrNoInstance, ErrUnresponsive, or an
// error of the context or the connection, possibly wrapped.
func (client *Client) Search(ctx context.Context, request Request) (Answer, error) {
	return client.send(ctx, SearchPath, request)
}

// Fetch requests one item by its key. It returns the same errors as Search.
func (client *Client) Fetch(ctx context.Context, request Request) (Answer, error) {
	return client.send(ctx, FetchPath, request)
}

// Record sends a request that must run at most once. If the request has no ticket, Record requests one first. It
// returns the same errors as Search.
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

// Ticket requests a new ticket from an instance. It returns ErrNoInstance if no instance answers, or the error of the
// request.
func (client *Client) Ticket(ctx context.Context) (string, error) {
	addresses, err := client.refresh(ctx)
	if err != nil || addresses.Ticket != "" {
		return addresses.Ticket, err
	}
	// An instance that is stopping issues no ticket, but returns the addresses of instances that do.
	addresses, err = client.fetchAddresses(ctx, addresses.Addresses[0].Address)
	return addresses.Ticket, err
}

// Instances returns the usable addresses, best first. If the cached addresses have expired or requests to all of them
// have failed, it requests new ones; it returns ErrNoInstance if no instance answers.
func (client *Client) Instances(ctx context.Context) ([]Address, error) {
	client.mutex.Lock()
	fresh := time.Now().Before(client.addressesExpire) && len(client.failed) < len(client.addresses.Addresses)
	addresses := client.addresses
	client.mutex.Unlock()
	if fresh {
		return client.usable(addresses.Addresses), nil
	}
	refreshed, err := client.refresh(ctx)
	if err != nil {
		return nil, err
	}
	return refreshed.Addresses, nil
}

// usable returns the addresses to which no request has failed since the last update.
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

// refresh requests new addresses from the instances in the cache and the seeds in turn until one returns some.
func (client *Client) refresh(ctx context.Context) (Addresses, error) {
	client.mutex.Lock()
	var candidates []netip.AddrPort
	for _, address := range client.addresses.Addresses {
		candidates = append(candidates, address.Address)
	}
	candidates = append(candidates, client.seeds...)
	slices.SortStableFunc(candidates, func(a, b netip.AddrPort) int {
		return cmp.Compare(failureRank(client.failed[a]), failureRank(client.failed[b]))
	})
	client.mutex.Unlock()
	for _, candidate := range candidates {
		addresses, err := client.fetchAddresses(ctx, candidate)
		if err == nil && len(addresses.Addresses) > 0 {
			client.setAddresses(addresses)
			return addresses, nil
		}
		if ctx.Err() != nil {
			return Addresses{}, ctx.Err()
		}
		client.markFailed(candidate)
	}
	return Addresses{}, ErrNoInstance
}

// failureRank sorts instances to which a request has failed after the others.
func failureRank(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

// fetchAddresses requests addresses and a ticket from the instance.
func (client *Client) fetchAddresses(ctx context.Context, instance netip.AddrPort) (Addresses, error) {
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

// setAddresses replaces the cached addresses and clears the set of failed instances.
func (client *Client) setAddresses(addresses Addresses) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.addresses = addresses
	client.addressesExpire = time.Now().Add(addresses.Keep.Std())
	clear(client.failed)
}

func (client *Client) markFailed(instance netip.AddrPort) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.failed[instance] = true
}

// send sends the request to up to maxAttempts instances in turn. It tries the next instance after an error, or after an
// instance in a state that does not serve callers refused the request. An instance that failed with an error may have
// run the request, so the final answer then says Ran unknown instead of no. Sending the request again does no harm,
// because a record request runs at most once under its ticket, and searches and fetches may run more than once.
func (client *Client) send(ctx context.Context, path string, request Request) (Answer, error) {
	request.Caller = client.name
	if deadline, ok := ctx.Deadline(); ok && request.Deadline.IsZero() {
		request.Deadline = deadline.Add(-answerMargin)
	}
	var lastErr error = ErrNoInstance
	var refused *Answer
	mayHaveRun := false
	for range maxAttempts {
		instances, err := client.Instances(ctx)
		if err != nil || len(instances) == 0 {
			break
		}
		answer, err := client.attempt(ctx, instances[0].Address, path, request)
		if err != nil {
			client.markFailed(instances[0].Address)
			client.observeFailure(instances[0].Address, err)
			lastErr = err
			mayHaveRun = mayHaveRun || !IsDialError(err)
			if ctx.Err() != nil {
				return Answer{}, err
			}
			continue
		}
		if answer.Addresses != nil {
			client.setAddresses(*answer.Addresses)
		}
		if answer.Ran == result.RanNo && mayHaveRun {
			answer.Ran = result.RanUnknown // an earlier instance may have run it
		}
		if answer.Ran == result.RanYes || !retryElsewhere(answer.Code) {
			return answer, nil
		}
		client.markFailed(instances[0].Address)
		refused = &answer
	}
	if refused != nil {
		return *refused, nil
	}
	return Answer{}, errors.Wrap(lastErr, "send request")
}

// retryElsewhere reports whether another instance may accept a request that one refused with the code.
func retryElsewhere(code result.Code) bool {
	switch code {
	case result.NotReady, result.Isolated, result.Paused, result.Stopping:
		return true
	default:
		return false
	}
}

// attempt sends the request to the instance and waits for the answer while the instance passes its health checks, so
// that an unresponsive instance leaves time to try another.
func (client *Client) attempt(ctx context.Context, instance netip.AddrPort, path string, body Request) (Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go client.monitor(ctx, cancel, instance)
	answer, err := client.post(ctx, instance, path, body)
	if err != nil && errors.Is(context.Cause(ctx), ErrUnresponsive) {
		return Answer{}, ErrUnresponsive
	}
	return answer, err
}

// monitor checks the health of the instance periodically and cancels the context with ErrUnresponsive when a check
// fails.
func (client *Client) monitor(ctx context.Context, cancel context.CancelCauseFunc, instance netip.AddrPort) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := client.checkHealth(ctx, instance); err != nil && ctx.Err() == nil {
			cancel(ErrUnresponsive)
			return
		}
	}
}

// checkHealth performs one health check and records its latency. Any HTTP status counts as healthy.
func (client *Client) checkHealth(ctx context.Context, instance netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, client.checkLatency.timeout())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.String()+LivePath, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	start := time.Now()
	response, err := client.http.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	client.checkLatency.observe(time.Since(start))
	return nil
}

// post sends the request body in JSON once and returns the answer.
func (client *Client) post(ctx context.Context, instance netip.AddrPort, path string, body Request) (Answer, error) {
	request, err := jsonhttp.NewPost(ctx, "http://"+instance.String()+path, body)
	if err != nil {
		return Answer{}, err
	}
	var answer Answer
	return answer, client.do(request, &answer)
}

// do sends the HTTP request and decodes the JSON body of the response into the given value.
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

// IsDialError reports whether the request failed because no connection was established, so that it cannot have run.
func IsDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
