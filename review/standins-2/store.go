package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	addr     string
	server   *http.Server
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Create   uint64 `json:"create_revision,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	store := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", net2+"1:0")
	check(err)
	store.addr = listener.Addr().String()
	store.server = &http.Server{Handler: store}
	go store.server.Serve(listener)
	return store
}

func (store *store) put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	store.change(item{Key: key, Value: data})
}

func (store *store) remove(key string) { store.change(item{Key: key, Deleted: true}) }

func (store *store) change(it item) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	it.Revision = store.revision
	it.Create = it.Revision
	if old, ok := store.items[it.Key]; ok {
		it.Create = old.Create
	}
	if it.Deleted {
		it.Create = 0
		delete(store.items, it.Key)
	} else {
		store.items[it.Key] = it
	}
	store.events = append(store.events, it)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	writer.Header().Set("Content-Type", "application/json")
	switch request.URL.Path {
	case "/-/kv-key":
		store.mutex.Lock()
		it, ok := store.items[query.Get("key")]
		store.mutex.Unlock()
		if !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(writer).Encode(it)
	case "/-/kv-range":
		store.mutex.Lock()
		var keys []string
		for key := range store.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		more := len(keys) > 500
		keys = keys[:min(len(keys), 500)]
		items := []item{}
		for _, key := range keys {
			items = append(items, store.items[key])
		}
		revision := store.revision
		store.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "has_more": more, "store_revision": revision})
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		for {
			store.mutex.Lock()
			events := []item{}
			for _, event := range store.events {
				if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
					events = append(events, event)
				}
			}
			revision, changed := store.revision, store.changed
			store.mutex.Unlock()
			if len(events) == 0 {
				select {
				case <-changed:
					continue
				case <-request.Context().Done():
					return
				case <-timer.C:
				}
			}
			_ = json.NewEncoder(writer).Encode(map[string]any{"events": events, "store_revision": revision})
			return
		}
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}
