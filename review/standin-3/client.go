package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client sends requests as the users' clients do.
type client struct {
	record *record
	http   *http.Client
}

func newClient(record *record) *client {
	return &client{record, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
		DisableCompression: true, DisableKeepAlives: false}}}
}

func newID() string {
	var random [8]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// send sends one attempt to the instance and returns its record.
func (client *client) send(instance *instance, method, host, path, body string, deadline time.Duration) (string, sent) {
	id := newID()
	attempt := &sent{at: time.Now(), instance: instance.name, route: path}
	client.record.mutex.Lock()
	client.record.sent[id] = attempt
	client.record.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+instance.caller+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.http.Do(request)
	status, text, stamp, failure := 0, "", "", ""
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			status, text, stamp = response.StatusCode, string(data), response.Header.Get("Server-Stamp")+response.Header.Get("Part-Stamps")
		}
	}
	if err != nil {
		failure = "without an answer"
	}
	client.record.mutex.Lock()
	defer client.record.mutex.Unlock()
	attempt.status, attempt.body, attempt.stamp, attempt.err = status, text, stamp, failure
	return id, *attempt
}

// press sends requests at the rate until the context ends, to the instances that the function picks.
func (client *client) press(ctx context.Context, perSecond float64, pick func() *instance, path func() string, deadline time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if instance := pick(); instance != nil {
				go client.send(instance, http.MethodGet, host, path(), "", deadline)
			}
		}
	}
}
