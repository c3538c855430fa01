package peers

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/fleet"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// recorder is a Handler that records the batches it receives and answers their sub-requests, and a FailureHandler that
// records failures and disconnects.
type recorder struct {
	mutex       sync.Mutex
	batches     []Batch
	answers     chan holder.Answer
	disconnects chan netip.AddrPort
}

func newRecorder() *recorder {
	return &recorder{answers: make(chan holder.Answer, 100), disconnects: make(chan netip.AddrPort, 100)}
}

func (recorder *recorder) HandleBatch(batch Batch) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.batches = append(recorder.batches, batch)
	for range batch.Subs {
		recorder.answers <- holder.Answer{Code: result.OK}
	}
}

func (recorder *recorder) Statuses(names []string) []holder.Status {
	return []holder.Status{{Target: names[0], Known: true}}
}
func (recorder *recorder) Pull(fleet.PullRequest) fleet.PullReply {
	return fleet.PullReply{Leaving: []string{"t"}}
}
func (recorder *recorder) Record(request caller.Request) caller.Answer {
	return caller.Answer{RequestID: request.RequestID}
}

func (recorder *recorder) HandleFailures(answers []holder.Answer) {
	for _, answer := range answers {
		recorder.answers <- answer
	}
}
func (recorder *recorder) HandleDisconnect(peer netip.AddrPort) { recorder.disconnects <- peer }

func sub(id byte, deadline time.Time) holder.SubRequest {
	return holder.SubRequest{Target: "t", Request: target.Request{Attempt: target.Attempt{id}, Deadline: deadline}}
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

func assertAnswer(t *testing.T, sender *recorder, code result.Code, ran result.Ran) {
	t.Helper()
	got := <-sender.answers
	if got.Code != code || got.Ran != ran {
		t.Fatalf("got %v ran=%s, want %v ran=%s", got.Code, got.Ran, code, ran)
	}
}

func TestDeliver(t *testing.T) {
	listener, address := listen(t)
	peer := newRecorder()
	server, err := Serve(listener, peer)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	network := NewNetwork(t.Context(), "e", newRecorder(), &Partition{})
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	<-peer.answers
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if got := peer.batches[0]; got.From != "e" || got.Subs[0].Request.Attempt != (target.Attempt{1}) {
		t.Fatalf("peer received batch %+v, want attempt 1 from e", got)
	}
}

// TestRefusedConnection checks that a sub-request counts as not run if the peer refuses the connection.
func TestRefusedConnection(t *testing.T) {
	listener, address := listen(t)
	listener.Close()
	sender := newRecorder()
	network := NewNetwork(t.Context(), "e", sender, &Partition{})
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	assertAnswer(t, sender, result.NotHolder, result.RanNo)
}

// TestLostConnection checks that the outcome of a sub-request is unknown if the connection breaks during the call, and
// that the disconnect is reported.
func TestLostConnection(t *testing.T) {
	listener, address := listen(t)
	sender := newRecorder()
	network := NewNetwork(t.Context(), "e", sender, &Partition{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1)
		_, _ = conn.Read(buffer) // the first byte of the call has arrived
		conn.Close()
	}()
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	assertAnswer(t, sender, result.HolderLost, result.RanUnknown)
	if got := <-sender.disconnects; got != address {
		t.Fatalf("disconnected peer is %v, want %v", got, address)
	}
}

// TestExpiredSubRequest checks that a sub-request past its deadline is not sent.
func TestExpiredSubRequest(t *testing.T) {
	listener, address := listen(t)
	peer, sender := newRecorder(), newRecorder()
	server, err := Serve(listener, peer)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	network := NewNetwork(t.Context(), "e", sender, &Partition{})
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(-time.Second))}})
	assertAnswer(t, sender, result.TooLate, result.RanNo)
}

// TestPartition checks that a sub-request to a blocked peer counts as not run.
func TestPartition(t *testing.T) {
	listener, address := listen(t)
	server, err := Serve(listener, newRecorder())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	sender, partition := newRecorder(), &Partition{}
	partition.SetPeers([]netip.AddrPort{address})
	network := NewNetwork(t.Context(), "e", sender, partition)
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	assertAnswer(t, sender, result.NotHolder, result.RanNo)
}

func TestCalls(t *testing.T) {
	listener, address := listen(t)
	server, err := Serve(listener, newRecorder())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	ctx := context.Background()
	network := NewNetwork(t.Context(), "e", newRecorder(), &Partition{})
	if got, err := network.Status(ctx, address, []string{"t"}); err != nil || len(got) != 1 {
		t.Errorf("Status = %v, %v", got, err)
	}
	if got, err := network.Pull(ctx, address, fleet.PullRequest{}); err != nil || len(got.Leaving) != 1 {
		t.Errorf("Pull = %v, %v", got, err)
	}
	if got, err := network.Record(ctx, address, caller.Request{RequestID: "r"}); err != nil || got.RequestID != "r" {
		t.Errorf("Record = %v, %v", got, err)
	}
}

func BenchmarkDeliver(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	peer := &discardingPeer{}
	server, err := Serve(listener, peer)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	link := newLink(netip.MustParseAddrPort(listener.Addr().String()), "e", newRecorder(), &Partition{})
	deadline := time.Now().Add(time.Hour)
	for _, size := range []int{1, 16, 64, 256} {
		b.Run("batch="+string(rune('0'+size/100))+string(rune('0'+size/10%10))+string(rune('0'+size%10)), func(b *testing.B) {
			subs := make([]holder.SubRequest, size)
			for i := range subs {
				subs[i] = sub(byte(i), deadline)
				subs[i].Request.Query, subs[i].Request.Kind = "leftover injera", "chef-planner"
			}
			for b.Loop() {
				client, err := link.connect(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				if err := client.Call("Peer.Deliver", Batch{From: "e", Subs: subs}, &Empty{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/sub")
		})
	}
}

// discardingPeer is a Handler that discards batches.
type discardingPeer struct{ recorder }

func (*discardingPeer) HandleBatch(Batch) {}
