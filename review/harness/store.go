package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store after a write or a deletion.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store. It keeps all history.
type store struct {
	mutex    sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	events   []item
	isDown   bool
	cutAfter time.Duration // time after which a waiting watch is cut, 0 for never
	cuts     int
	lastCut  chan struct{} // gets a value at each cut
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 10, items: map[string]item{}, lastCut: make(chan struct{})}
}

// put writes the key and returns the time of the acknowledgement.
func (store *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	written := item{Key: key, Value: data, Revision: store.revision, CreateRevision: store.revision}
	if known, ok := store.items[key]; ok {
		written.CreateRevision = known.CreateRevision
	}
	store.items[key] = written
	store.publish(written)
	return time.Now()
}

// remove deletes the key and returns the time of the acknowledgement.
func (store *store) remove(key string) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	delete(store.items, key)
	store.publish(item{Key: key, Revision: store.revision, Deleted: true})
	return time.Now()
}

// publish appends an event. The caller holds the lock.
func (store *store) publish(event item) {
	store.events = append(store.events, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) setDown(isDown bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isDown = isDown
}

func (store *store) setCutAfter(after time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.cutAfter = after
}

// view is the store as one instance sees it; rewrite changes the addresses of servers, so that a proxy stands between them.
type view struct {
	*store
	rewrite func(key string, value []byte) []byte
}

// serve serves the view on a free port and returns its address.
func (view view) serve() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	go func() { _ = http.Serve(listener, view) }()
	return listener.Addr().String()
}

// ServeHTTP implements http.Handler.
func (view view) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	view.mutex.Lock()
	isDown := view.isDown
	view.mutex.Unlock()
	writer.Header().Set("Store-Era", "1")
	if isDown {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.URL.Path {
	case "/-/kv-range":
		view.serveRange(writer, request)
	case "/-/kv-watch":
		view.serveWatch(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

func (view view) serveRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	view.mutex.Lock()
	defer view.mutex.Unlock()
	var items []item
	for _, known := range view.items {
		if strings.HasPrefix(known.Key, prefix) && known.Key > after {
			items = append(items, view.shown(known))
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	const page = 500
	hasMore := len(items) > page
	reply(writer, map[string]any{"items": items[:min(page, len(items))], "has_more": hasMore, "store_revision": view.revision})
}

func (view view) serveWatch(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	view.mutex.Lock()
	cutAfter := view.cutAfter
	view.mutex.Unlock()
	var cut <-chan time.Time
	if cutAfter > 0 {
		cut = time.After(cutAfter)
	}
	for {
		view.mutex.Lock()
		var events []item
		for _, event := range view.events {
			if event.Revision > after {
				events = append(events, view.shown(event))
			}
		}
		revision, changed, isDown := view.revision, view.changed, view.isDown
		view.mutex.Unlock()
		if len(events) > 0 && !isDown {
			reply(writer, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(writer, map[string]any{"events": []item{}, "store_revision": revision})
			return
		case <-cut:
			view.mutex.Lock()
			view.cuts++
			select {
			case view.lastCut <- struct{}{}:
			default:
			}
			view.mutex.Unlock()
			panic(http.ErrAbortHandler) // closes the connection
		case <-request.Context().Done():
			return
		}
	}
}

func (view view) shown(known item) item {
	if view.rewrite != nil && !known.Deleted {
		known.Value = view.rewrite(known.Key, known.Value)
	}
	return known
}

func reply(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
