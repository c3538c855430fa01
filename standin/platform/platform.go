package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	reel "shallotreel.example/reel/platform"
)

// Service holds published values and answers reads and watches of them.
type Service struct {
	mutex   sync.Mutex
	values  map[string]reel.Value
	history map[string]reel.Value // each value's first version, for a restore
	changed chan struct{}
	down    bool
	frozen  map[string]reel.Value // what a stale service still serves
	calls   int64
	reads   map[string]int64
}

// New returns an empty service.
func New() *Service {
	return &Service{values: map[string]reel.Value{}, history: map[string]reel.Value{},
		changed: make(chan struct{}), reads: map[string]int64{}}
}

// Publish sets a value.
func (service *Service) Publish(key string, version uint64, data []byte) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	value := reel.Value{Version: version, Data: data}
	service.values[key] = value
	if _, known := service.history[key]; !known {
		service.history[key] = value
	}
	service.wake()
}

// SetDown makes the service refuse all reads, or serve again.
func (service *Service) SetDown(down bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.down = down
	service.wake()
}

// SetStale makes the service answer with the first version of each value, or with the newest again.
func (service *Service) SetStale(stale bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.frozen = nil
	if stale {
		service.frozen = service.history
	}
	service.wake()
}

// Calls returns how many reads and watches were counted.
func (service *Service) Calls() int64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.calls
}

// Reads returns how many reads and watches each key had.
func (service *Service) Reads() map[string]int64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	reads := make(map[string]int64, len(service.reads))
	for key, count := range service.reads {
		reads[key] = count
	}
	return reads
}

// ServeHTTP answers GET /v1/values with key, version and wait.
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
		value, ok, down, changed := service.look(key)
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
			reply(writer, reel.Value{Version: value.Version})
			return
		}
	}
}

func (service *Service) look(key string) (value reel.Value, ok, down bool, changed chan struct{}) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	values := service.values
	if service.frozen != nil {
		values = service.frozen
	}
	value, ok = values[key]
	return value, ok, service.down, service.changed
}

func (service *Service) wake() {
	close(service.changed)
	service.changed = make(chan struct{})
}

func reply(writer http.ResponseWriter, value reel.Value) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
