package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// sent is one client attempt and its answer.
type sent struct {
	at     time.Time
	id     string
	front  string
	status int // 0 without a complete answer
	header http.Header
	took   time.Duration
	err    string
}

// caller sends requests, each on a new connection.
type caller struct {
	client  *http.Client
	mutex   sync.Mutex
	waiting sync.WaitGroup
	count   int
	prefix  string
	done    []sent
}

func newCaller(prefix string) *caller {
	return &caller{prefix: prefix, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one request in the background.
func (caller *caller) send(to *front, method, host, path string, deadline time.Duration, body []byte) {
	caller.mutex.Lock()
	caller.count++
	id := fmt.Sprintf("%s%012x", caller.prefix, caller.count)
	caller.mutex.Unlock()
	caller.waiting.Add(1)
	go func() {
		defer caller.waiting.Done()
		result := sent{at: time.Now(), id: id, front: to.name}
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, "http://"+to.caller+path+id, bytes.NewReader(body))
		if err != nil {
			fail(err)
		}
		request.Host = host
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
		response, err := caller.client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if err == nil {
				result.status, result.header = response.StatusCode, response.Header
			}
		}
		if err != nil {
			result.err = err.Error()
		}
		result.took = time.Since(result.at)
		caller.mutex.Lock()
		caller.done = append(caller.done, result)
		caller.mutex.Unlock()
	}()
}

// every calls the function the given number of times a second until the time.
func every(perSecond float64, until time.Time, call func()) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for next := time.Now(); next.Before(until); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		call()
	}
}

// results waits for all answers and returns them.
func (caller *caller) results() []sent {
	caller.waiting.Wait()
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	return caller.done
}
