package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/result"
)

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

func request(id byte) Request {
	return Request{Attempt: Attempt{id}, Kind: "k", Snapshot: 41, Deadline: time.Now().Add(time.Minute)}
}

func assertCode(t *testing.T, err error, code result.Code, ran result.Ran) {
	t.Helper()
	var failure *result.Error
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is not a *result.Error", err)
	}
	if failure.Code != code || failure.Ran != ran {
		t.Fatalf("got %v ran=%s (%s), want %v ran=%s", failure.Code, failure.Ran, failure.Detail, code, ran)
	}
}

// TestBrokenConnection checks that the client does not send a request again when the target closes a reused connection
// without a response. The HTTP transport retries such requests if it considers them idempotent.
func TestBrokenConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var runs atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOneThenClose(conn, &runs)
		}
	}()
	client := NewClient(addressOf(listener), 1)
	if _, err := client.Run(context.Background(), request(1)); err != nil {
		t.Fatal(err)
	}
	_, err = client.Run(context.Background(), request(2))
	assertCode(t, err, result.Broken, result.RanUnknown)
	if got := runs.Load(); got != 2 {
		t.Fatalf("target ran %d requests, want the 2 that the client was called with", got)
	}
}

// serveOneThenClose answers the first request of a connection. It counts the second as run and closes the connection
// without a response.
func serveOneThenClose(conn net.Conn, runs *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body Request
		if json.NewDecoder(incoming.Body).Decode(&body) != nil {
			return
		}
		runs.Add(1)
		if !first {
			return
		}
		data, _ := json.Marshal(Reply{Attempt: body.Attempt, Snapshot: 41})
		response := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
			ContentLength: int64(len(data)), Body: io.NopCloser(bytes.NewReader(data))}
		if response.Write(conn) != nil {
			return
		}
	}
}

// TestRefusedConnection checks that a sub-request counts as not run if the target refuses the connection.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := addressOf(listener)
	listener.Close()
	_, err = NewClient(address, 1).Run(context.Background(), request(1))
	assertCode(t, err, result.ConnectRefused, result.RanNo)
}

// TestMismatchedAttempt checks that the client rejects a reply with the id of another attempt.
func TestMismatchedAttempt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(Reply{Attempt: Attempt{99}, Snapshot: 41, Range: coverage.Range{From: 0, To: 1}})
	}))
	defer server.Close()
	_, err := NewClient(addressOf(server.Listener), 1).Run(context.Background(), request(1))
	assertCode(t, err, result.Mismatch, result.RanUnknown)
}

// TestDeadline checks that the outcome is unknown after the deadline.
func TestDeadline(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := NewClient(addressOf(server.Listener), 1).Run(ctx, request(1))
	assertCode(t, err, result.DeadlineExceeded, result.RanUnknown)
}

// TestConnectionReuse checks that the client reuses its connections and does not exceed their limit.
func TestConnectionReuse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		var body Request
		_ = json.NewDecoder(incoming.Body).Decode(&body)
		_ = json.NewEncoder(writer).Encode(Reply{Attempt: body.Attempt})
	}))
	defer server.Close()
	client := NewClient(addressOf(server.Listener), 2)
	for i := range 20 {
		if _, err := client.Run(context.Background(), request(byte(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got := client.Dials(); got > 2 {
		t.Fatalf("client opened %d connections for 20 consecutive requests, want at most 2", got)
	}
}

func TestPartitionMapCheck(t *testing.T) {
	server := Server{Name: "s/1/1", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "d"}
	shard := func(from, to uint64) Shard {
		return Shard{Name: "s/1", Range: coverage.Range{From: from, To: to}, Servers: []Server{server}}
	}
	tests := []struct {
		name   string
		shards []Shard
		valid  bool
	}{
		{"disjoint", []Shard{shard(0, 10), shard(10, 20)}, true},
		{"overlapping", []Shard{shard(0, 11), shard(10, 20)}, false},
		{"empty range", []Shard{shard(5, 5)}, false},
		{"beyond the key space", []Shard{shard(0, coverage.KeySpace+1)}, false},
		{"no shards", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			partitionMap := PartitionMap{Source: "s", Version: 1, Shards: test.shards}
			if err := partitionMap.Check(); (err == nil) != test.valid {
				t.Errorf("Check() = %v", err)
			}
		})
	}
}

// TestHeadWithoutEnd guards against a target that sends a head without end, of which much is kept for each connection.
func TestHeadWithoutEnd(t *testing.T) {
	const most = 8 << 20 // bytes, with those in the sockets' buffers
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	taken := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		total, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		for lines := strings.Repeat("X: y\r\n", 2<<10); err == nil; {
			var size int
			size, err = fmt.Fprint(conn, lines)
			total += size
		}
		taken <- total
	}()
	_, err = NewClient(addressOf(listener), 1).Run(t.Context(), request(1))
	assertCode(t, err, result.Broken, result.RanUnknown)
	if total := <-taken; total > most {
		t.Errorf("%d bytes were taken, want %d at most", total, most)
	}
}
