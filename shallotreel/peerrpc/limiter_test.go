package peerrpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/shallotreel/intake"
)

// echo is a service that returns its argument.
type echo struct{}

// Call implements the only call of the service.
func (echo) Call(argument []byte, reply *[]byte) error {
	*reply = argument
	return nil
}

func serveEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	server, err := Serve(netip.MustParseAddrPort("127.0.0.1:0"), []Service{{"Echo", func(context.Context) any { return echo{} }}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.listener.Addr().String())
}

// TestMessagesOfAnyLength checks that messages up to the limit pass, wherever the reads divide them.
func TestMessagesOfAnyLength(t *testing.T) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for _, size := range []int{0, 1, 100, 127, 128, 255, 256, 65_535, 65_536, 1 << 20, maxMessageBytes - 100} {
		if err := encoder.Encode(make([]byte, size)); err != nil {
			t.Fatal(err)
		}
	}
	for _, most := range []int{1, 3, 1000, 1 << 20} {
		limiter := messageLimiter{}
		for data := stream.Bytes(); len(data) > 0; {
			size := min(1+rand.IntN(most), len(data))
			if err := limiter.check(data[:size]); err != nil {
				t.Fatalf("in reads of up to %d bytes, %d bytes before the end: %v", most, len(data), err)
			}
			data = data[size:]
		}
		if limiter.left != 0 || limiter.length != 0 || limiter.digits != 0 {
			t.Errorf("in reads of up to %d bytes the end is %+v", most, limiter)
		}
	}
}

func TestTooLongMessages(t *testing.T) {
	for name, data := range map[string][]byte{
		"one byte more": {0xfc, 0x02, 0x80, 0x00, 0x01},
		"two gigabytes": {0xfc, 0x7f, 0xff, 0xff, 0xff},
		"eight bytes":   append([]byte{0xf8}, bytes.Repeat([]byte{0xff}, 8)...),
		"most bytes":    bytes.Repeat([]byte{0x80}, 200),
	} {
		t.Run(name, func(t *testing.T) {
			limiter := messageLimiter{}
			if err := limiter.check(data); !errors.Is(err, errTooLong) {
				t.Errorf("error %v, want %v", err, errTooLong)
			}
		})
	}
}

// TestMessageWithoutEnd guards against a message without end, of a process that is no peer, that is kept until the memory is used up.
func TestMessageWithoutEnd(t *testing.T) {
	const most = 16 << 20 // bytes, with those in the sockets' buffers
	conn, err := net.Dial("tcp", serveEcho(t).String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	total, err := conn.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}) // the length of one gigabyte
	for block := make([]byte, 1<<20); err == nil && total <= most; {
		var size int
		size, err = conn.Write(block)
		total += size
	}
	if err == nil {
		t.Errorf("%d bytes of one message were taken", total)
	}
}

// TestMessagesCount checks that a message that is not complete counts by its stated length, and that it gives way to that of another peer.
func TestMessagesCount(t *testing.T) {
	const size = 512 << 10
	memory := intake.NewMemory(4 << 20)
	server, err := Serve(netip.MustParseAddrPort("127.0.0.1:0"), []Service{{"Echo", func(context.Context) any { return echo{} }}}, WithDoor(memory.Door(2)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	stalled, err := net.Dial("tcp", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	if _, err := stalled.Write([]byte{0xfd, 0x20, 0x00, 0x00, 'x'}); err != nil { // 2 MiB are stated
		t.Fatal(err)
	}
	for deadline := time.Now().Add(serverWriteTimeout); memory.Held() < 2<<20; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are counted for a message of 2 MiB", memory.Held())
		}
	}
	client, err := Dial(netip.MustParseAddrPort(server.listener.Addr().String()), serverWriteTimeout, serverWriteTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var reply []byte
	if err := client.Call("Echo.Call", make([]byte, size), &reply); err != nil || len(reply) != size {
		t.Errorf("%d bytes come back as %d, %v", size, len(reply), err)
	}
	if _, err := stalled.Read(make([]byte, 1)); err == nil {
		t.Error("the connection of the message that does not get on is open")
	}
}

// TestKeepOpen checks that a connection with a call in progress is not closed for another one.
func TestKeepOpen(t *testing.T) {
	memory := intake.NewMemory(4 << 20)
	door := memory.Door(1)
	ended := false
	hold, _ := door.Enter(func() { ended = true })
	conn := &peerConn{hold: hold}
	ctx := context.WithValue(context.Background(), connKey{}, conn)
	first, second := KeepOpen(ctx), KeepOpen(ctx)
	first()
	if _, ok := door.Enter(func() {}); ok || ended {
		t.Error("a connection was closed while a call is in progress")
	}
	second()
	if _, ok := door.Enter(func() {}); !ok || !ended {
		t.Error("a connection without a call was not closed for another one")
	}
	KeepOpen(context.Background())() // of a service without a connection
}

// failing is a listener that fails a number of times before it accepts connections.
type failing struct {
	net.Listener
	failures int
}

func (failing *failing) Accept() (net.Conn, error) {
	if failing.failures > 0 {
		failing.failures--
		return nil, errors.New("too many open files")
	}
	return failing.Listener.Accept()
}

// TestAcceptAgain guards against a server that accepts no more connections after an error.
func TestAcceptAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(&failing{listener, 3}, []Service{{"Echo", func(context.Context) any { return echo{} }}})
	go server.accept()
	t.Cleanup(server.Close)
	client, err := Dial(netip.MustParseAddrPort(listener.Addr().String()), serverWriteTimeout, serverWriteTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	select {
	case call := <-client.Go("Echo.Call", []byte("x"), new([]byte), make(chan *rpc.Call, 1)).Done:
		if call.Error != nil {
			t.Error(call.Error)
		}
	case <-time.After(serverWriteTimeout):
		t.Error("the connection is not accepted")
	}
}

// TestLongCall checks that a call with a long argument and reply succeeds.
func TestLongCall(t *testing.T) {
	client, err := Dial(serveEcho(t), serverWriteTimeout, serverWriteTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for _, size := range []int{1, 32 << 20} {
		var reply []byte
		if err := client.Call("Echo.Call", make([]byte, size), &reply); err != nil || len(reply) != size {
			t.Errorf("%d bytes come back as %d, %v", size, len(reply), err)
		}
	}
}
