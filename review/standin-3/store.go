package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in one page of a listing. The users' page allows about 500 at most; their bench uses 50.
const pageItems = 50

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_revision,omitempty"`
	Lease    int    `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// event is a change of the store and when it was acknowledged.
type event struct {
	item
	at time.Time
}

// store is a stand-in of the platform's metadata store: a log of changes, from which any earlier state can be read.
type store struct {
	mutex    sync.Mutex
	revision uint64
	log      []event
	changed  chan struct{}
	address  string
	// lagOf returns how far behind the replica is that answers a listing with stale_ok; nil for replicas without lag.
	lagOf func(after string) time.Duration
	// onList is called for each listing that may be stale.
	onList func(after string, lag time.Duration, revision uint64)
}

func newStore() *store {
	return &store{revision: 100, changed: make(chan struct{})}
}

// serve listens on a free port of the loopback network.
func (store *store) serve() {
	listener := listen()
	store.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", store.list)
	mux.HandleFunc("GET /-/kv-watch", store.watch)
	mux.HandleFunc("GET /-/kv-key", store.get)
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
}

// put writes the key and returns when that was acknowledged.
func (store *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return store.append(item{Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// remove deletes the key and returns when that was acknowledged.
func (store *store) remove(key string) time.Time { return store.append(item{Key: key, Deleted: true}) }

func (store *store) append(change item) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	change.Revision, change.Created = store.revision, store.revision
	now := time.Now()
	store.log = append(store.log, event{change, now})
	close(store.changed)
	store.changed = make(chan struct{})
	return now
}

// stateAt returns the items with the prefix at the time, ordered by key, and the revision then.
func (store *store) stateAt(at time.Time, prefix string) ([]item, uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := map[string]item{}
	revision := uint64(100)
	for _, event := range store.log {
		if event.at.After(at) {
			break
		}
		revision = event.Revision
		if event.Deleted {
			delete(items, event.Key)
		} else if strings.HasPrefix(event.Key, prefix) {
			items[event.Key] = event.item
		}
	}
	var sorted []item
	for _, item := range items {
		sorted = append(sorted, item)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Key < sorted[j].Key })
	return sorted, revision
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after := query.Get("after")
	at := time.Now()
	stale := query.Get("stale_ok") == "1"
	lag := time.Duration(0)
	if stale && store.lagOf != nil {
		lag = store.lagOf(after)
	}
	items, revision := store.stateAt(at.Add(-lag), query.Get("prefix"))
	from := sort.Search(len(items), func(i int) bool { return items[i].Key > after })
	page := items[from:min(from+pageItems, len(items))]
	if stale && store.onList != nil {
		store.onList(after, lag, revision)
	}
	reply(writer, map[string]any{"items": page, "has_more": from+len(page) < len(items), "store_revision": revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		var events []item
		first := sort.Search(len(store.log), func(i int) bool { return store.log[i].Revision > after })
		for _, event := range store.log[first:] {
			if strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event.item)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(writer, map[string]any{"events": []item{}, "store_revision": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	items, revision := store.stateAt(time.Now(), request.URL.Query().Get("key"))
	if len(items) == 0 || items[0].Key != request.URL.Query().Get("key") {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	reply(writer, map[string]any{"key": items[0].Key, "value": items[0].Value, "revision": items[0].Revision, "store_revision": revision})
}

func reply(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(writer).Encode(body)
}

// listen returns a listener on a free port of the loopback network.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}
