package cataloguesync

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/shallotreel/peerrpc"
)

type source struct{ delay time.Duration }

func (source source) Since(query Query) Reply {
	time.Sleep(source.delay)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	return Reply{Process: 7, Whole: query.Process != 7, Store: 12, Age: time.Second,
		Delta: catalogue.Delta{Serial: query.Serial + 1, Targets: []catalogue.Target{{ID: "one", Address: address}}}}
}

func (source source) Evacuations() EvacuationReply {
	time.Sleep(source.delay)
	return EvacuationReply{Age: time.Second, Evacuations: catalogue.EvacuationDelta{States: []catalogue.EvacuationState{{DataCentre: "a"}}}}
}

func serve(t *testing.T, source Source) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	server, err := peerrpc.Serve(address, []peerrpc.Service{NewService(source)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return address
}

func TestFetch(t *testing.T) {
	t.Run("returns the changes", func(t *testing.T) {
		client := &Client{}
		defer client.Close()
		address := serve(t, source{})
		for range 2 {
			reply, err := client.Fetch(address, Query{Process: 7, Serial: 3}, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if reply.Whole || reply.Delta.Serial != 4 || reply.Age != time.Second || reply.Delta.Targets[0].ID != "one" {
				t.Errorf("got %+v", reply)
			}
		}
	})
	t.Run("returns ErrTimeout if the peer does not answer", func(t *testing.T) {
		client := &Client{}
		if _, err := client.Fetch(serve(t, source{time.Minute}), Query{}, 20*time.Millisecond); !errors.Is(err, ErrTimeout) {
			t.Errorf("error %v, want ErrTimeout", err)
		}
	})
	t.Run("returns an error if the peer does not listen", func(t *testing.T) {
		client := &Client{}
		if _, err := client.Fetch(netip.MustParseAddrPort("127.0.0.1:1"), Query{}, time.Second); err == nil {
			t.Error("got no error")
		}
	})
}

// TestLateEvacuations guards against an answer that arrives at the timeout, and is read while it is still being decoded. Only the race
// detector sees it.
func TestLateEvacuations(t *testing.T) {
	const delay = 2 * time.Millisecond
	address := serve(t, source{delay})
	for step := range 300 {
		client := &Client{}
		reply, err := client.Evacuations(address, delay+time.Duration(step)*10*time.Microsecond)
		if err != nil && (reply.Age != 0 || reply.Evacuations.States != nil) {
			t.Errorf("got %+v with error %v", reply, err)
		}
		client.Close()
	}
}
