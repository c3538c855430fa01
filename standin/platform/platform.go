package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	reelplatform "shallotreel.example/reel/platform"
)

// Service stores published values and serves reads and watches of them.
type Service struct {
	mutex       sync.Mutex
	values      map[string]reelplatform.Value
	firstValues map[string]reelplatform.Value // first version of each value, served while the service is stale
	changed     chan struct{}
	down        bool
	staleValues map[string]reelplatform.Value // values that a stale service returns; nil if it is current
	calls       int64
	reads       map[string]int64
}

// New returns a service without values.
func New() *Service {
	return &Service{values: map[string]reelplatform.Value{}, firstValues: map[string]reelplatform.Value{},
		changed: make(chan struct{}), reads: map[string]int64{}}
}

// Publish sets the value of a key and notifies watchers.
func (service *Service) Publish(key string, version uint64, data []byte) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	value := reelplatform.Value{Version: version, Data: data}
	service.values[key] = value
	if _, exists := service.firstValues[key]; !exists {
		service.firstValues[key] = value
	}
	service.notifyWatchers()
}

// SetDown makes the service answer all reads with status 503, or serve again.
func (service *Service) SetDown(down bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.down = down
	service.notifyWatchers()
}

// SetStale makes the service return the first version of each value, or the newest version again.
func (service *Service) SetStale(stale bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.staleValues = nil
	if stale {
		service.staleValues = service.firstValues
	}
	service.notifyWatchers()
}

// Calls returns the total number of reads and watches.
func (service *Service) Calls() int64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.calls
}

// Reads returns the number of reads and watches of each key.
func (service *Service) Reads() map[string]int64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	reads := make(map[string]int64, len(service.reads))
	for key, count := range service.reads {
		reads[key] = count
	}
	return reads
}

// ServeHTTP handles GET /v1/values. It returns the value of the key as soon as its version differs from the given one;
// after the wait it returns the unchanged version without data, or status 404 if the key does not exist.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	key := query.Get("key")
	version, _ := strconv.ParseUint(query.Get("version"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	service.mutex.Lock()
	service.calls++
	service.reads[key]++
	service.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, ok, down, changed := service.lookup(key)
		if down {
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		}
		if ok && value.Version != version {
			reply(writer, value)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timer.C:
			if !ok {
				http.Error(writer, "no such key", http.StatusNotFound)
				return
			}
			reply(writer, reelplatform.Value{Version: value.Version})
			return
		}
	}
}

func (service *Service) lookup(key string) (value reelplatform.Value, ok, down bool, changed chan struct{}) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	values := service.values
	if service.staleValues != nil {
		values = service.staleValues
	}
	value, ok = values[key]
	return value, ok, service.down, service.changed
}

func (service *Service) notifyWatchers() {
	close(service.changed)
	service.changed = make(chan struct{})
}

func reply(writer http.ResponseWriter, value reelplatform.Value) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
