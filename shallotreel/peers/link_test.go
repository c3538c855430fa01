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

// recorder is both ends of a link: what a peer was brought, and what came back.
type recorder struct {
	mutex   sync.Mutex
	batches []Batch
	answers chan holder.Answer
	lost    chan netip.AddrPort
}

func newRecorder() *recorder {
	return &recorder{answers: make(chan holder.Answer, 100), lost: make(chan netip.AddrPort, 100)}
}

func (recorder *recorder) TakeBatch(batch Batch) {
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

func (recorder *recorder) Return(answers []holder.Answer) {
	for _, answer := range answers {
		recorder.answers <- answer
	}
}
func (recorder *recorder) Lost(peer netip.AddrPort) { recorder.lost <- peer }

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

func assertAnswer(t *testing.T, back *recorder, code result.Code, ran result.Ran) {
	t.Helper()
	got := <-back.answers
	if got.Code != code || got.Ran != ran {
		t.Fatalf("got %v ran=%s, want %v ran=%s", got.Code, got.Ran, code, ran)
	}
}

func TestSubRequestsReachThePeer(t *testing.T) {
	listener, address := listen(t)
	peer := newRecorder()
	server, err := Serve(listener, peer)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	network := NewNetwork(t.Context(), "e", newRecorder(), &Cut{})
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	<-peer.answers
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if got := peer.batches[0]; got.From != "e" || got.Subs[0].Request.Attempt != (target.Attempt{1}) {
		t.Fatalf("the peer got %+v", got)
	}
}

func TestPeerThatIsNotThereProvesThatNothingRan(t *testing.T) {
	listener, address := listen(t)
	listener.Close()
	back := newRecorder()
	network := NewNetwork(t.Context(), "e", back, &Cut{})
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	assertAnswer(t, back, result.NotHolder, result.RanNo)
}

func TestPeerThatDiesLeavesTheOutcomeUnknown(t *testing.T) {
	listener, address := listen(t)
	back := newRecorder()
	network := NewNetwork(t.Context(), "e", back, &Cut{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1)
		_, _ = conn.Read(buffer) // the call has begun to arrive
		conn.Close()
	}()
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	assertAnswer(t, back, result.HolderLost, result.RanUnknown)
	if got := <-back.lost; got != address {
		t.Fatalf("lost %v, want %v", got, address)
	}
}

func TestSubRequestPastItsDeadlineIsNotSent(t *testing.T) {
	listener, address := listen(t)
	peer, back := newRecorder(), newRecorder()
	server, err := Serve(listener, peer)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	network := NewNetwork(t.Context(), "e", back, &Cut{})
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(-time.Second))}})
	assertAnswer(t, back, result.TooLate, result.RanNo)
}

func TestCutPeerIsOutOfReach(t *testing.T) {
	listener, address := listen(t)
	server, err := Serve(listener, newRecorder())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	back, cut := newRecorder(), &Cut{}
	cut.Set([]netip.AddrPort{address})
	network := NewNetwork(t.Context(), "e", back, cut)
	network.Deliver(address, Batch{Subs: []holder.SubRequest{sub(1, time.Now().Add(time.Minute))}})
	assertAnswer(t, back, result.NotHolder, result.RanNo)
}

func TestCalls(t *testing.T) {
	listener, address := listen(t)
	server, err := Serve(listener, newRecorder())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	ctx := context.Background()
	network := NewNetwork(t.Context(), "e", newRecorder(), &Cut{})
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
	peer := &countingPeer{}
	server, err := Serve(listener, peer)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	link := newLink(netip.MustParseAddrPort(listener.Addr().String()), "e", newRecorder(), &Cut{})
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

// countingPeer takes batches and does nothing with them.
type countingPeer struct{ recorder }

func (*countingPeer) TakeBatch(Batch) {}
