package crowd

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"shallotreel.example/shallotreel/cataloguesync"
	"shallotreel.example/shallotreel/settings"
)

const (
	wholeBody = 1 << 20 // bytes, the limit of a configuration that names none
	headLines = 990
	// sendTime is the time after which a client that cannot send all stays with what it has sent.
	sendTime = 10 * time.Second
	// settleTime is the time in which an instance reads what was sent.
	settleTime = time.Second
)

// crowd is a number of clients that send the same at once. Those that leave do so when they have an answer, the others stay with
// their connections open.
type crowd struct {
	name    string
	clients int
	leave   bool
	address func(config settings.Front) netip.AddrPort
	message []byte
}

// callers and the others are the addresses that a crowd connects to.
func callers(config settings.Front) netip.AddrPort   { return config.CallerAddress }
func peers(config settings.Front) netip.AddrPort     { return config.PeerAddress }
func resolvers(config settings.Front) netip.AddrPort { return config.ResolveAddress }
func metrics(config settings.Front) netip.AddrPort   { return config.MetricsAddress }

// post returns a request with a body of the size, of which the last bytes are missing.
func post(path string, size, missing int) []byte {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", path, size)
	return append([]byte(head), bytes.Repeat([]byte("x"), size-missing)...)
}

// shortLines returns so many header lines with names of their own.
func shortLines(count int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// get returns a request with a head of the size in bytes, in so many lines.
func get(path string, size, lines int) []byte {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nDeadline-Ms: 6000\r\n", path)
	for i := range lines {
		head += fmt.Sprintf("X-%x: %s\r\n", i, strings.Repeat("y", size/lines-9))
	}
	return []byte(head + "\r\n")
}

// chunked returns a request with a body of the size in chunks of one byte, of which the end is missing.
func chunked(path string, size int) []byte {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nDeadline-Ms: 6000\r\nTransfer-Encoding: chunked\r\n\r\n", path)
	return append([]byte(head), bytes.Repeat([]byte("1\r\nx\r\n"), size)...)
}

// beginPeerMessage returns the first bytes of a message of encoding/gob that states 40 MiB.
func beginPeerMessage(sent int) []byte {
	return append([]byte{0xfc, 0x02, 0x80, 0x00, 0x00}, make([]byte, sent)...)
}

// callAsPeer returns so many calls of a peer, each of which waits for a change of the catalogue.
func callAsPeer(calls int) []byte {
	var message bytes.Buffer
	encoder := gob.NewEncoder(&message)
	for call := range calls {
		// Writes to a buffer do not fail.
		_ = encoder.Encode(rpc.Request{ServiceMethod: "Copies.Since", Seq: uint64(call)})
		_ = encoder.Encode(cataloguesync.Query{Hold: time.Minute})
	}
	return message.Bytes()
}

// TestCrowds guards against clients that take the memory or the descriptors of an instance, so that it ends or serves nobody else.
func TestCrowds(t *testing.T) {
	for _, crowd := range []crowd{
		{"whole bodies", 300, true, callers, post(slowPath, wholeBody, 0)},
		{"whole bodies to many shards", 100, true, callers, post(gatheredPath, wholeBody, 0)},
		{"bodies without their last byte", 1500, false, callers, post(slowPath, 65_000, 1)},
		{"long bodies without their last byte", 500, false, callers, post(slowPath, wholeBody, 1)},
		{"whole heads of many lines", 1500, true, callers, get(slowPath, 14_000, headLines)},
		{"whole heads to many shards", 300, true, callers, get(gatheredPath, 14_000, 20)},
		{"short requests", 1500, true, callers, get(slowPath, 200, 2)},
		{"short requests to many shards", 1500, true, callers, get(gatheredPath, 200, 2)},
		{"pipelined requests", 100, false, callers, bytes.Repeat(get(ordinaryPath, 200, 2), 400)},
		{"bodies in chunks of a byte", 300, false, callers, chunked(slowPath, 64<<10)},
		{"empty lines without end", 1500, false, callers, bytes.Repeat([]byte("\r\n"), 32<<10)},
		{"heads without end", 1500, false, callers, []byte("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(2000))},
		{"answers that are not read", 100, false, callers, []byte("GET " + longPath + " HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nDeadline-Ms: 6000\r\n\r\n")},
		{"messages of peers without end", 100, false, peers, beginPeerMessage(4 << 20)},
		{"calls of peers that read no reply", 50, false, peers, callAsPeer(20_000)},
		{"bodies to the resolve address", 300, false, resolvers, post("/-/resolve", wholeBody, 1)},
		{"bodies to the metrics address", 300, false, metrics, post("/metrics", wholeBody, 1)},
	} {
		t.Run(crowd.name, func(t *testing.T) { crowd.visit(startInstance(t, manyDescriptors)) })
	}
}

// TestSilentConnections guards against connections that take all descriptors of an instance.
func TestSilentConnections(t *testing.T) {
	for _, crowd := range []crowd{
		{"of callers", 400, false, callers, nil},
		{"of peers", 400, false, peers, nil},
		{"to the metrics address", 400, false, metrics, nil},
	} {
		t.Run(crowd.name, func(t *testing.T) { crowd.visit(startInstance(t, 256)) })
	}
}

// TestHeadOfManyLines guards against a limit on lines that a single request meets although its head is as short as any may be.
func TestHeadOfManyLines(t *testing.T) {
	instance := startInstance(t, manyDescriptors)
	for _, lines := range []int{headLines, 1500, 2600, 4000} {
		status, _, err := instance.request(ordinaryTime, strings.Repeat("a:\r\n", lines/2)+shortLines(lines/4))
		if status != http.StatusOK || err != nil {
			t.Errorf("a request of %d lines gets status %d, %v", lines*3/4, status, err)
		}
	}
	instance.assertBounded()
}

// TestLegalRequests checks that single requests at the limits are served, at once and in pieces: a head in the shortest lines, and a body.
func TestLegalRequests(t *testing.T) {
	const headLimit, pieceBytes = 16 << 10, 1000
	instance := startInstance(t, manyDescriptors)
	head := strings.TrimSuffix(string(get(ordinaryPath, 0, 0)), "\r\n")
	head += strings.Repeat("a:\r\n", (headLimit-len(head)-2)/4) + "\r\n"
	for name, message := range map[string][]byte{"a head": []byte(head), "a body": post(ordinaryPath, wholeBody, 0)} {
		for _, piece := range []int{len(message), pieceBytes} {
			conn, err := net.Dial("tcp", instance.config.CallerAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(sendTime)) // shows as an error of what follows
			for part := range slices.Chunk(message, piece) {
				if _, err := conn.Write(part); err != nil {
					t.Errorf("%s in pieces of %d bytes: %v", name, piece, err)
					break
				}
			}
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("%s in pieces of %d bytes gets %+v, %v", name, piece, response, err)
			}
			conn.Close()
		}
	}
	instance.assertBounded()
}

// TestStopBesideCrowd checks that an instance stops although clients keep their bodies open.
func TestStopBesideCrowd(t *testing.T) {
	instance := startInstance(t, manyDescriptors)
	crowd := crowd{"open bodies", 300, false, callers, post(slowPath, wholeBody, 1)}
	defer closeAll(crowd.come(instance))
	if err := instance.process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-instance.ended:
		if err != nil {
			t.Errorf("the process has ended: %v", err)
		}
	case <-time.After(waitTime):
		t.Error("the process does not end")
	}
}

// visit has the crowd come to the instance, and checks what becomes of the instance while the crowd is there and when it has left.
func (crowd crowd) visit(instance *instance) {
	instance.t.Helper()
	conns := crowd.come(instance)
	instance.assertBounded()
	if !crowd.leave {
		instance.assertServes()
	}
	closeAll(conns)
	instance.assertServes()
	instance.assertBounded()
}

// come has all clients send their messages, and returns their connections once the instance has read what it takes.
func (crowd crowd) come(instance *instance) []net.Conn {
	var clients sync.WaitGroup
	conns := make([]net.Conn, crowd.clients)
	address := crowd.address(instance.config).String()
	for i := range conns {
		clients.Go(func() {
			conn, status := crowd.send(address)
			if strings.HasPrefix(status, "4") && status != "408" && status != "429" {
				instance.t.Errorf("a client within the limits gets %s", status)
			}
			conns[i] = conn
		})
	}
	clients.Wait()
	time.Sleep(settleTime)
	return conns
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			conn.Close()
		}
	}
}

// send sends the message of one client, and returns its connection, or nil if the instance takes none, and the status of an answer that it
// waits for.
func (crowd crowd) send(address string) (conn net.Conn, status string) {
	conn, err := net.DialTimeout("tcp", address, sendTime)
	if err != nil {
		return nil, ""
	}
	_ = conn.SetDeadline(time.Now().Add(sendTime)) // shows as an error of what follows
	_, _ = conn.Write(crowd.message)               // the instance may refuse it before its end
	if crowd.leave {
		answer := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(conn, answer); err == nil { // otherwise the connection has ended
			status = string(answer[len("HTTP/1.1 "):])
		}
		conn.Close()
	}
	return conn, status
}
